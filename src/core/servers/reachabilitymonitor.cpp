/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/reachabilitymonitor.h"

#include <algorithm>

namespace Cloverbarrow
{

void ReachabilityMonitor::contactSucceeded(TimePoint now, bool usedNewConnection)
{
    failures_.clear();
    lastAnswer_ = now;
    if (usedNewConnection) {
        connectFailures_.clear();
        confirmedConnectFailures_.clear();
        checkedServers_.clear();
        connectFailureStreak_ = 0;
        lastAnswerOverNewConnection_ = now;
    }
}

void ReachabilityMonitor::contactFailed(TimePoint now, const FailedContact &contact)
{
    const auto isExpired = [now](const auto &failure) { return now - failure.second > FailureLifetime; };
    for (Failures *failures : {&failures_, &connectFailures_, &confirmedConnectFailures_}) {
        std::erase_if(*failures, isExpired);
    }
    // The silence of one server shows nothing about the network if another server has answered meanwhile. Without this rule, requests that full servers had
    // dropped at about the same time looked like a partition when they reached their deadlines.
    const auto isContradicted = [&contact](const std::optional<TimePoint> &answeredAt) {
        return contact.failure == ContactFailure::Silent && answeredAt && *answeredAt > contact.sentAt;
    };
    if (!isContradicted(lastAnswer_)) {
        failures_.insert_or_assign(contact.server, now);
    }
    if (contact.usedNewConnection && !isContradicted(lastAnswerOverNewConnection_)) {
        recordConnectFailure(now, contact);
    }
}

void ReachabilityMonitor::recordConnectFailure(TimePoint now, const FailedContact &contact)
{
    connectFailureStreak_ = now - lastConnectFailure_ > FailureLifetime ? 1 : connectFailureStreak_ + 1;
    lastConnectFailure_ = now;
    connectFailures_.insert_or_assign(contact.server, now);
    // A full server drops requests, but answers probes; at its connection limit it resets any new connection. Checks go to servers that have not failed, so
    // several that fail are not explained by some full servers.
    const bool isCheck = contact.isProbe && checkedServers_.erase(contact.server) > 0;
    const bool isUnexplainedSilence = contact.failure == ContactFailure::Silent && contact.isProbe;
    if (isCheck || isUnexplainedSilence || contact.failure == ContactFailure::NotConnected) {
        confirmedConnectFailures_.insert_or_assign(contact.server, now);
    }
}

void ReachabilityMonitor::checkStarted(const std::string &server)
{
    checkedServers_.insert(server);
}

bool ReachabilityMonitor::hasFailures(TimePoint now) const
{
    return !failures_.empty() || (!connectFailures_.empty() && now - lastConnectFailure_ <= FailureLifetime);
}

bool ReachabilityMonitor::isPartitioned(TimePoint now, std::size_t servers) const
{
    return isConclusive(failures_, now, MinFailedServers, servers);
}

bool ReachabilityMonitor::rejectsNewConnections(TimePoint now, std::size_t servers) const
{
    return isConclusive(connectFailures_, now, MinFailedServers, servers) && isConclusive(confirmedConnectFailures_, now, MinConfirmedServers, servers);
}

std::size_t ReachabilityMonitor::takeChecks(TimePoint now, std::size_t servers, std::optional<TimePoint> silentSince)
{
    const bool isSuspected = connectFailureStreak_ >= FailuresToCheck && now - lastConnectFailure_ <= FailureLifetime;
    const bool isSilent = silentSince && !(lastAnswerOverNewConnection_ && *lastAnswerOverNewConnection_ > *silentSince);
    if (now < nextCheck_ || !(isSuspected || isSilent || isPartitioned(now, servers))) {
        return 0;
    }
    nextCheck_ = now + CheckInterval;
    if (rejectsNewConnections(now, servers) && !isPartitioned(now, servers)) {
        return 1;
    }
    // As many servers at once as a conclusion needs. With one check in each interval, a partition that writes had shown within 0.1 s was confirmed after 0.3 s.
    // While no server answers at all, each check also shows whether that server may be used when the partition ends, and a single one would get all requests.
    return std::max<std::size_t>(1, MinFailedServers - std::min(MinFailedServers, checkedServers_.size()));
}

bool ReachabilityMonitor::isUnchecked(TimePoint now, const std::string &server) const
{
    const auto failure = connectFailures_.find(server);
    const bool hasFailed = failure != connectFailures_.end() && now - failure->second <= FailureLifetime;
    return !hasFailed && !checkedServers_.contains(server);
}

bool ReachabilityMonitor::isConclusive(const Failures &failures, TimePoint now, std::size_t required, std::size_t servers)
{
    const auto isRecent = [now](const auto &failure) { return now - failure.second <= FailureLifetime; };
    const auto failed = static_cast<std::size_t>(std::count_if(failures.begin(), failures.end(), isRecent));
    return failed > 0 && failed >= std::min(required, servers);
}

} // namespace Cloverbarrow
