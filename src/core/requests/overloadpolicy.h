/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/serviceevents.h"
#include "core/support/time.h"

#include <vector>

namespace Cloverbarrow
{

// What is decided about requests where backend servers lack room: who is held and for how long, who goes first, when a refused
// caller comes back. Pure functions of what is known of a request; docs/POLICY.md says which loads they answer.

/// A request that waits for a backend server.
struct WaitingRequest {
    RequestId request = 0;
    bool isUrgent = false; ///< Goes before others of its service.
    bool isLate = false; ///< Misses its objective wherever it is sent.
};

/// @param objectiveLeft until the objective is missed, counted from the caller's first try. @param workMs usual work of the request.
/// @return whether the request misses its objective wherever it is sent.
bool isTooLate(Duration objectiveLeft, double workMs);

/// @param timeLeft until the deadline. @return whether an attempt that is begun now might end in time for the caller.
bool mayStillEnd(Duration timeLeft, double workMs);

/// @return for how long a request may wait for room before it is sent or refused.
Duration holdFor(Duration objective);

/// @return the ids of @p waiting in the order in which they should be served.
std::vector<RequestId> inServingOrder(std::vector<WaitingRequest> waiting);

/// @return when a caller that was refused for want of room should come back.
Duration comeBackAfterShortage(Duration objective);

/// @return when a caller should come back whose request was turned away by a server that had told of room.
Duration comeBackAfterFalseReport(Duration objective);

} // namespace Cloverbarrow
