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

ShutdownSequence requested()
{
    ShutdownSequence shutdown(Notice, Limit);
    shutdown.requested(Start);
    return shutdown;
}

} // namespace

TEST_CASE("A shutdown serves on while the balancer takes notice, then finishes", "[shutdown]")
{
    ShutdownSequence shutdown = requested();
    CHECK(shutdown.advance(Start, {}) == Phase::NotReady);
    CHECK(shutdown.advance(Start + Notice, {3, 1, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + seconds(50), {0, 1, false}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + seconds(50), {0, 0, false}) == Phase::Done);
}

TEST_CASE("Requests and payouts are waited for until the limit", "[shutdown]")
{
    ShutdownSequence shutdown = requested();
    CHECK(shutdown.advance(Start + seconds(59), {1, 0, false}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Limit, {1, 0, false}) == Phase::Done);
}

TEST_CASE("Shares that cannot be given back hold a shutdown up for a moment only", "[shutdown]")
{
    // Their lease lapses by itself; with the platform down there is nothing to wait for.
    ShutdownSequence shutdown = requested();
    CHECK(shutdown.advance(Start + Notice, {0, 0, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + seconds(10), {0, 0, true}) == Phase::Done);
    CHECK(WorkLeft{0, 0, true}.isNone());
}

TEST_CASE("What the store has not taken yet holds a shutdown up for a moment only", "[shutdown][crash]")
{
    // Only this process has seen it; with the store away for long there is nothing to wait for.
    ShutdownSequence shutdown = requested();
    CHECK(shutdown.advance(Start + Notice, {0, 0, false, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + seconds(1), {0, 0, false, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + seconds(1), {0, 0, false, false}) == Phase::Done);
    ShutdownSequence other = requested();
    CHECK(other.advance(Start + Notice, {0, 0, false, true}) == Phase::Finishing);
    CHECK(other.advance(Start + Notice + seconds(10), {0, 0, false, true}) == Phase::Done);
}

TEST_CASE("A second request ends a shutdown at once", "[shutdown]")
{
    ShutdownSequence shutdown = requested();
    shutdown.requested(Start + milliseconds(1));
    CHECK(shutdown.phase() == Phase::Done);
}
