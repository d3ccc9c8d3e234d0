/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/sendhistory.h"

#include <algorithm>
#include <vector>

namespace Cloverbarrow
{

namespace
{

// The longest window that is asked for.
constexpr Duration KeptFor = seconds(12);
constexpr std::size_t MostKept = 4096;
// A request that was answered within this time arrived about when it was sent. Others may have waited in a connection that was cut, and have arrived
// together once it was whole again.
constexpr Duration QuickAnswer = milliseconds(300);

} // namespace

void SendHistory::started(TimePoint now)
{
    const auto isOld = [now](const Send &send) { return send.endedAt && now - *send.endedAt > KeptFor; };
    while (!sends_.empty() && (isOld(sends_.front()) || sends_.size() >= MostKept)) {
        sends_.pop_front();
    }
    sends_.push_back({now, std::nullopt});
}

void SendHistory::ended(TimePoint now, TimePoint startedAt)
{
    const auto isIt = [startedAt](const Send &send) { return send.startedAt == startedAt && !send.endedAt; };
    if (const auto found = std::find_if(sends_.begin(), sends_.end(), isIt); found != sends_.end()) {
        found->endedAt = now;
    }
}

TimePoint SendHistory::arrivedBy(TimePoint now, const Send &send)
{
    const TimePoint end = send.endedAt.value_or(now);
    return send.endedAt && end - send.startedAt <= QuickAnswer ? send.startedAt : end;
}

int SendHistory::countIn(TimePoint now, Duration window) const
{
    return static_cast<int>(std::count_if(sends_.begin(), sends_.end(), [now, window](const Send &send) { return now - arrivedBy(now, send) < window; }));
}

std::optional<TimePoint> SendHistory::fewerAt(TimePoint now, int most, Duration window) const
{
    std::vector<TimePoint> ends;
    for (const Send &send : sends_) {
        ends.push_back(arrivedBy(now, send) + window);
    }
    const auto needed = static_cast<std::size_t>(most);
    if (most <= 0 || ends.size() < needed) {
        return most <= 0 ? std::nullopt : std::optional(now);
    }
    // The sends that still count when one more may follow are the latest ones but for this one.
    const auto last = ends.begin() + static_cast<std::ptrdiff_t>(ends.size() - needed);
    std::nth_element(ends.begin(), last, ends.end());
    return std::max(now, *last);
}

TimePoint SendHistory::lastStart() const
{
    return sends_.empty() ? TimePoint() : sends_.back().startedAt;
}

} // namespace Cloverbarrow
