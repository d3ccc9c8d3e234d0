/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/serviceevents.h"
#include "core/support/time.h"

#include <optional>
#include <vector>

namespace Cloverbarrow
{

// Decisions about requests while backend servers lack free capacity: how long a request is queued, which one is served first, and when a refused
// caller should retry. All are pure functions; docs/POLICY.md describes the loads that they are made for.

/// A request that waits for a backend server.
struct WaitingRequest {
    RequestId request = 0;
    bool isUrgent = false; ///< Is served before other requests of its service.
    bool isLate = false; ///< Misses its latency objective whichever server it is sent to.
};

/// @param objectiveLeft time until the latency objective is missed, counted from the caller's first request. @param unloadedLatencyMs latency without
/// contention, in milliseconds.
/// @return whether the request misses its objective whichever server it is sent to.
bool isTooLate(Duration objectiveLeft, double unloadedLatencyMs);

/// @param timeLeft time until the deadline. @param unloadedLatencyMs latency without contention, in milliseconds.
/// @return whether an attempt that is started now may finish before the deadline.
bool canFinishInTime(Duration timeLeft, double unloadedLatencyMs);

/// @return how long a request may wait for free capacity before it is sent or refused.
Duration maxQueueTime(Duration objective);

/// @return the ids of @p waiting in the order in which the requests should be served.
std::vector<RequestId> inServingOrder(std::vector<WaitingRequest> waiting);

/// @return the delay after which a caller should retry that was refused for lack of free capacity.
Duration retryAfterShortage(Duration objective);

/// What determines when a caller that is refused under shortage should retry.
struct ReturnInputs {
    Duration objective{0};
    Duration timeLeft{0}; ///< Time until the caller's deadline.
    double unloadedLatencyMs = 0; ///< Latency without contention, in milliseconds.
    double admittedFraction = 1; ///< Fraction of the arriving work that is admitted.
};

/// @param uniform random number from 0 to 1 that spreads the callers. @return the delay after which a caller should retry that was refused under shortage;
/// nothing if it cannot be served before its deadline.
std::optional<Duration> retryAfterScarcity(const ReturnInputs &inputs, double uniform);

/// @return whether a caller that has waited for @p priorWait was refused before and has returned.
bool hasReturned(Duration priorWait);

/// @return the delay after which a caller should retry whose request was rejected by a server that had reported free capacity.
Duration retryAfterFalseReport(Duration objective);

} // namespace Cloverbarrow
