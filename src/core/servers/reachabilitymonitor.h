/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Cloverbarrow
{

/// How an attempt or a probe ended without an answer.
enum class ContactFailure {
    NotConnected, ///< No connection was established.
    Reset, ///< The connection was closed before the answer was complete.
    Silent, ///< The request was sent, and no answer came in time.
};

/// An attempt or a probe without an answer.
struct FailedContact {
    std::string server;
    ContactFailure failure = ContactFailure::NotConnected;
    bool usedNewConnection = false; ///< A connection was opened for it, or could not be opened.
    bool isProbe = false;
    TimePoint sentAt = {}; ///< When it was started.
};

/// Detects that this entry VM is partitioned from the backend servers of a service: several of them fail in a row and none answers. A single server that
/// fails shows nothing about the network of this entry VM, and neither do full servers that drop requests or reset connections while others answer.
class ReachabilityMonitor
{
public:
    /// Number of different servers that must fail, or all if a service has fewer.
    static constexpr std::size_t MinFailedServers = 4;
    /// A failure counts for this long.
    static constexpr Duration FailureLifetime = seconds(5);
    /// Number of these servers, or all if a service has fewer, at which the failure of new connections must be one that full servers do not cause.
    static constexpr std::size_t MinConfirmedServers = 3;
    /// Failures in a row over new connections from which on servers are checked. Requests may all go to the same few servers, so they alone do not show
    /// whether others can be reached.
    static constexpr int FailuresToCheck = 2;
    /// Interval between checks of servers.
    static constexpr Duration CheckInterval = milliseconds(200);

    /// A server has answered, with any status. @param usedNewConnection whether it was reached over a connection that was opened for it.
    void contactSucceeded(TimePoint now, bool usedNewConnection);
    void contactFailed(TimePoint now, const FailedContact &contact);
    /// A check of the server called @p server over a new connection has been started.
    void checkStarted(const std::string &server);

    /// @return whether any failure counts, without which none of the following holds. Saves callers counting the servers.
    bool hasFailures(TimePoint now) const;
    /// @param servers number of servers of the service. @return whether no server can be reached over any connection.
    bool isPartitioned(TimePoint now, std::size_t servers) const;
    /// @return whether no server can be reached over a new connection. Connections that are open already may still work.
    bool rejectsNewConnections(TimePoint now, std::size_t servers) const;
    /// @return number of different servers to check over new connections now, to detect a partition or its end. If any, schedules the next checks.
    /// @param silentSince when the first attempt over a new connection that has long been without an answer was started, if there is one.
    std::size_t takeChecks(TimePoint now, std::size_t servers, std::optional<TimePoint> silentSince);
    /// @return whether the server called @p server has neither failed over a new connection recently nor a check without a result.
    bool isUnchecked(TimePoint now, const std::string &server) const;

private:
    using Failures = std::map<std::string, TimePoint>; ///< Time of the last failure by name of the server.

    /// @return whether the failures of @p required different servers, or of all if a service has fewer, are recent.
    static bool isConclusive(const Failures &failures, TimePoint now, std::size_t required, std::size_t servers);
    void recordConnectFailure(TimePoint now, const FailedContact &contact);

    Failures failures_; ///< Since any server answered.
    Failures connectFailures_; ///< Since a server answered over a new connection.
    Failures confirmedConnectFailures_; ///< Those of them that full servers do not cause.
    std::set<std::string> checkedServers_; ///< Servers whose checks have no result yet.
    std::optional<TimePoint> lastAnswer_;
    std::optional<TimePoint> lastAnswerOverNewConnection_;
    int connectFailureStreak_ = 0; ///< Their number, with repeated failures of a server.
    TimePoint lastConnectFailure_;
    TimePoint nextCheck_;
};

} // namespace Cloverbarrow
