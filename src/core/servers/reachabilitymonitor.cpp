/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/reachabilitymonitor.h"

#include <algorithm>

namespace Cloverbarrow
{

void ReachabilityMonitor::contactSucceeded(bool usedNewConnection)
{
    failures_.clear();
    if (usedNewConnection) {
        connectFailures_.clear();
        connectFailureStreak_ = 0;
    }
}

void ReachabilityMonitor::contactFailed(TimePoint now, const std::string &server, bool usedNewConnection)
{
    const auto isExpired = [now](const auto &failure) { return now - failure.second > FailureLifetime; };
    std::erase_if(failures_, isExpired);
    std::erase_if(connectFailures_, isExpired);
    failures_.insert_or_assign(server, now);
    if (usedNewConnection) {
        connectFailureStreak_ = now - lastConnectFailure_ > FailureLifetime ? 1 : connectFailureStreak_ + 1;
        lastConnectFailure_ = now;
        connectFailures_.insert_or_assign(server, now);
    }
}

bool ReachabilityMonitor::hasFailures(TimePoint now) const
{
    return !failures_.empty() || (!connectFailures_.empty() && now - lastConnectFailure_ <= FailureLifetime);
}

bool ReachabilityMonitor::isPartitioned(TimePoint now, std::size_t servers) const
{
    return isConclusive(failures_, now, servers);
}

bool ReachabilityMonitor::rejectsNewConnections(TimePoint now, std::size_t servers) const
{
    return isConclusive(connectFailures_, now, servers);
}

bool ReachabilityMonitor::takeCheck(TimePoint now, std::size_t servers)
{
    const bool isSuspected = connectFailureStreak_ >= FailuresToCheck && now - lastConnectFailure_ <= FailureLifetime;
    if (now < nextCheck_ || !(isSuspected || isPartitioned(now, servers))) {
        return false;
    }
    nextCheck_ = now + CheckInterval;
    return true;
}

bool ReachabilityMonitor::isConclusive(const Failures &failures, TimePoint now, std::size_t servers)
{
    const auto isRecent = [now](const auto &failure) { return now - failure.second <= FailureLifetime; };
    const auto failed = static_cast<std::size_t>(std::count_if(failures.begin(), failures.end(), isRecent));
    return failed > 0 && failed >= std::min(MinFailedServers, servers);
}

} // namespace Cloverbarrow
