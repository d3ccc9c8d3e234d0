/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/requestblocklist.h"

#include <utility>

namespace Cloverbarrow
{

RequestBlocklist::RequestBlocklist(std::span<const ServerCrash> crashes,
                                   std::span<const ServerCrash> exonerated,
                                   const std::set<RequestFingerprint> &recentlyAnswered,
                                   std::span<const ServerCrash> suspected)
{
    std::set<std::pair<std::string, std::string>> exoneratedServers;
    for (const ServerCrash &crash : exonerated) {
        exonerated_.insert(crash.fingerprint);
        exoneratedServers.emplace(crash.fingerprint.digest, crash.server);
    }
    std::set<std::string> answeredDigests;
    for (const RequestFingerprint &fingerprint : recentlyAnswered) {
        answeredDigests.insert(fingerprint.digest);
    }
    for (const ServerCrash &crash : crashes) {
        const std::string &digest = crash.fingerprint.digest;
        suspects_.insert(crash.fingerprint);
        affectedServers_[crash.fingerprint].insert(crash.server);
        if (!answeredDigests.contains(digest) && !exoneratedServers.contains({digest, crash.server})) {
            crashedServers_[digest].insert(crash.server);
        }
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
    // Suspicions are not added to crashedServers_: otherwise a reset of connections to many servers at once would block frequent requests for all callers.
}

bool RequestBlocklist::blocks(const RequestFingerprint &fingerprint) const
{
    return blocksCaller(fingerprint) || (crashedServerCount(fingerprint.digest) >= CrashesToBlock && !exonerated_.contains(fingerprint));
}

bool RequestBlocklist::blocksCaller(const RequestFingerprint &fingerprint) const
{
    return blocked_.contains(fingerprint) || blocksTemporarily(fingerprint);
}

bool RequestBlocklist::blocksTemporarily(const RequestFingerprint &fingerprint) const
{
    return temporarilyBlocked_.contains(fingerprint);
}

bool RequestBlocklist::isSuspect(const RequestFingerprint &fingerprint) const
{
    return suspects_.contains(fingerprint) || crashedServerCount(fingerprint.digest) + 1 >= CrashesToBlock;
}

std::set<std::string> RequestBlocklist::affectedServers(const RequestFingerprint &fingerprint) const
{
    const auto found = affectedServers_.find(fingerprint);
    std::set<std::string> servers = found == affectedServers_.end() ? std::set<std::string>() : found->second;
    if (const auto crashed = crashedServers_.find(fingerprint.digest); crashed != crashedServers_.end()) {
        servers.insert(crashed->second.begin(), crashed->second.end());
    }
    return servers;
}

std::size_t RequestBlocklist::crashedServerCount(const std::string &digest) const
{
    const auto found = crashedServers_.find(digest);
    return found == crashedServers_.end() ? 0 : found->second.size();
}

const std::set<RequestFingerprint> &RequestBlocklist::suspects() const
{
    return suspects_;
}

} // namespace Cloverbarrow
