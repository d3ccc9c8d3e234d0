/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/serverhints.h"

#include "core/support/stablehash.h"

#include <utility>

namespace Cloverbarrow
{

namespace
{

// Most servers of one service that are named at a time; bounds the memory that wrong reports can use.
constexpr std::size_t MaxHints = 1024;
// If more than half of the servers are named, the others could not serve the load of all, and reports do not tell good from bad servers any more.
constexpr std::size_t MaxHintedDivisor = 2;
// The first entry VMs use a server again after half of the lifetime. If it is still slow, the first of them reports it again before most others follow.
constexpr Duration MinLifetime = SlowServerReport::Lifetime / 2;

} // namespace

ServerHints::ServerHints(std::string entryVm)
    : entryVm_(std::move(entryVm))
{
}

ServerHints::Effect ServerHints::apply(TimePoint now, const SlowServerReport &report)
{
    const TimePoint until = report.observedAt + lifetimeFor(report.server);
    const auto usual = usualResponses_.find(report.server);
    const bool isOverridden = usual != usualResponses_.end() && report.observedAt <= usual->second;
    const auto known = hints_.find(report.server);
    const bool isKnown = known != hints_.end();
    const bool isOld = isKnown && report.observedAt <= known->second.report.observedAt;
    if (now >= until || isOverridden || isOld || (!isKnown && hints_.size() >= MaxHints)) {
        return Effect::None;
    }
    const bool isInForce = isKnown && now < known->second.until;
    hints_.insert_or_assign(report.server, Hint{report, until});
    return isInForce ? Effect::Renewed : Effect::Added;
}

std::optional<ServerHints::Hint> ServerHints::recordUsualResponse(TimePoint now, std::string_view server)
{
    usualResponses_.insert_or_assign(std::string(server), now);
    const auto found = hints_.find(server);
    if (found == hints_.end()) {
        return std::nullopt;
    }
    const Hint overridden = std::move(found->second);
    hints_.erase(found);
    return now < overridden.until ? std::optional(overridden) : std::nullopt;
}

std::size_t ServerHints::update(TimePoint now, std::size_t servers)
{
    const std::size_t expired = std::erase_if(hints_, [now](const auto &entry) { return now >= entry.second.until; });
    // No report that is older than these can still be in force.
    std::erase_if(usualResponses_, [now](const auto &entry) { return now - entry.second >= SlowServerReport::Lifetime; });
    isSuspended_ = hints_.size() * MaxHintedDivisor > servers;
    return expired;
}

const ServerHints::Hint *ServerHints::find(TimePoint now, std::string_view server) const
{
    const auto found = hints_.find(server);
    return found != hints_.end() && now < found->second.until ? &found->second : nullptr;
}

bool ServerHints::isAvoided(TimePoint now, std::string_view server) const
{
    return !isSuspended_ && !hints_.empty() && find(now, server);
}

bool ServerHints::isSuspended() const
{
    return isSuspended_;
}

std::size_t ServerHints::count() const
{
    return hints_.size();
}

Duration ServerHints::lifetimeFor(const std::string &server) const
{
    constexpr std::uint64_t Steps = 1024;
    const auto step = static_cast<Duration::rep>(stableHash({entryVm_, server}) % Steps);
    return MinLifetime + (SlowServerReport::Lifetime - MinLifetime) * step / static_cast<Duration::rep>(Steps);
}

} // namespace Cloverbarrow
