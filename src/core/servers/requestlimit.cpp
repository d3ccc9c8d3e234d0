/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/requestlimit.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// Bound on what a server gets beyond its limit, and the time over which it is counted.
constexpr double WindowSeconds = 4;
constexpr double Overage = 1.5;
constexpr double Slack = 5; // requests
// Requests that were sent a little further apart do not arrive within one window.
constexpr Duration Window = milliseconds(4050);
// While a relay takes over from another one, entry VMs go by the places of both, and two sets of senders may use one server.
constexpr double SetsOfPlaces = 2;
// Of one sender in a window. An entry VM has a few requests a second for all servers together, and could not use a larger share.
constexpr int RequestsPerSender = 4;
// A server that takes next to nothing gets a request now and then, whose answer tells whether that still holds.
constexpr double LongestPauseSeconds = 10;

} // namespace

FleetAllowance allowanceFor(double perSecond)
{
    const double steady = perSecond * WindowSeconds;
    const double most = steady * Overage + Slack;
    const int requests = static_cast<int>(std::min(steady, most / SetsOfPlaces));
    if (requests < 1) {
        const double pause = std::min(LongestPauseSeconds, perSecond > 0 ? 1 / perSecond : LongestPauseSeconds);
        return {1, std::max(Window, std::chrono::round<Duration>(std::chrono::duration<double>(pause))), 1};
    }
    return {requests, Window, (requests + RequestsPerSender - 1) / RequestsPerSender};
}

bool KnownLimit::take(TimePoint now, TimePoint askedAt, NoticeSource source, const LimitNotice &notice)
{
    if (std::holds_alternative<UnreadableLimit>(notice)) {
        return false;
    }
    const auto *limit = std::get_if<RequestLimit>(&notice);
    bool &isNamedBySource = areNamedBy_[static_cast<std::size_t>(source)];
    isNamedBySource = isNamedBySource || limit;
    if (!isNamedBySource) {
        return false;
    }
    // An answer to a request that was sent before the limit was last named may be the older one.
    const bool isSurelyNewer = askedAt >= namedAt_;
    const bool isLower = limit && perSecond_ && limit->perSecond < *perSecond_;
    if (perSecond_ && !isSurelyNewer && !isLower) {
        return false;
    }
    namedAt_ = limit ? now : namedAt_;
    heardAt_ = now;
    return set(now, limit ? std::optional(limit->perSecond) : std::nullopt);
}

bool KnownLimit::takeReport(TimePoint now, const LimitReport &report)
{
    if (report.heardAt <= heardAt_) {
        return false;
    }
    namedAt_ = report.perSecond ? report.heardAt : namedAt_;
    heardAt_ = report.heardAt;
    toldAt_ = report.heardAt;
    return set(now, report.perSecond);
}

bool KnownLimit::set(TimePoint now, std::optional<double> perSecond)
{
    if (perSecond == perSecond_) {
        return false;
    }
    std::erase_if(rises_, [now](const Rise &rise) { return now - rise.at >= Window; });
    if (!perSecond || !perSecond_) {
        rises_.clear();
    } else if (*perSecond > *perSecond_) {
        rises_.push_back({now, *perSecond_});
    }
    perSecond_ = perSecond;
    toldAt_ = heardAt_;
    return true;
}

std::optional<double> KnownLimit::perSecond() const
{
    return perSecond_;
}

std::optional<FleetAllowance> KnownLimit::allowance(TimePoint now) const
{
    if (!perSecond_) {
        return std::nullopt;
    }
    // Were the whole allowance of a higher limit there at once, a window that began before the rise would get too many.
    double mean = 0;
    Duration since = Window;
    for (const Rise &rise : rises_) {
        const Duration age = std::min(now - rise.at, since);
        mean += std::min(rise.from, *perSecond_) * ((since - age) / std::chrono::duration<double>(Window));
        since = age;
    }
    mean += *perSecond_ * (since / std::chrono::duration<double>(Window));
    return allowanceFor(std::min(mean, *perSecond_));
}

bool KnownLimit::isNamedBy(NoticeSource source) const
{
    return areNamedBy_[static_cast<std::size_t>(source)];
}

bool KnownLimit::takeConfirmation()
{
    if (!perSecond_ || heardAt_ - toldAt_ < LimitConfirmPause) {
        return false;
    }
    toldAt_ = heardAt_;
    return true;
}

TimePoint KnownLimit::heardAt() const
{
    return heardAt_;
}

} // namespace Cloverbarrow
