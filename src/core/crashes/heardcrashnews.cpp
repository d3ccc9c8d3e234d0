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

bool HeardCrashNews::take(TimePoint now, const CrashNews &news)
{
    const Process process(news.entryVm, news.process);
    if (!heard_.contains(process)) {
        makeRoom();
    }
    auto [entry, isNew] = heard_.try_emplace(process);
    Heard &heard = entry->second;
    if (!isNew && news.number <= heard.news.number) {
        return false;
    }
    const bool saysMore = isNew || news.report != heard.news.report || news.suspected != heard.news.suspected;
    heard.news = news;
    heard.at = now;
    heard.isTold = heard.isTold && !saysMore;
    std::set<ServerEnd> told(news.report.ends.begin(), news.report.ends.end());
    told.insert(news.suspected.begin(), news.suspected.end());
    std::erase_if(heard.since, [&told](const auto &entry) { return !told.contains(entry.first); });
    for (const ServerEnd &end : told) {
        heard.since.try_emplace(end, now);
    }
    return saysMore;
}

void HeardCrashNews::makeRoom()
{
    while (heard_.size() >= MostKept) {
        heard_.erase(std::min_element(heard_.begin(), heard_.end(), [](const auto &left, const auto &right) { return left.second.at < right.second.at; }));
    }
}

bool HeardCrashNews::expire(TimePoint now, const IsShown &isShown, Duration endLifetime)
{
    bool hasForgotten = false;
    for (auto &[process, heard] : heard_) {
        if (now - heard.at > SuspicionLifetime && !heard.news.suspected.empty()) {
            heard.news.suspected.clear();
            hasForgotten = true;
        }
    }
    const auto isOver = [now, &isShown, endLifetime](const auto &entry) {
        const Heard &heard = entry.second;
        const auto &ends = heard.news.report.ends;
        const bool holdsNothing = heard.news.suspected.empty() && std::all_of(ends.begin(), ends.end(), isShown);
        return now - heard.at > endLifetime || (holdsNothing && now - heard.at > LateLimit);
    };
    return std::erase_if(heard_, isOver) > 0 || hasForgotten;
}

std::vector<ServerEnd> HeardCrashNews::takeUnwitnessed(TimePoint now, Duration delay, const IsShown &isShown)
{
    std::vector<ServerEnd> late;
    for (auto &[process, heard] : heard_) {
        for (const ServerEnd &end : heard.news.report.ends) {
            if (now - heard.since.at(end) >= delay && heard.witnessed.insert(end).second && !isShown(end)) {
                late.push_back(end);
            }
        }
        if (now - heard.at >= SilenceLimit) {
            std::copy_if(heard.news.suspected.begin(), heard.news.suspected.end(), std::back_inserter(late), std::not_fn(isShown));
        }
    }
    return late;
}

std::vector<CrashNews> HeardCrashNews::takeUntold(const std::function<bool(const CrashNews &)> &isWorthTelling)
{
    std::vector<CrashNews> untold;
    for (auto &[process, heard] : heard_) {
        if (!heard.isTold && (heard.wasTold || isWorthTelling(heard.news))) {
            heard.isTold = true;
            heard.wasTold = true;
            untold.push_back(heard.news);
        }
    }
    return untold;
}

std::vector<ServerEnd> HeardCrashNews::suspectedBefore(TimePoint until) const
{
    std::vector<ServerEnd> all;
    for (const auto &[process, heard] : heard_) {
        const auto &since = heard.since;
        const auto isBefore = [&since, until](const ServerEnd &end) { return since.at(end) <= until; };
        std::copy_if(heard.news.suspected.begin(), heard.news.suspected.end(), std::back_inserter(all), isBefore);
    }
    return all;
}

std::vector<CrashNews> HeardCrashNews::all() const
{
    std::vector<CrashNews> all;
    for (const auto &[process, heard] : heard_) {
        all.push_back(heard.news);
    }
    return all;
}

} // namespace Cloverbarrow
