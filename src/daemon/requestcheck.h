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

/// Headers exchanged with callers, backend servers and other load balancers on the path; see docs/CALLERS.md and
/// docs/BACKENDS.md.
constexpr const char *DeadlineHeader = "Cloverbarrow-Deadline-Ms";
constexpr const char *AttemptHeader = "Cloverbarrow-Attempt";
constexpr const char *OutcomeHeader = "Cloverbarrow-Outcome";
constexpr const char *LoadHeader = "Cloverbarrow-Load";
constexpr const char *LeavingHeader = "Cloverbarrow-Leaving";
constexpr const char *ReplayedHeader = "Cloverbarrow-Replayed";
constexpr const char *IdempotencyHeader = "Idempotency-Key";

/// A validated request, ready for the core.
struct CheckedRequest {
    Route route;
    RequestArrived event;
    int incomingAttemptNumber = 1;
    const Workspace *workspace = nullptr; ///< Workspace of the caller, owned by the configuration; nullptr if it is anonymous.
};

/// Finds a request's route and parses its headers.
/// @param id of the request in the event.
/// @return the validated request, or the problem to report to the caller.
std::variant<CheckedRequest, Problem> checkRequest(const HttpRequest &request, const Configuration &configuration, RequestId id, TimePoint now);

/// Same as checkRequest() for a request that matched a traffic route.
/// @param route with the chosen service. @param deadlineHeader name of the header in which callers send their deadline.
std::variant<CheckedRequest, Problem> checkRoutedRequest(
    const HttpRequest &request, const Route &route, const char *deadlineHeader, RequestId id, TimePoint now);

} // namespace Cloverbarrow
