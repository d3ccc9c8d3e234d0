/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/random.h"
#include "core/support/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// Bounds on the requests that an entry VM holds until it is ready.
struct AdmissionQueueLimits {
    int maxRequests = 0; ///< With 0 requests are refused and not held.
    int maxBytes = 4 * 1024 * 1024; ///< All held requests together.
    Duration maxWait = seconds(1); ///< For each request; also bounded by a quarter of the time that its caller has.
    Duration expectedStart = milliseconds(400); ///< Usual time from the start of the process, or from hold(), until requests are served.

    bool operator==(const AdmissionQueueLimits &) const = default;
};

/// A request that arrived before requests are served.
struct AdmissionOffer {
    std::uint64_t id = 0;
    std::size_t bytes = 0;
    std::optional<Duration> timeLeft; ///< How long the caller waits; nothing if it does not state it.
};

enum class AdmissionRefusalCause {
    TooManyRequests,
    TooManyBytes,
    NotInTime, ///< Requests will probably not be served before the request has waited for its longest time.
    Expired, ///< The request was held for its longest time.
    Stopping, ///< The process has been told to stop.
};

/// The request will be released, or refused when its time is over.
struct AdmissionHeld {
    Duration maxWait{0};
};

/// The request is to be refused. It has not been executed and never will be.
struct AdmissionRefused {
    std::uint64_t id = 0;
    AdmissionRefusalCause cause = AdmissionRefusalCause::Expired;
    std::optional<Duration> retryAfter; ///< Nothing if the caller has no time to come back.
};

/// Requests are served now, this one too.
struct AdmissionOver {
};

using AdmissionDecision = std::variant<AdmissionHeld, AdmissionRefused, AdmissionOver>;

/// A held request that is to be served now.
struct AdmissionReleased {
    std::uint64_t id = 0;
    TimePoint arrivedAt;
};

/// Decides which requests an entry VM holds until it is ready, after its start or after hold(), and when it refuses them.
class AdmissionQueue
{
public:
    AdmissionQueue(const AdmissionQueueLimits &limits, TimePoint startedAt, std::uint64_t seed);

    AdmissionDecision offer(TimePoint now, const AdmissionOffer &offer);
    /// @return the held requests whose time is over; they are no longer held.
    std::vector<AdmissionRefused> expire(TimePoint now);
    /// Requests are served from now on. @return the held requests, oldest first; they are no longer held.
    std::vector<AdmissionReleased> release();
    /// Requests are held again from now on.
    void hold(TimePoint now);
    /// The process has been told to stop. @return the held requests; they are no longer held.
    std::vector<AdmissionRefused> stop(TimePoint now);
    /// The caller of a held request has disconnected.
    void remove(std::uint64_t id);

    std::size_t size() const;

private:
    struct Held {
        std::uint64_t id = 0;
        std::size_t bytes = 0;
        TimePoint arrivedAt;
        TimePoint until;
        std::optional<TimePoint> deadline; ///< Of the caller.
    };

    AdmissionRefused refused(TimePoint now, std::uint64_t id, AdmissionRefusalCause cause, std::optional<TimePoint> deadline);
    /// @return why the request is not held; nothing if it is.
    std::optional<AdmissionRefusalCause> obstacle(TimePoint now, const AdmissionOffer &offer, Duration maxWait) const;

    AdmissionQueueLimits limits_;
    TimePoint startedAt_;
    Random random_;
    std::vector<Held> held_; ///< Oldest first.
    std::size_t heldBytes_ = 0;
    bool isReleased_ = false;
    bool isStopping_ = false;
};

} // namespace Cloverbarrow
