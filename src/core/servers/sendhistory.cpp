/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/sendhistory.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// At least as long as the longest window that is passed to countIn() and dropsBelowAt().
constexpr Duration RetentionPeriod = seconds(12);
constexpr std::size_t MaxSends = 4096;
// A request that is answered within this time arrived about when it was sent. A request answered later may have been held up by a broken
// connection and have arrived together with others once it recovered.
constexpr Duration QuickAnswer = milliseconds(300);

} // namespace

void SendHistory::recordStart(TimePoint now)
{
    const auto isOld = [now](const Send &send) { return send.endedAt && now - *send.endedAt > RetentionPeriod; };
    const auto firstRecent = std::find_if_not(sends_.begin(), sends_.end(), isOld);
    sends_.erase(sends_.begin(), sends_.size() >= MaxSends && firstRecent == sends_.begin() ? firstRecent + 1 : firstRecent);
    sends_.push_back({now, std::nullopt});
}

void SendHistory::recordEnd(TimePoint now, TimePoint startedAt)
{
    const auto isMatch = [startedAt](const Send &send) { return send.startedAt == startedAt && !send.endedAt; };
    if (const auto found = std::find_if(sends_.begin(), sends_.end(), isMatch); found != sends_.end()) {
        found->endedAt = now;
    }
}

TimePoint SendHistory::latestArrival(TimePoint now, const Send &send)
{
    const TimePoint end = send.endedAt.value_or(now);
    return send.endedAt && end - send.startedAt <= QuickAnswer ? send.startedAt : end;
}

int SendHistory::countIn(TimePoint now, Duration window) const
{
    return static_cast<int>(std::count_if(sends_.begin(), sends_.end(), [now, window](const Send &send) { return now - latestArrival(now, send) < window; }));
}

std::optional<TimePoint> SendHistory::dropsBelowAt(TimePoint now, int count, Duration window) const
{
    std::vector<TimePoint> expiries;
    for (const Send &send : sends_) {
        expiries.push_back(latestArrival(now, send) + window);
    }
    const auto needed = static_cast<std::size_t>(count);
    if (count <= 0 || expiries.size() < needed) {
        return count <= 0 ? std::nullopt : std::optional(now);
    }
    // The count falls below the given number when the send with the count-th latest expiry has expired.
    const auto last = expiries.begin() + static_cast<std::ptrdiff_t>(expiries.size() - needed);
    std::nth_element(expiries.begin(), last, expiries.end());
    return std::max(now, *last);
}

TimePoint SendHistory::lastStart() const
{
    return sends_.empty() ? TimePoint() : sends_.back().startedAt;
}

} // namespace Cloverbarrow
