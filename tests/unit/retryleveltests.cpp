/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr int Levels = 19;

/// A call that passes through cloverbarrow at each of its levels. The answers of the deepest backend server are always lost.
class DeepCall
{
public:
    /// Sends a read at @p level. @return the attempts that reached the deepest backend server.
    int send(int level, bool isRetryAbove)
    {
        ServiceShard shard({"entry-1", "n"}, {"bog-a", {}}, "liquidacion", LeastInFlightPick{}, 1);
        ServiceActions actions;
        shard.handle(now_, ServiceConfigured{1, sampleService()}, actions);
        RequestArrived arrived;
        arrived.request = 1;
        arrived.deadline = now_ + seconds(2);
        arrived.isPartOfRetry = isRetryAbove;
        shard.handle(now_, arrived, actions);
        int deepest = 0;
        for (std::size_t index = 0; index < actions.size(); ++index) {
            const auto *start = std::get_if<StartAttempt>(&actions[index]);
            if (!start) {
                continue;
            }
            AttemptEnded ended{1, start->attempt, LostAnswer{"cut", false}, std::nullopt};
            if (level == Levels) {
                ++deepest;
            } else {
                deepest += send(level + 1, isRetryAbove || start->attempt > 1);
                // The backend server returns the failure and states that it has already been retried.
                ended.outcome = CompleteAnswer{502, false, false, true, {}, {}, true};
            }
            shard.handle(now_, ended, actions);
        }
        return deepest;
    }

private:
    TimePoint now_ = TimePoint(seconds(100));
};

} // namespace

TEST_CASE("Retries do not multiply when a call passes through 19 levels", "[retry]")
{
    CHECK(DeepCall().send(1, false) == 3);
}

TEST_CASE("The retry budget limits retries to a percentage of first attempts", "[retry]")
{
    RetryBudget budget;
    budget.setPercent(10);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.addFirstAttempt(TimePoint());
        retries += budget.take(TimePoint()) ? 1 : 0;
    }
    CHECK(retries <= 1000 / 10 + 3);
    CHECK(retries >= 1000 / 10 - 1);
}
