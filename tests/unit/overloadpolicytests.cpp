/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/overloadpolicy.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

TEST_CASE("Urgent requests are served first, then those that can still meet their objective, then the oldest", "[overload][policy]")
{
    const std::vector<WaitingRequest> waiting{{1, false, true}, {2, false, false}, {3, true, true}, {4, false, false}, {5, true, false}};
    CHECK(inServingOrder(waiting) == std::vector<RequestId>{5, 3, 2, 4, 1});
    CHECK(inServingOrder({}).empty());
}

TEST_CASE("A request is late once its service time no longer fits before the objective", "[overload][policy]")
{
    CHECK_FALSE(isTooLate(milliseconds(300), 220));
    CHECK(isTooLate(milliseconds(100), 220));
    CHECK(isTooLate(milliseconds(-1), 220));
    CHECK(canFinishInTime(milliseconds(120), 220));
    CHECK_FALSE(canFinishInTime(milliseconds(100), 220));
}

TEST_CASE("A caller retries within its objective after a false load report, and after its objective after a shortage", "[overload][policy]")
{
    constexpr Duration Objective = milliseconds(600);
    CHECK(maxQueueTime(Objective) + retryAfterFalseReport(Objective) <= Objective / 4);
    CHECK(retryAfterShortage(Objective) >= 3 * Objective);
}
