/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/crashverdicts.h"

namespace Cloverbarrow
{

CrashVerdicts::CrashVerdicts(std::span<const ServerEnd> ends,
                             std::span<const ServerEnd> excused,
                             const std::set<RequestContent> &answeredLately,
                             std::span<const ServerEnd> suspected)
{
    std::map<std::string, std::set<std::string>> serversOfAll;
    std::map<std::string, std::set<std::string>> callersOf;
    for (const ServerEnd &end : ends) {
        suspects_.insert(end.content);
        servers_[end.content].insert(end.server);
        serversOfAll[end.content.digest].insert(end.server);
        callersOf[end.content.digest].insert(end.content.caller);
    }
    for (const ServerEnd &end : excused) {
        answered_.insert(end.content);
    }
    const auto isTooMany = [&answeredLately](const auto &entry) { return entry.second.size() >= EndsBorne && !answeredLately.contains(entry.first); };
    for (const auto &entry : servers_) {
        if (isTooMany(entry)) {
            refused_.insert(entry.first);
        }
    }
    // It takes a quarter of a second and more to find out that a server has ended, and a caller that comes each 150 ms ends one server each time.
    for (const ServerEnd &end : suspected) {
        suspects_.insert(end.content);
        servers_[end.content].insert(end.server);
    }
    for (const auto &entry : servers_) {
        if (isTooMany(entry) && !refused_.contains(entry.first)) {
            refusedForNow_.insert(entry.first);
        }
    }
    // Suspicions do not count against callers under whose requests nothing was lost: when connections to many servers are reset at once, what is asked
    // for often would be refused to everybody.
    for (const auto &[digest, servers] : serversOfAll) {
        if (servers.size() >= EndsBorne && callersOf[digest].size() >= CallersForAll) {
            refusedOfAll_.insert(digest);
        }
    }
}

bool CrashVerdicts::refuses(const RequestContent &content) const
{
    return refused_.contains(content) || refusesForNow(content) || (refusedOfAll_.contains(content.digest) && !answered_.contains(content));
}

bool CrashVerdicts::refusesForNow(const RequestContent &content) const
{
    return refusedForNow_.contains(content);
}

bool CrashVerdicts::isSuspect(const RequestContent &content) const
{
    return suspects_.contains(content);
}

const std::set<std::string> &CrashVerdicts::serversUnder(const RequestContent &content) const
{
    static const std::set<std::string> none;
    const auto found = servers_.find(content);
    return found == servers_.end() ? none : found->second;
}

const std::set<RequestContent> &CrashVerdicts::suspects() const
{
    return suspects_;
}

} // namespace Cloverbarrow
