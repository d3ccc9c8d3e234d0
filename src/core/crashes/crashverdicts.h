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

/// Requests that are not sent to backend servers because too many servers have crashed while they processed copies of them. Immutable.
class CrashVerdicts
{
public:
    /// Crashed servers after which a request is blocked. One crash proves nothing, and two occur when a server crashes for another reason and the
    /// retry reaches another such server; a third one without an answer in between is caused by the request. Three is also what users tolerate.
    static constexpr std::size_t EndsBorne = 3;

    /// Callers whose copies of a request have crashed servers after which it is blocked for all callers. Crashes caused by one or two callers are no
    /// reason to reject the request of another caller, which may be answered.
    static constexpr std::size_t CallersForAll = 3;

    CrashVerdicts() = default;
    /// @param crashes that count.
    /// @param exonerated crashes that do not count; their callers have received answers.
    /// @param recentlyAnswered requests that are not blocked, whatever crashes are reported.
    /// @param suspected crashes inferred from answers that were just lost. They count against their caller until their servers answer.
    CrashVerdicts(std::span<const ServerEnd> crashes,
                  std::span<const ServerEnd> exonerated,
                  const std::set<RequestContent> &recentlyAnswered = {},
                  std::span<const ServerEnd> suspected = {});

    bool refuses(const RequestContent &fingerprint) const;
    /// @return whether the request is blocked because of suspicions, which are cleared soon if the servers have not crashed.
    bool refusesForNow(const RequestContent &fingerprint) const;
    /// @return whether the request is linked to a crash or a suspicion, so that an answer to it must be reported.
    bool isSuspect(const RequestContent &fingerprint) const;
    const std::set<RequestContent> &suspects() const;
    /// @return servers whose crashes or suspected crashes count against the request.
    const std::set<std::string> &serversUnder(const RequestContent &fingerprint) const;

    bool operator==(const CrashVerdicts &) const = default;

private:
    std::set<RequestContent> suspects_;
    std::map<RequestContent, std::set<std::string>> servers_;
    std::set<RequestContent> refused_;
    std::set<RequestContent> refusedForNow_;
    std::set<std::string> refusedOfAll_; ///< Digests that are blocked for all callers, except for callers that have received an answer.
    std::set<RequestContent> answered_;
};

} // namespace Cloverbarrow
