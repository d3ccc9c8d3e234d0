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

// In any window of this length, a server may get at most its limit times MaxOverageFactor, plus a fixed number of requests.
constexpr double WindowSeconds = 4;
constexpr double MaxOverageFactor = 1.5;
constexpr double MaxOverageRequests = 5;
// Slightly longer than WindowSeconds, because the time between two requests may shrink on the way to the server.
constexpr Duration Window = milliseconds(4050);
// While a relay takes over from another one, entry VMs have ranks from either, so two sets of senders may use one server.
constexpr double MaxSenderSets = 2;
// Share of one sender in a window. An entry VM gets only a few requests per second for all servers together and could not use a larger share.
constexpr int RequestsPerSender = 4;
// A server with a limit near zero still gets a request at this interval, since its answer shows whether the limit is still in force.
constexpr double MaxIntervalSeconds = 10;

} // namespace

FleetAllowance allowanceFor(double perSecond)
{
    const double steady = perSecond * WindowSeconds;
    const double maximum = steady * MaxOverageFactor + MaxOverageRequests;
    const int requests = static_cast<int>(std::min(steady, maximum / MaxSenderSets));
    if (requests < 1) {
        const double interval = std::min(MaxIntervalSeconds, perSecond > 0 ? 1 / perSecond : MaxIntervalSeconds);
        return {1, std::max(Window, std::chrono::round<Duration>(std::chrono::duration<double>(interval))), 1};
    }
    return {requests, Window, (requests + RequestsPerSender - 1) / RequestsPerSender};
}

bool KnownLimit::take(TimePoint now, TimePoint askedAt, NoticeSource source, const LimitNotice &notice)
{
    if (std::holds_alternative<UnreadableLimit>(notice)) {
        return false;
    }
    const auto *limit = std::get_if<RequestLimit>(&notice);
    bool &isAnnouncingSource = areNamedBy_[static_cast<std::size_t>(source)];
    isAnnouncingSource = isAnnouncingSource || limit;
    if (!isAnnouncingSource) {
        return false;
    }
    // An answer to a request that was sent before the limit was last announced may be older than that announcement.
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
    // Averaged over the last window: if an increased limit applied in full at once, a window that began before the increase would get too many requests.
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
