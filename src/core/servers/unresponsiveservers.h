/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// How certain it is that a server does not answer, in ascending order.
enum class UnresponsiveEvidence {
    SlowProbe, ///< A probe takes longer than a responsive server needs, or does so at another server and was sent after the last answer of this one.
    Failure, ///< A probe or an attempt has failed since its last answer.
    RepeatedFailure, ///< Several have.
};

/// Tracks which servers of a service have stopped answering probes and requests, whether they accept connections or not. Load reports that a server has sent
/// before do not describe it any more.
class UnresponsiveServers
{
public:
    /// A responsive server answers a probe within this time.
    static constexpr Duration ProbeAnswerTime = milliseconds(50);
    /// Failures since the last answer from which on a server is known to be down.
    static constexpr int FailuresIfDown = 2;
    /// Evidence counts for this long, so that a server that is not probed any more gets a request at times.
    static constexpr Duration EvidenceLifetime = seconds(5);

    void probeStarted(TimePoint now, const std::string &server);
    /// The server has answered, with any status.
    void answered(TimePoint now, const std::string &server, bool isProbe);
    /// An attempt or a probe that was started at @p sentAt has ended without an answer.
    void failed(TimePoint now, const std::string &server, TimePoint sentAt, bool isProbe);
    /// Forgets all other servers.
    void keepOnly(std::span<const std::string> servers);

    /// @return names of the servers for which there is such evidence, or better; sorted.
    std::vector<std::string> servers(TimePoint now, UnresponsiveEvidence evidence) const;

private:
    struct Server {
        std::optional<TimePoint> answeredAt;
        std::optional<TimePoint> probedAt; ///< Start of the first probe since the last answer.
        int failures = 0; ///< Since the last answer.
        TimePoint failedAt;
    };

    static bool hasEvidence(const Server &server, TimePoint now, UnresponsiveEvidence evidence);

    std::map<std::string, Server> servers_; ///< By name.
    bool haveAnsweredProbes_ = false; ///< Whether any server has ever answered a probe.
};

} // namespace Cloverbarrow
