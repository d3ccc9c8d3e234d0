/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/stallmonitor.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

constexpr TimePoint Start = TimePoint(seconds(50));
constexpr Duration Tick = milliseconds(10);

} // namespace

TEST_CASE("A process that has not begun to run its main loop is not stalled", "[stall]")
{
    StallMonitor monitor;
    CHECK_FALSE(monitor.isUnconfirmed(Start + seconds(60)));
    CHECK_FALSE(monitor.tick(Start + seconds(60)));
    CHECK_FALSE(monitor.isUnconfirmed(Start + seconds(60)));
}

TEST_CASE("A stall is noticed before the main loop runs again, and lasts until the directory is confirmed", "[stall]")
{
    StallMonitor monitor;
    monitor.tick(Start);
    const TimePoint resumed = Start + seconds(3);
    CHECK(monitor.isUnconfirmed(resumed));
    CHECK(monitor.tick(resumed) == std::optional<Duration>(seconds(3)));
    CHECK_FALSE(monitor.tick(resumed + Tick));
    CHECK(monitor.isUnconfirmed(resumed + Tick));
    monitor.confirmed();
    CHECK_FALSE(monitor.isUnconfirmed(resumed + Tick));
}

TEST_CASE("Without a confirmation requests are served again after a bounded wait", "[stall]")
{
    StallMonitor monitor;
    monitor.tick(Start);
    TimePoint now = Start + StallMonitor::MinStall;
    const TimePoint end = now + StallMonitor::MaxConfirmation;
    while (now < end) {
        monitor.tick(now);
        CHECK(monitor.isUnconfirmed(now));
        now += Tick;
    }
    CHECK_FALSE(monitor.isUnconfirmed(end));
}

TEST_CASE("A short pause of the main loop is no stall", "[stall]")
{
    StallMonitor monitor;
    monitor.tick(Start);
    const TimePoint now = Start + StallMonitor::MinStall - Tick;
    CHECK_FALSE(monitor.isUnconfirmed(now));
    CHECK_FALSE(monitor.tick(now));
}
