/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashreport.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>

namespace Cloverbarrow
{

/// Which requests are not passed on to servers, since too many servers have ended under the same ones before. Does not change once made.
class CrashVerdicts
{
public:
    /// Servers that may end under one content. One end says nothing, and two are seen when a server ends by itself and the retry meets another that
    /// does; a third with no answer between them is the request's doing. The users bear three as well.
    static constexpr std::size_t EndsBorne = 3;

    /// Callers under whose requests with one content servers have ended, before it is refused whoever sends it: one caller's harm, or two
    /// callers', is no reason to refuse another one, who may be answered.
    static constexpr std::size_t CallersForAll = 3;

    CrashVerdicts() = default;
    /// @param ends that count. @param excused ends that do not; their callers have had answers. @param answeredLately contents that are not refused, whatever
    /// ends are told of.
    /// @param suspected answers that were just lost. They count as ends against their caller until their servers are heard.
    CrashVerdicts(std::span<const ServerEnd> ends,
                  std::span<const ServerEnd> excused,
                  const std::set<RequestContent> &answeredLately = {},
                  std::span<const ServerEnd> suspected = {});

    bool refuses(const RequestContent &content) const;
    /// @return whether it is refused by suspicions, which are soon over where servers have not ended.
    bool refusesForNow(const RequestContent &content) const;
    /// @return whether a server has ended under the content, so that an answer to it is worth telling.
    bool isSuspect(const RequestContent &content) const;
    const std::set<RequestContent> &suspects() const;
    /// @return servers that have ended, or may have, under the content, as far as they count.
    const std::set<std::string> &serversUnder(const RequestContent &content) const;

    bool operator==(const CrashVerdicts &) const = default;

private:
    std::set<RequestContent> suspects_;
    std::map<RequestContent, std::set<std::string>> servers_;
    std::set<RequestContent> refused_;
    std::set<RequestContent> refusedForNow_;
    std::set<std::string> refusedOfAll_; ///< Digests that are refused whoever sends them, but for those that have had an answer.
    std::set<RequestContent> answered_;
};

} // namespace Cloverbarrow
