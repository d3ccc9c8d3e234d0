/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/crashverdicts.h"

namespace Cloverbarrow
{

CrashVerdicts::CrashVerdicts(std::span<const ServerEnd> ends, std::span<const ServerEnd> excused, const std::set<RequestContent> &answeredLately)
{
    std::map<RequestContent, std::set<std::string>> serversOf;
    std::map<std::string, std::set<std::string>> serversOfAll;
    std::map<std::string, std::set<std::string>> callersOf;
    for (const ServerEnd &end : ends) {
        suspects_.insert(end.content);
        serversOf[end.content].insert(end.server);
        serversOfAll[end.content.digest].insert(end.server);
        callersOf[end.content.digest].insert(end.content.caller);
    }
    for (const ServerEnd &end : excused) {
        answered_.insert(end.content);
    }
    for (const auto &[content, servers] : serversOf) {
        ends_[content] = servers.size();
        if (servers.size() >= EndsBorne && !answeredLately.contains(content)) {
            refused_.insert(content);
        }
    }
    for (const auto &[digest, servers] : serversOfAll) {
        if (servers.size() >= EndsBorne && callersOf[digest].size() >= CallersForAll) {
            refusedOfAll_.insert(digest);
        }
    }
}

bool CrashVerdicts::refuses(const RequestContent &content) const
{
    return refused_.contains(content) || (refusedOfAll_.contains(content.digest) && !answered_.contains(content));
}

bool CrashVerdicts::isSuspect(const RequestContent &content) const
{
    return suspects_.contains(content);
}

std::size_t CrashVerdicts::endsUnder(const RequestContent &content) const
{
    const auto found = ends_.find(content);
    return found == ends_.end() ? 0 : found->second;
}

const std::set<RequestContent> &CrashVerdicts::suspects() const
{
    return suspects_;
}

} // namespace Cloverbarrow
