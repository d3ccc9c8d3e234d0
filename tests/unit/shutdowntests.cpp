/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/shutdownsequence.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;
using Phase = ShutdownSequence::Phase;

namespace
{

constexpr Duration Notice = seconds(1);
constexpr Duration Limit = seconds(60);
constexpr TimePoint Start = TimePoint(seconds(100));

ShutdownSequence stoppingSequence()
{
    ShutdownSequence shutdown(Notice, Limit);
    shutdown.requestStop(Start);
    return shutdown;
}

} // namespace

TEST_CASE("A shutdown keeps serving until the load balancer has noticed, then finishes", "[shutdown]")
{
    ShutdownSequence shutdown = stoppingSequence();
    CHECK(shutdown.advance(Start, {}) == Phase::NotReady);
    CHECK(shutdown.advance(Start + Notice, {3, 1, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + seconds(50), {0, 1, false}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + seconds(50), {0, 0, false}) == Phase::Done);
}

TEST_CASE("A request that is accepted while a shutdown stops accepting is still finished", "[shutdown]")
{
    ShutdownSequence shutdown = stoppingSequence();
    // The work is counted before connections are closed, so a request may have come since.
    CHECK(shutdown.advance(Start + Notice, {}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + milliseconds(30), {1, 0, false}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + milliseconds(60), {}) == Phase::Done);
}

TEST_CASE("A shutdown waits for requests and payouts, but not beyond its limit", "[shutdown]")
{
    ShutdownSequence shutdown = stoppingSequence();
    CHECK(shutdown.advance(Start + seconds(59), {1, 0, false}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Limit, {1, 0, false}) == Phase::Done);
}

TEST_CASE("Probe budget shares that cannot be released delay a shutdown only briefly", "[shutdown]")
{
    // Their leases expire by themselves, so a shutdown need not wait for an unavailable platform.
    ShutdownSequence shutdown = stoppingSequence();
    CHECK(shutdown.advance(Start + Notice, {0, 0, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + seconds(10), {0, 0, true}) == Phase::Done);
    CHECK(RemainingWork{0, 0, true}.isEmpty());
}

TEST_CASE("Crash reports that cannot be stored delay a shutdown only briefly", "[shutdown][crash]")
{
    // No other process has these reports, so the shutdown waits for them, but only briefly if the store is unreachable.
    ShutdownSequence shutdown = stoppingSequence();
    CHECK(shutdown.advance(Start + Notice, {0, 0, false, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + seconds(1), {0, 0, false, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + seconds(1), {0, 0, false, false}) == Phase::Done);
    ShutdownSequence other = stoppingSequence();
    CHECK(other.advance(Start + Notice, {0, 0, false, true}) == Phase::Finishing);
    CHECK(other.advance(Start + Notice + seconds(10), {0, 0, false, true}) == Phase::Done);
}

TEST_CASE("A second stop request ends a shutdown at once", "[shutdown]")
{
    ShutdownSequence shutdown = stoppingSequence();
    shutdown.requestStop(Start + milliseconds(1));
    CHECK(shutdown.phase() == Phase::Done);
}
