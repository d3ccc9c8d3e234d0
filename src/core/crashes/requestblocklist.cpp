/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/requestblocklist.h"

namespace Cloverbarrow
{

RequestBlocklist::RequestBlocklist(std::span<const ServerCrash> crashes,
                                   std::span<const ServerCrash> exonerated,
                                   const std::set<RequestFingerprint> &recentlyAnswered,
                                   std::span<const ServerCrash> suspected)
{
    std::map<std::string, std::set<std::string>> serversByDigest;
    std::map<std::string, std::set<std::string>> callersByDigest;
    for (const ServerCrash &crash : crashes) {
        suspects_.insert(crash.fingerprint);
        affectedServers_[crash.fingerprint].insert(crash.server);
        serversByDigest[crash.fingerprint.digest].insert(crash.server);
        callersByDigest[crash.fingerprint.digest].insert(crash.fingerprint.caller);
    }
    for (const ServerCrash &crash : exonerated) {
        exonerated_.insert(crash.fingerprint);
    }
    const auto isTooMany = [&recentlyAnswered](const auto &entry) { return entry.second.size() >= CrashesToBlock && !recentlyAnswered.contains(entry.first); };
    for (const auto &entry : affectedServers_) {
        if (isTooMany(entry)) {
            blocked_.insert(entry.first);
        }
    }
    // Suspicions count because the detection of a crash takes 250 ms or more, and a caller that sends the request every 150 ms crashes one server each time.
    for (const ServerCrash &crash : suspected) {
        suspects_.insert(crash.fingerprint);
        affectedServers_[crash.fingerprint].insert(crash.server);
    }
    for (const auto &entry : affectedServers_) {
        if (isTooMany(entry) && !blocked_.contains(entry.first)) {
            temporarilyBlocked_.insert(entry.first);
        }
    }
    // Suspicions do not count against callers that have lost no answer: otherwise a reset of connections to many servers at once would block frequent
    // requests for all callers.
    for (const auto &[digest, servers] : serversByDigest) {
        if (servers.size() >= CrashesToBlock && callersByDigest[digest].size() >= CallersToBlockForAll) {
            blockedForAllCallers_.insert(digest);
        }
    }
}

bool RequestBlocklist::blocks(const RequestFingerprint &fingerprint) const
{
    return blocked_.contains(fingerprint) || blocksTemporarily(fingerprint)
        || (blockedForAllCallers_.contains(fingerprint.digest) && !exonerated_.contains(fingerprint));
}

bool RequestBlocklist::blocksTemporarily(const RequestFingerprint &fingerprint) const
{
    return temporarilyBlocked_.contains(fingerprint);
}

bool RequestBlocklist::isSuspect(const RequestFingerprint &fingerprint) const
{
    return suspects_.contains(fingerprint);
}

const std::set<std::string> &RequestBlocklist::affectedServers(const RequestFingerprint &fingerprint) const
{
    static const std::set<std::string> none;
    const auto found = affectedServers_.find(fingerprint);
    return found == affectedServers_.end() ? none : found->second;
}

const std::set<RequestFingerprint> &RequestBlocklist::suspects() const
{
    return suspects_;
}

} // namespace Cloverbarrow
