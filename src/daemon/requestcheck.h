/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"
#include "core/requests/serviceevents.h"
#include "core/routing/routingtable.h"
#include "net/httpmessage.h"

#include <variant>

namespace Cloverbarrow
{

/// Headers that callers, backend servers and the system's levels exchange; docs/CALLERS.md and
/// docs/BACKENDS.md describe them.
constexpr const char *DeadlineHeader = "Cloverbarrow-Deadline-Ms";
constexpr const char *AttemptHeader = "Cloverbarrow-Attempt";
constexpr const char *OutcomeHeader = "Cloverbarrow-Outcome";
constexpr const char *LoadHeader = "Cloverbarrow-Load";
constexpr const char *LeavingHeader = "Cloverbarrow-Leaving";
constexpr const char *ReplayedHeader = "Cloverbarrow-Replayed";
constexpr const char *IdempotencyHeader = "Idempotency-Key";

/// A request that may be given to the core.
struct CheckedRequest {
    Route route;
    RequestArrived event;
    int attemptAbove = 1;
};

/// Finds a request's route and reads its headers.
/// @param id to be used for the event.
/// @return what to give to the core, or what to tell the caller.
std::variant<CheckedRequest, Problem> checkRequest(const HttpRequest &request, const Configuration &configuration, RequestId id, TimePoint now);

/// The same for a request that one of the traffic routes matched.
/// @param route with the service that the request is for, @param deadlineHeader as callers write it.
std::variant<CheckedRequest, Problem> checkRoutedRequest(
    const HttpRequest &request, const Route &route, const char *deadlineHeader, RequestId id, TimePoint now);

} // namespace Cloverbarrow
