/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace Cloverbarrow
{

/// Detects that this entry VM is partitioned from the backend servers of a service: several of them fail in a row and none answers. A single server that
/// fails shows nothing about the network of this entry VM.
class ReachabilityMonitor
{
public:
    /// Number of different servers that must fail, or all if a service has fewer.
    static constexpr std::size_t MinFailedServers = 4;
    /// A failure counts for this long.
    static constexpr Duration FailureLifetime = seconds(5);
    /// Failures in a row over new connections from which on servers are checked. Requests may all go to the same few servers, so they alone do not show
    /// whether others can be reached.
    static constexpr int FailuresToCheck = 2;
    /// Interval between checks of servers.
    static constexpr Duration CheckInterval = milliseconds(200);

    /// @param usedNewConnection whether the server was reached over a connection that was opened for it.
    void contactSucceeded(bool usedNewConnection);
    /// @param usedNewConnection whether a new connection could not be opened, or was of no use.
    void contactFailed(TimePoint now, const std::string &server, bool usedNewConnection);

    /// @return whether any failure counts, without which none of the following holds. Saves callers counting the servers.
    bool hasFailures(TimePoint now) const;
    /// @param servers number of servers of the service. @return whether no server can be reached over any connection.
    bool isPartitioned(TimePoint now, std::size_t servers) const;
    /// @return whether no server can be reached over a new connection. Connections that are open already may still work.
    bool rejectsNewConnections(TimePoint now, std::size_t servers) const;
    /// @return whether a server must be checked over a new connection now, to detect a partition or its end. If so, schedules the next check.
    bool takeCheck(TimePoint now, std::size_t servers);

private:
    using Failures = std::map<std::string, TimePoint>; ///< Time of the last failure by name of the server.

    static bool isConclusive(const Failures &failures, TimePoint now, std::size_t servers);

    Failures failures_; ///< Since any server answered.
    Failures connectFailures_; ///< Since a server answered over a new connection.
    int connectFailureStreak_ = 0; ///< Their number, with repeated failures of a server.
    TimePoint lastConnectFailure_;
    TimePoint nextCheck_;
};

} // namespace Cloverbarrow
