/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/answertime.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

constexpr Duration AimedLatency = milliseconds(600);
constexpr Duration Work = milliseconds(220);
constexpr int Slots = 6;
constexpr TimePoint Now = TimePoint(seconds(100));

StartState found(int others, double slowness = 1, int slots = Slots)
{
    return {others, slots, slowness, Duration(0)};
}

Backend told(const LoadReport &report)
{
    Backend backend;
    backend.distance = Distance::SameZone;
    backend.report = report;
    backend.reportedAt = Now;
    return backend;
}

void learn(AnswerTimeModel &model, Duration latency, const StartState &start, int answers = 20)
{
    for (int answer = 0; answer < answers; ++answer) {
        model.answered(AimedLatency, latency, start);
    }
}

} // namespace

TEST_CASE("A server without room on slots that are worth using has none", "[answertime][overload]")
{
    AnswerTimeModel model;
    for (int answer = 0; answer < 300; ++answer) {
        model.answered(milliseconds(200), milliseconds(50), found(0, 1, 3));
        model.answered(milliseconds(200), milliseconds(100), found(2, 1, 3));
    }
    CHECK_FALSE(model.hasRoom(told({2, 0, 3, 1.0})));
    CHECK(model.hasRoom(told({1, 0, 3, 1.0})));
}

TEST_CASE("Where the last slot costs nothing it is used", "[answertime]")
{
    AnswerTimeModel model;
    for (int answer = 0; answer < 300; ++answer) {
        model.answered(milliseconds(200), milliseconds(50), found(0, 1, 3));
        model.answered(milliseconds(200), milliseconds(52), found(2, 1, 3));
    }
    CHECK(model.hasRoom(told({2, 0, 3, 1.0})));
}

TEST_CASE("What overload does to answers does not pass for usual work", "[answertime][overload]")
{
    AnswerTimeModel model;
    learn(model, Work, found(0));
    const double before = model.workMs(AimedLatency);
    learn(model, 5 * Work, found(0, 5.0), 1000);
    learn(model, 2 * Work, found(Slots - 1), 1000);
    learn(model, 9 * Work, found(Slots + 3), 1000);
    CHECK(model.workMs(AimedLatency) == Approx(before));
}

TEST_CASE("The time at a slow server is expected as answers have shown that slowness holds", "[answertime]")
{
    AnswerTimeModel model;
    learn(model, Work, found(0));
    const Backend slow = told({0, 0, Slots, 5.0});
    SECTION("a request keeps the speed that it began with")
    {
        learn(model, 5 * Work, found(0, 5.0));
        CHECK(model.expectedMs(slow, AimedLatency, Now) == Approx(5 * toMilliseconds(Work)).epsilon(0.05));
    }
    SECTION("slowness passes at once")
    {
        learn(model, Work, found(0, 5.0), 200);
        CHECK(model.expectedMs(slow, AimedLatency, Now) == Approx(toMilliseconds(Work)).epsilon(0.05));
    }
}

TEST_CASE("Answers of servers that told long ago teach nothing", "[answertime]")
{
    AnswerTimeModel model;
    learn(model, Work, found(0));
    const double before = model.workMs(AimedLatency);
    StartState old = found(0);
    old.reportAge = seconds(1);
    learn(model, 4 * Work, old);
    old.reportAge.reset();
    learn(model, 4 * Work, old);
    CHECK(model.workMs(AimedLatency) == Approx(before));
}

TEST_CASE("The cost of sharing a server is learnt for each number of slots in use", "[answertime][sharing]")
{
    SharingCost cost;
    for (int answer = 0; answer < 20; ++answer) {
        cost.answered(3, Slots, 1.0);
        cost.answered(4, Slots, 1.7);
        cost.answered(5, Slots, 1.7);
    }
    CHECK(cost.factor(0, Slots) == 1);
    CHECK(cost.factor(3, Slots) == Approx(1.0));
    CHECK(cost.factor(5, Slots) == Approx(1.7).epsilon(0.05));
    CHECK(cost.bestUse(Slots) == 4);
}

TEST_CASE("All slots are worth using until sharing them has been seen to cost", "[answertime][sharing]")
{
    SharingCost cost;
    for (const int slots : {1, 2, 3, 6, 10, 64}) {
        CHECK(cost.bestUse(slots) == slots);
    }
    for (int answer = 0; answer < 3; ++answer) {
        cost.answered(2, 3, 1.7);
    }
    CHECK(cost.bestUse(3) == 2);
}

TEST_CASE("A server gets no more requests at a time than it finishes most with, however urgent", "[answertime][sharing][overload]")
{
    AnswerTimeModel model;
    learn(model, Work, found(0));
    learn(model, Work, found(3));
    learn(model, Work * 17 / 10, found(4), 2);
    CHECK(model.hasRoom(told({3, 0, Slots, 1.0})));
    CHECK_FALSE(model.hasRoom(told({4, 0, Slots, 1.0})));
    CHECK_FALSE(model.hasRoom(told({5, 0, Slots, 1.0})));
}

TEST_CASE("A server that is slow for the moment is better left free, one of many slow ones is not", "[answertime][overload]")
{
    AnswerTimeModel model;
    learn(model, Work, found(0));
    const Backend slow = told({0, 0, Slots, 5.0});
    SECTION("others run at their usual speed")
    {
        for (int report = 0; report < 100; ++report) {
            model.told({0, 0, Slots, report % 4 == 0 ? 5.0 : 1.0});
        }
        CHECK(model.isBetterLeftFree(slow, AimedLatency, Now));
        CHECK_FALSE(model.isBetterLeftFree(told({0, 0, Slots, 1.0}), AimedLatency, Now));
    }
    SECTION("all are as slow")
    {
        for (int report = 0; report < 500; ++report) {
            model.told({0, 0, Slots, 5.0});
        }
        CHECK_FALSE(model.isBetterLeftFree(slow, AimedLatency, Now));
    }
}

TEST_CASE("Servers are crowded when most slots that are worth using are in use", "[answertime][overload]")
{
    AnswerTimeModel model;
    CHECK_FALSE(model.isCrowded());
    for (int report = 0; report < 50; ++report) {
        model.told({2, 0, Slots, 1.0});
    }
    CHECK_FALSE(model.isCrowded());
    for (int report = 0; report < 200; ++report) {
        model.told({5, 1, Slots, 1.0});
    }
    CHECK(model.isCrowded());
}

TEST_CASE("Some delayed answers do not make slots look not worth using", "[answertime][sharing]")
{
    SharingCost cost;
    for (int answer = 0; answer < 200; ++answer) {
        cost.answered(2, 3, answer % 10 == 0 ? 5.0 : 1.0);
        CHECK((answer < 10 || cost.bestUse(3) == 3));
    }
}

TEST_CASE("Slots that were not worth using are tried again after a while", "[answertime][sharing]")
{
    SharingCost cost;
    for (int answer = 0; answer < 50; ++answer) {
        cost.answered(2, 3, 1.9);
    }
    REQUIRE(cost.bestUse(3) == 2);
    for (int answer = 0; answer < 2000; ++answer) {
        cost.answered(0, 3, 1.0);
    }
    CHECK(cost.bestUse(3) == 3);
}

TEST_CASE("Absurd figures of a server neither take long nor change what is expected of others", "[answertime][input]")
{
    constexpr int Absurd = 1'000'000;
    SharingCost cost;
    for (int look = 0; look < 100'000; ++look) {
        REQUIRE(cost.bestUse(Absurd) == Absurd);
    }
    CHECK(cost.bestUse(0) == 1);
    CHECK(cost.bestUse(-5) == 1);
    AnswerTimeModel model;
    learn(model, Work, found(0));
    for (int report = 0; report < 100; ++report) {
        model.told({0, 0, Slots, report % 10 == 0 ? 10'000.0 : 1.0});
    }
    CHECK(model.isBetterLeftFree(told({0, 0, Slots, 5.0}), AimedLatency, Now));
}

TEST_CASE("The best use of a server is found among all numbers of its slots", "[answertime][sharing]")
{
    for (int slots = 2; slots <= 16; ++slots) {
        for (int good = 1; good < slots; ++good) {
            SharingCost cost;
            for (int answer = 0; answer < 50; ++answer) {
                for (int others = 1; others < slots; ++others) {
                    cost.answered(others, slots, others < good ? 1.0 : 1.95);
                }
            }
            int best = 1;
            for (int used = 2; used <= slots; ++used) {
                best = used / cost.factor(used - 1, slots) > best / cost.factor(best - 1, slots) ? used : best;
            }
            CHECK(cost.bestUse(slots) == best);
        }
    }
}
