/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "soakcallers.h"

#include <map>
#include <string>
#include <vector>

namespace Cloverbarrow::Soak
{

/// A violated invariant, with the observation that shows it.
struct Violation {
    std::string invariant;
    std::string detail;
};

/// Compares the answers to callers with the requests that backend servers have executed.
/// @return all violations so far; each call returns the earlier ones again.
std::vector<Violation> violationsIn(const SoakSite &site, const std::vector<Observation> &observations);

/// Compares what backend servers announced in their answers with the requests that they got afterwards.
/// @return a violation for each entry VM's process that sent requests to a server after the drain period that follows an answer with the leaving header, or
/// more than two requests while the server had asked it for none.
std::vector<Violation> violationsOfAnnouncements(const SoakSite &site, const std::vector<Observation> &observations);

/// Checks that the configuration version of an entry VM's process never decreases. It requests hosts of which each exists in one version only.
class VersionMonitor
{
public:
    explicit VersionMonitor(const SoakSite &site);

    /// Checks one entry VM. @return the violation, if there is one.
    std::vector<Violation> checkEntryVm(std::size_t entryVm);

private:
    /// @return status of the answer; 0 without an answer.
    int requestStatus(const EntryAddress &entry, int version);

    const SoakSite &site_;
    BlockingClient client_;
    std::map<ProcessStart, int> newestServed_; ///< Newest version that each process has served.
    int requestCount_ = 0;
};

/// Sends poison requests after the last fault, through each entry VM in turn, until each has crashed three servers, and again three seconds later.
/// @return a violation for each poison request that servers then execute more than three times.
std::vector<Violation> violationsUnderPoisonRequests(const SoakSite &site);

/// Evacuates an availability zone without any other fault. @return a violation for each backend server of the zone that still executes requests
/// after the time in which entry VMs must have received the evacuation.
std::vector<Violation> violationsUnderEvacuation(SoakSite &site);

/// Lets a backend server of each zone announce a request limit without any other fault. @return a violation for each that gets more requests after
/// the time in which entry VMs must have received the limit, or that gets no requests again after the limit has ended.
std::vector<Violation> violationsUnderLimits(SoakSite &site);

/// @return a violation if any server got more requests in a second than a cold server tolerates.
std::vector<Violation> violationsAtColdServers(const SoakSite &site);

/// Waits until every entry VM serves the newest configuration only and answers reads, which takes some seconds after the last fault.
/// @return a violation for each entry VM that does not recover in time.
std::vector<Violation> awaitRecovery(SoakSite &site);

} // namespace Cloverbarrow::Soak
