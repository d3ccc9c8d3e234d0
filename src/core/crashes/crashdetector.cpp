/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/crashdetector.h"

#include <algorithm>

namespace Cloverbarrow
{

CrashDetector::Finding CrashDetector::answerLost(TimePoint now,
                                                 const std::string &server,
                                                 const RequestFingerprint &fingerprint,
                                                 DirectoryStatus directoryStatus)
{
    auto watched = find(server);
    if (watched == watched_.end()) {
        // The first probe waits for SettleTime: an earlier answer would be ignored, and the crash detected 120 ms later.
        watched_.push_back({server, now, now + SettleTime, {}, directoryStatus, 0, directoryStatus == DirectoryStatus::Unlisted});
        watched = std::prev(watched_.end());
    }
    const bool isKnown = std::find(watched->fingerprints.begin(), watched->fingerprints.end(), fingerprint) != watched->fingerprints.end();
    if (!isKnown) {
        watched->fingerprints.push_back(fingerprint);
    }
    Finding finding;
    if (!isKnown && watched->hasCrashed) {
        finding.crashFingerprints = {fingerprint};
    }
    finding.isSuspected = !isKnown && !watched->hasCrashed;
    return finding;
}

CrashDetector::Finding CrashDetector::livenessObserved(TimePoint now, const std::string &server, ServerLiveness liveness)
{
    const auto watched = find(server);
    if (watched == watched_.end() || now - watched->lostAt < SettleTime) {
        return {};
    }
    if (liveness == ServerLiveness::Answered) {
        Finding finding;
        finding.hasRecovered = watched->hasCrashed && now - watched->lostAt < RecoveryLimit;
        finding.isSuspicionCleared = !watched->hasCrashed;
        watched_.erase(watched);
        return finding;
    }
    watched->rejectedProbes += liveness == ServerLiveness::Rejected ? 1 : 0;
    if (watched->hasCrashed || watched->rejectedProbes < RejectedProbesForCrash || now - watched->lostAt < MinDetectionTime) {
        return {};
    }
    watched->hasCrashed = true;
    return {watched->fingerprints};
}

void CrashDetector::directoryUpdated(TimePoint now,
                                     std::span<const std::string> servers,
                                     const std::function<void(const std::string &, const Finding &)> &crashed)
{
    for (WatchedServer &watched : watched_) {
        const bool hasEntry = std::find(servers.begin(), servers.end(), watched.server) != servers.end();
        if (!hasEntry && !watched.hasCrashed && watched.directoryStatus != DirectoryStatus::Leaving && now - watched.lostAt < EntryRemovalLimit) {
            watched.hasCrashed = true;
            crashed(watched.server, {watched.fingerprints});
        }
    }
}

std::vector<std::string> CrashDetector::takeDueProbes(TimePoint now)
{
    std::erase_if(watched_, [now](const WatchedServer &watched) { return now - watched.lostAt > (watched.hasCrashed ? RecoveryLimit : EntryRemovalLimit); });
    std::vector<std::string> servers;
    for (WatchedServer &watched : watched_) {
        if (now >= watched.nextProbe && now - watched.lostAt < RecoveryLimit) {
            watched.nextProbe = now + ProbeInterval;
            servers.push_back(watched.server);
        }
    }
    return servers;
}

void CrashDetector::probeNotSent(const std::string &server, TimePoint now)
{
    if (const auto watched = find(server); watched != watched_.end()) {
        watched->nextProbe = now;
    }
}

std::vector<CrashDetector::WatchedServer>::iterator CrashDetector::find(const std::string &server)
{
    return std::find_if(watched_.begin(), watched_.end(), [&server](const WatchedServer &watched) { return watched.server == server; });
}

} // namespace Cloverbarrow
