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
// More than all entry VMs can send to one server; higher limits do not fit into the type.
constexpr double MaxRequestsPerWindow = 1e8;
// A server with a limit near zero still gets a request at this interval, since its answer shows whether the limit is still in force.
constexpr double MaxIntervalSeconds = 10;

} // namespace

ServerQuota quotaFor(double perSecond)
{
    const double steady = perSecond * WindowSeconds;
    const double maximum = steady * MaxOverageFactor + MaxOverageRequests;
    const int requests = static_cast<int>(std::min({steady, maximum / MaxSenderSets, MaxRequestsPerWindow}));
    if (requests < 1) {
        const double interval = std::min(MaxIntervalSeconds, perSecond > 0 ? 1 / perSecond : MaxIntervalSeconds);
        return {1, std::max(Window, std::chrono::round<Duration>(std::chrono::duration<double>(interval))), 1};
    }
    return {requests, Window, (requests + RequestsPerSender - 1) / RequestsPerSender};
}

bool TrackedLimit::apply(TimePoint now, TimePoint sentAt, NoticeSource source, const LimitNotice &notice)
{
    if (std::holds_alternative<UnreadableLimit>(notice)) {
        return false;
    }
    const auto *limit = std::get_if<RequestLimit>(&notice);
    bool &isAnnouncingSource = announcesLimit_[static_cast<std::size_t>(source)];
    isAnnouncingSource = isAnnouncingSource || limit;
    if (!isAnnouncingSource) {
        return false;
    }
    // An answer to a request that was sent before the limit was last announced may be older than that announcement.
    const bool isSurelyNewer = sentAt >= announcedAt_;
    const bool isLower = limit && perSecond_ && limit->perSecond < *perSecond_;
    if (perSecond_ && !isSurelyNewer && !isLower) {
        return false;
    }
    announcedAt_ = limit ? now : announcedAt_;
    lastObservedAt_ = now;
    return set(now, limit ? std::optional(limit->perSecond) : std::nullopt);
}

bool TrackedLimit::applyReport(TimePoint now, const LimitReport &report)
{
    if (report.observedAt <= lastObservedAt_) {
        return false;
    }
    announcedAt_ = report.perSecond ? report.observedAt : announcedAt_;
    lastObservedAt_ = report.observedAt;
    publishedAt_ = report.observedAt;
    return set(now, report.perSecond);
}

bool TrackedLimit::set(TimePoint now, std::optional<double> perSecond)
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
    publishedAt_ = lastObservedAt_;
    return true;
}

std::optional<double> TrackedLimit::perSecond() const
{
    return perSecond_;
}

std::optional<ServerQuota> TrackedLimit::quota(TimePoint now) const
{
    if (!perSecond_) {
        return std::nullopt;
    }
    // Averaged over the last window: if an increased limit applied in full at once, a window that began before the increase would get too many requests.
    double mean = 0;
    Duration since = Window;
    for (const Rise &rise : rises_) {
        const Duration age = std::min(now - rise.at, since);
        mean += std::min(rise.previousPerSecond, *perSecond_) * ((since - age) / std::chrono::duration<double>(Window));
        since = age;
    }
    mean += *perSecond_ * (since / std::chrono::duration<double>(Window));
    return quotaFor(std::min(mean, *perSecond_));
}

bool TrackedLimit::isAnnouncedBy(NoticeSource source) const
{
    return announcesLimit_[static_cast<std::size_t>(source)];
}

bool TrackedLimit::claimConfirmation()
{
    if (!perSecond_ || lastObservedAt_ - publishedAt_ < LimitConfirmInterval) {
        return false;
    }
    publishedAt_ = lastObservedAt_;
    return true;
}

TimePoint TrackedLimit::lastObservedAt() const
{
    return lastObservedAt_;
}

} // namespace Cloverbarrow
