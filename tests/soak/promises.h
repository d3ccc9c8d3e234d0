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

/// A promise that was broken, with what shows it.
struct Breach {
    std::string promise;
    std::string detail;
};

/// Compares what callers were told with what backend servers have run.
/// @return each breach; the same one again each time it is asked.
std::vector<Breach> breachesIn(const SoakSite &site, const std::vector<Observation> &observations);

/// Asks each entry VM for hosts that only one version of the configuration has: in one process, versions never fall.
class VersionWatch
{
public:
    explicit VersionWatch(const SoakSite &site);

    /// Asks one entry VM. @return a breach, if there is one.
    std::vector<Breach> look(std::size_t entryVm);

private:
    /// @return status of the answer; 0 when there is none.
    int ask(const EntryAddress &entry, int version);

    const SoakSite &site_;
    BlockingClient client_;
    std::map<ProcessStart, int> known_;
    int asked_ = 0;
};

/// Sends the requests that crash servers on after the last fault, at each entry VM in turn, until three servers have ended under each, and again
/// three seconds later. @return a breach for each of which servers then run more than three.
std::vector<Breach> breachesUnderFatalRequests(const SoakSite &site);

/// Evacuates an availability zone, with all else well. @return a breach for each backend server that still runs requests after the time that
/// entry VMs have to hear of it.
std::vector<Breach> breachesUnderEvacuation(SoakSite &site);

/// Lets a backend server of each zone name a limit on its requests, with all else well. @return a breach for each that gets more from the time on
/// that entry VMs have to hear of it, or that is not used again after the limit has ended.
std::vector<Breach> breachesUnderLimits(SoakSite &site);

/// @return a breach if any server got more requests in a second than it bears while it is cold.
std::vector<Breach> breachesAtColdServers(const SoakSite &site);

/// @return a line for each entry VM that does not serve the newest configuration, and no other, with all servers well; waits
/// for that, since it takes some seconds after the last fault.
std::vector<Breach> awaitRecovery(SoakSite &site);

} // namespace Cloverbarrow::Soak
