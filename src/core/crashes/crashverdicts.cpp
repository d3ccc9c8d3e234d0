/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/crashverdicts.h"

namespace Cloverbarrow
{

CrashVerdicts::CrashVerdicts(std::span<const ServerEnd> crashes,
                             std::span<const ServerEnd> exonerated,
                             const std::set<RequestContent> &recentlyAnswered,
                             std::span<const ServerEnd> suspected)
{
    std::map<std::string, std::set<std::string>> serversByDigest;
    std::map<std::string, std::set<std::string>> callersByDigest;
    for (const ServerEnd &crash : crashes) {
        suspects_.insert(crash.content);
        servers_[crash.content].insert(crash.server);
        serversByDigest[crash.content.digest].insert(crash.server);
        callersByDigest[crash.content.digest].insert(crash.content.caller);
    }
    for (const ServerEnd &crash : exonerated) {
        answered_.insert(crash.content);
    }
    const auto isTooMany = [&recentlyAnswered](const auto &entry) { return entry.second.size() >= EndsBorne && !recentlyAnswered.contains(entry.first); };
    for (const auto &entry : servers_) {
        if (isTooMany(entry)) {
            refused_.insert(entry.first);
        }
    }
    // Suspicions count because the detection of a crash takes 250 ms or more, and a caller that sends the request every 150 ms crashes one server each time.
    for (const ServerEnd &crash : suspected) {
        suspects_.insert(crash.content);
        servers_[crash.content].insert(crash.server);
    }
    for (const auto &entry : servers_) {
        if (isTooMany(entry) && !refused_.contains(entry.first)) {
            refusedForNow_.insert(entry.first);
        }
    }
    // Suspicions do not count against callers that have lost no answer: otherwise a reset of connections to many servers at once would block frequent
    // requests for all callers.
    for (const auto &[digest, servers] : serversByDigest) {
        if (servers.size() >= EndsBorne && callersByDigest[digest].size() >= CallersForAll) {
            refusedOfAll_.insert(digest);
        }
    }
}

bool CrashVerdicts::refuses(const RequestContent &fingerprint) const
{
    return refused_.contains(fingerprint) || refusesForNow(fingerprint) || (refusedOfAll_.contains(fingerprint.digest) && !answered_.contains(fingerprint));
}

bool CrashVerdicts::refusesForNow(const RequestContent &fingerprint) const
{
    return refusedForNow_.contains(fingerprint);
}

bool CrashVerdicts::isSuspect(const RequestContent &fingerprint) const
{
    return suspects_.contains(fingerprint);
}

const std::set<std::string> &CrashVerdicts::serversUnder(const RequestContent &fingerprint) const
{
    static const std::set<std::string> none;
    const auto found = servers_.find(fingerprint);
    return found == servers_.end() ? none : found->second;
}

const std::set<RequestContent> &CrashVerdicts::suspects() const
{
    return suspects_;
}

} // namespace Cloverbarrow
