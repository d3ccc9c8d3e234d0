/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/responsetimemodel.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

constexpr Duration LatencyObjective = milliseconds(600);
constexpr Duration UnloadedLatency = milliseconds(220);
constexpr int Slots = 6;
constexpr TimePoint Now = TimePoint(seconds(100));

ServerSnapshot snapshotWith(int otherRequests, double slowness = 1, int slots = Slots)
{
    return {otherRequests, slots, slowness, Duration(0)};
}

Backend reporting(const LoadReport &report)
{
    Backend backend;
    backend.distance = Distance::SameZone;
    backend.report = report;
    backend.reportedAt = Now;
    return backend;
}

void learn(ResponseTimeModel &model, Duration latency, const ServerSnapshot &start, int answers = 20)
{
    for (int answer = 0; answer < answers; ++answer) {
        model.recordResponse(LatencyObjective, latency, start);
    }
}

} // namespace

TEST_CASE("A server that has reached its optimal concurrency has no free capacity even if slots are free", "[answertime][overload]")
{
    ResponseTimeModel model;
    for (int answer = 0; answer < 300; ++answer) {
        model.recordResponse(milliseconds(200), milliseconds(50), snapshotWith(0, 1, 3));
        model.recordResponse(milliseconds(200), milliseconds(100), snapshotWith(2, 1, 3));
    }
    CHECK_FALSE(model.hasFreeCapacity(reporting({2, 0, 3, 1.0})));
    CHECK(model.hasFreeCapacity(reporting({1, 0, 3, 1.0})));
}

TEST_CASE("The last slot is used if contention does not slow requests down", "[answertime]")
{
    ResponseTimeModel model;
    for (int answer = 0; answer < 300; ++answer) {
        model.recordResponse(milliseconds(200), milliseconds(50), snapshotWith(0, 1, 3));
        model.recordResponse(milliseconds(200), milliseconds(52), snapshotWith(2, 1, 3));
    }
    CHECK(model.hasFreeCapacity(reporting({2, 0, 3, 1.0})));
}

TEST_CASE("Answers delayed by slowness, contention or queueing do not raise the unloaded latency", "[answertime][overload]")
{
    ResponseTimeModel model;
    learn(model, UnloadedLatency, snapshotWith(0));
    const double before = model.unloadedLatencyMs(LatencyObjective);
    learn(model, 5 * UnloadedLatency, snapshotWith(0, 5.0), 1000);
    learn(model, 2 * UnloadedLatency, snapshotWith(Slots - 1), 1000);
    learn(model, 9 * UnloadedLatency, snapshotWith(Slots + 3), 1000);
    CHECK(model.unloadedLatencyMs(LatencyObjective) == Approx(before));
}

TEST_CASE("The expected latency at a slow server follows how long slowness has lasted in earlier answers", "[answertime]")
{
    ResponseTimeModel model;
    learn(model, UnloadedLatency, snapshotWith(0));
    const Backend slow = reporting({0, 0, Slots, 5.0});
    SECTION("a request keeps the speed that it began with")
    {
        learn(model, 5 * UnloadedLatency, snapshotWith(0, 5.0));
        CHECK(model.expectedMs(slow, LatencyObjective, Now) == Approx(5 * toMilliseconds(UnloadedLatency)).epsilon(0.05));
    }
    SECTION("slowness passes at once")
    {
        learn(model, UnloadedLatency, snapshotWith(0, 5.0), 200);
        CHECK(model.expectedMs(slow, LatencyObjective, Now) == Approx(toMilliseconds(UnloadedLatency)).epsilon(0.05));
    }
}

TEST_CASE("Answers of servers without a fresh load report are not learned from", "[answertime]")
{
    ResponseTimeModel model;
    learn(model, UnloadedLatency, snapshotWith(0));
    const double before = model.unloadedLatencyMs(LatencyObjective);
    ServerSnapshot stale = snapshotWith(0);
    stale.reportAge = seconds(1);
    learn(model, 4 * UnloadedLatency, stale);
    stale.reportAge.reset();
    learn(model, 4 * UnloadedLatency, stale);
    CHECK(model.unloadedLatencyMs(LatencyObjective) == Approx(before));
}

TEST_CASE("The slowdown by contention is learned for each number of slots in use", "[answertime][sharing]")
{
    ContentionModel cost;
    for (int answer = 0; answer < 20; ++answer) {
        cost.recordResponse(3, Slots, 1.0);
        cost.recordResponse(4, Slots, 1.7);
        cost.recordResponse(5, Slots, 1.7);
    }
    CHECK(cost.slowdown(0, Slots) == 1);
    CHECK(cost.slowdown(3, Slots) == Approx(1.0));
    CHECK(cost.slowdown(5, Slots) == Approx(1.7).epsilon(0.05));
    CHECK(cost.optimalConcurrency(Slots) == 4);
}

TEST_CASE("All slots are used until answers have shown a slowdown by contention", "[answertime][sharing]")
{
    ContentionModel cost;
    for (const int slots : {1, 2, 3, 6, 10, 64}) {
        CHECK(cost.optimalConcurrency(slots) == slots);
    }
    for (int answer = 0; answer < 3; ++answer) {
        cost.recordResponse(2, 3, 1.7);
    }
    CHECK(cost.optimalConcurrency(3) == 2);
}

TEST_CASE("A server has no free capacity above the concurrency at which it completes most requests", "[answertime][sharing][overload]")
{
    ResponseTimeModel model;
    learn(model, UnloadedLatency, snapshotWith(0));
    learn(model, UnloadedLatency, snapshotWith(3));
    learn(model, UnloadedLatency * 17 / 10, snapshotWith(4), 2);
    CHECK(model.hasFreeCapacity(reporting({3, 0, Slots, 1.0})));
    CHECK_FALSE(model.hasFreeCapacity(reporting({4, 0, Slots, 1.0})));
    CHECK_FALSE(model.hasFreeCapacity(reporting({5, 0, Slots, 1.0})));
}

TEST_CASE("A temporarily slow server is avoided, but not if all servers are as slow", "[answertime][overload]")
{
    ResponseTimeModel model;
    learn(model, UnloadedLatency, snapshotWith(0));
    const Backend slow = reporting({0, 0, Slots, 5.0});
    SECTION("others run at their usual speed")
    {
        for (int report = 0; report < 100; ++report) {
            model.recordReport({0, 0, Slots, report % 4 == 0 ? 5.0 : 1.0});
        }
        CHECK(model.isTemporarilyTooSlow(slow, LatencyObjective, Now));
        CHECK_FALSE(model.isTemporarilyTooSlow(reporting({0, 0, Slots, 1.0}), LatencyObjective, Now));
    }
    SECTION("all are as slow")
    {
        for (int report = 0; report < 500; ++report) {
            model.recordReport({0, 0, Slots, 5.0});
        }
        CHECK_FALSE(model.isTemporarilyTooSlow(slow, LatencyObjective, Now));
    }
}

TEST_CASE("Servers are near saturation when most of their optimal concurrency is in use", "[answertime][overload]")
{
    ResponseTimeModel model;
    CHECK_FALSE(model.isNearSaturation());
    for (int report = 0; report < 50; ++report) {
        model.recordReport({2, 0, Slots, 1.0});
    }
    CHECK_FALSE(model.isNearSaturation());
    for (int report = 0; report < 200; ++report) {
        model.recordReport({5, 1, Slots, 1.0});
    }
    CHECK(model.isNearSaturation());
}

TEST_CASE("Occasional delayed answers do not lower the optimal concurrency", "[answertime][sharing]")
{
    ContentionModel cost;
    for (int answer = 0; answer < 200; ++answer) {
        cost.recordResponse(2, 3, answer % 10 == 0 ? 5.0 : 1.0);
        CHECK((answer < 10 || cost.optimalConcurrency(3) == 3));
    }
}

TEST_CASE("Slots that were ruled out by contention are tried again after a while", "[answertime][sharing]")
{
    ContentionModel cost;
    for (int answer = 0; answer < 50; ++answer) {
        cost.recordResponse(2, 3, 1.9);
    }
    REQUIRE(cost.optimalConcurrency(3) == 2);
    for (int answer = 0; answer < 2000; ++answer) {
        cost.recordResponse(0, 3, 1.0);
    }
    CHECK(cost.optimalConcurrency(3) == 3);
}

TEST_CASE("Absurd figures in a load report neither cost computing time nor change the estimates for other servers", "[answertime][input]")
{
    constexpr int Absurd = 1'000'000;
    ContentionModel cost;
    for (int call = 0; call < 100'000; ++call) {
        REQUIRE(cost.optimalConcurrency(Absurd) == Absurd);
    }
    CHECK(cost.optimalConcurrency(0) == 1);
    CHECK(cost.optimalConcurrency(-5) == 1);
    ResponseTimeModel model;
    learn(model, UnloadedLatency, snapshotWith(0));
    for (int report = 0; report < 100; ++report) {
        model.recordReport({0, 0, Slots, report % 10 == 0 ? 10'000.0 : 1.0});
    }
    CHECK(model.isTemporarilyTooSlow(reporting({0, 0, Slots, 5.0}), LatencyObjective, Now));
}

TEST_CASE("The optimal concurrency is found for each number of slots", "[answertime][sharing]")
{
    for (int slots = 2; slots <= 16; ++slots) {
        for (int uncontended = 1; uncontended < slots; ++uncontended) {
            ContentionModel cost;
            for (int answer = 0; answer < 50; ++answer) {
                for (int otherRequests = 1; otherRequests < slots; ++otherRequests) {
                    cost.recordResponse(otherRequests, slots, otherRequests < uncontended ? 1.0 : 1.95);
                }
            }
            int best = 1;
            for (int used = 2; used <= slots; ++used) {
                best = used / cost.slowdown(used - 1, slots) > best / cost.slowdown(best - 1, slots) ? used : best;
            }
            CHECK(cost.optimalConcurrency(slots) == best);
        }
    }
}
