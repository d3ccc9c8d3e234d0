/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/heardcrashnews.h"

#include <algorithm>
#include <iterator>

namespace Cloverbarrow
{

bool HeardCrashNews::take(TimePoint now, const CrashNews &update)
{
    const Process process(update.entryVm, update.process);
    if (!heard_.contains(process)) {
        makeRoom();
    }
    auto [entry, isNew] = heard_.try_emplace(process);
    Heard &state = entry->second;
    if (!isNew && update.number <= state.news.number) {
        return false;
    }
    const bool hasChanged = isNew || update.report != state.news.report || update.suspected != state.news.suspected;
    state.news = update;
    state.at = now;
    state.isTold = state.isTold && !hasChanged;
    std::set<ServerEnd> reported(update.report.ends.begin(), update.report.ends.end());
    reported.insert(update.suspected.begin(), update.suspected.end());
    std::erase_if(state.since, [&reported](const auto &entry) { return !reported.contains(entry.first); });
    for (const ServerEnd &crash : reported) {
        state.since.try_emplace(crash, now);
    }
    return hasChanged;
}

void HeardCrashNews::makeRoom()
{
    while (heard_.size() >= MostKept) {
        heard_.erase(std::min_element(heard_.begin(), heard_.end(), [](const auto &left, const auto &right) { return left.second.at < right.second.at; }));
    }
}

bool HeardCrashNews::expire(TimePoint now, const IsShown &isStored, Duration crashLifetime)
{
    bool hasDropped = false;
    for (auto &[process, state] : heard_) {
        if (now - state.at > SuspicionLifetime && !state.news.suspected.empty()) {
            state.news.suspected.clear();
            hasDropped = true;
        }
    }
    const auto isExpired = [now, &isStored, crashLifetime](const auto &entry) {
        const Heard &state = entry.second;
        const auto &crashes = state.news.report.ends;
        const bool hasNothingOpen = state.news.suspected.empty() && std::all_of(crashes.begin(), crashes.end(), isStored);
        return now - state.at > crashLifetime || (hasNothingOpen && now - state.at > LateLimit);
    };
    return std::erase_if(heard_, isExpired) > 0 || hasDropped;
}

std::vector<ServerEnd> HeardCrashNews::takeUnwitnessed(TimePoint now, Duration delay, const IsShown &isStored)
{
    std::vector<ServerEnd> overdue;
    for (auto &[process, state] : heard_) {
        for (const ServerEnd &crash : state.news.report.ends) {
            if (now - state.since.at(crash) >= delay && state.witnessed.insert(crash).second && !isStored(crash)) {
                overdue.push_back(crash);
            }
        }
        if (now - state.at >= SilenceLimit) {
            std::copy_if(state.news.suspected.begin(), state.news.suspected.end(), std::back_inserter(overdue), std::not_fn(isStored));
        }
    }
    return overdue;
}

std::vector<CrashNews> HeardCrashNews::takeUntold(const std::function<bool(const CrashNews &)> &isWorthForwarding)
{
    std::vector<CrashNews> unforwarded;
    for (auto &[process, state] : heard_) {
        if (!state.isTold && (state.wasTold || isWorthForwarding(state.news))) {
            state.isTold = true;
            state.wasTold = true;
            unforwarded.push_back(state.news);
        }
    }
    return unforwarded;
}

std::vector<ServerEnd> HeardCrashNews::suspectedBefore(TimePoint until) const
{
    std::vector<ServerEnd> all;
    for (const auto &[process, state] : heard_) {
        const auto &since = state.since;
        const auto isBefore = [&since, until](const ServerEnd &crash) { return since.at(crash) <= until; };
        std::copy_if(state.news.suspected.begin(), state.news.suspected.end(), std::back_inserter(all), isBefore);
    }
    return all;
}

std::vector<CrashNews> HeardCrashNews::all() const
{
    std::vector<CrashNews> all;
    for (const auto &[process, state] : heard_) {
        all.push_back(state.news);
    }
    return all;
}

} // namespace Cloverbarrow
