/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "eventually.h"
#include "loadedzones.h"

#include "net/bootclock.h"

#include <catch2/catch.hpp>

#include <thread>

// Limits on requests that backend servers name, before real entry VMs.

using namespace Cloverbarrow;
using namespace Cloverbarrow::Standins;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr int EntryVms = 4;
constexpr double PerSecond = 2;
constexpr Duration Window = seconds(4);
// Within which all entry VMs keep a limit that was named.
constexpr Duration TouchTime = seconds(3);

/// @return requests that a server may get in the window: one and a half times its limit, and some more.
constexpr int allowed()
{
    return static_cast<int>(1.5 * 4 * PerSecond + 5);
}

} // namespace

TEST_CASE("A server that names a request limit gets no more from all entry VMs together", "[platform][path][limit]")
{
    const LimitBearers bearers = GENERATE(LimitBearers::Requests, LimitBearers::RequestsAndProbes);
    LoadedZones zones(EntryVms);
    zones.startLoad();
    REQUIRE(eventually([&zones] { return zones.runsNear() > 20; }));
    zones.near().nameLimit("2.0", bearers);
    const TimePoint namedAt = bootNow();
    std::this_thread::sleep_for(TouchTime + 2 * Window);
    CHECK(zones.near().mostRuns(Window, namedAt + TouchTime) <= allowed());
    zones.stopLoad();
    CHECK(zones.areAllServed());
}

TEST_CASE("A server whose request limit has ended is used again by entry VMs that had stopped sending to it", "[platform][path][limit]")
{
    const LimitBearers bearers = GENERATE(LimitBearers::Requests, LimitBearers::RequestsAndProbes);
    LoadedZones zones(EntryVms);
    zones.startLoad();
    REQUIRE(eventually([&zones] { return zones.runsNear() > 20; }));
    zones.near().nameLimit("2.0", bearers);
    std::this_thread::sleep_for(TouchTime + Window);
    zones.near().nameLimit("", bearers);
    std::this_thread::sleep_for(TouchTime);
    const TimePoint from = bootNow();
    std::this_thread::sleep_for(Window);
    // Two requests in 60 ms of each of four callers go to two servers.
    CHECK(zones.near().mostRuns(Window, from) >= 60);
    zones.stopLoad();
    CHECK(zones.areAllServed());
}
