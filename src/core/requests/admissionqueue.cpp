/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/admissionqueue.h"

#include "core/requests/retryafter.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// A caller that is refused after a quarter of its time can still be served by another entry VM; after three quarters the refusal is as bad as no answer.
constexpr int MaxWaitDivisor = 4;
// After this multiple of the usual time the configuration may never come, e.g. during an outage of the store, and each request would wait in vain.
constexpr int OverdueFactor = 4;
// Callers that were refused together come back over half as long again as the wait, and not in one wave.
constexpr double RetryJitter = 0.5;

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionQueueLimits &limits, TimePoint startedAt, std::uint64_t seed)
    : limits_(limits)
    , startedAt_(startedAt)
    , random_(seed)
{
}

AdmissionDecision AdmissionQueue::offer(TimePoint now, const AdmissionOffer &offer)
{
    if (isReleased_ && !isStopping_) {
        return AdmissionOver{};
    }
    const Duration maxWait = offer.timeLeft ? std::min(limits_.maxWait, *offer.timeLeft / MaxWaitDivisor) : limits_.maxWait;
    const std::optional<TimePoint> deadline = offer.timeLeft ? std::optional(now + *offer.timeLeft) : std::nullopt;
    if (const auto cause = obstacle(now, offer, maxWait)) {
        return refused(now, offer.id, *cause, deadline);
    }
    heldBytes_ += offer.bytes;
    held_.push_back({offer.id, offer.bytes, now, now + maxWait, deadline});
    return AdmissionHeld{maxWait};
}

std::optional<AdmissionRefusalCause> AdmissionQueue::obstacle(TimePoint now, const AdmissionOffer &offer, Duration maxWait) const
{
    if (isStopping_) {
        return AdmissionRefusalCause::Stopping;
    }
    if (held_.size() >= static_cast<std::size_t>(limits_.maxRequests)) {
        return AdmissionRefusalCause::TooManyRequests;
    }
    if (heldBytes_ + offer.bytes > static_cast<std::size_t>(limits_.maxBytes)) {
        return AdmissionRefusalCause::TooManyBytes;
    }
    if (startedAt_ + limits_.expectedStart > now + maxWait || now > startedAt_ + limits_.expectedStart * OverdueFactor) {
        return AdmissionRefusalCause::NotInTime;
    }
    return std::nullopt;
}

std::vector<AdmissionRefused> AdmissionQueue::expire(TimePoint now)
{
    std::vector<AdmissionRefused> expired;
    std::erase_if(held_, [this, now, &expired](const Held &item) {
        if (now < item.until) {
            return false;
        }
        heldBytes_ -= item.bytes;
        expired.push_back(refused(now, item.id, AdmissionRefusalCause::Expired, item.deadline));
        return true;
    });
    return expired;
}

std::vector<AdmissionReleased> AdmissionQueue::release()
{
    isReleased_ = true;
    heldBytes_ = 0;
    std::vector<AdmissionReleased> released;
    for (const Held &item : std::exchange(held_, {})) {
        released.push_back({item.id, item.arrivedAt});
    }
    return released;
}

void AdmissionQueue::hold(TimePoint now)
{
    isReleased_ = false;
    startedAt_ = now;
}

std::vector<AdmissionRefused> AdmissionQueue::stop(TimePoint now)
{
    isStopping_ = true;
    heldBytes_ = 0;
    std::vector<AdmissionRefused> stopped;
    for (const Held &item : std::exchange(held_, {})) {
        stopped.push_back(refused(now, item.id, AdmissionRefusalCause::Stopping, item.deadline));
    }
    return stopped;
}

void AdmissionQueue::remove(std::uint64_t id)
{
    const auto found = std::find_if(held_.begin(), held_.end(), [id](const Held &item) { return item.id == id; });
    if (found != held_.end()) {
        heldBytes_ -= found->bytes;
        held_.erase(found);
    }
}

std::size_t AdmissionQueue::size() const
{
    return held_.size();
}

AdmissionRefused AdmissionQueue::refused(TimePoint now, std::uint64_t id, AdmissionRefusalCause cause, std::optional<TimePoint> deadline)
{
    // An entry VM that stops does not become ready, and one that is overdue may not; another one may serve the request.
    const Duration untilReady = cause == AdmissionRefusalCause::Stopping ? Duration(0) : startedAt_ + limits_.expectedStart - now;
    const Duration wait = std::max(untilReady, RetryAfterAtOtherEntryVm);
    if (deadline && now + wait >= *deadline) {
        return {id, cause, std::nullopt};
    }
    const auto jittered = std::chrono::duration_cast<Duration>(wait * (1 + RetryJitter * random_.uniform()));
    return {id, cause, deadline ? std::min(jittered, *deadline - now) : jittered};
}

} // namespace Cloverbarrow
