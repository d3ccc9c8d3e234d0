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

// Request limits that backend servers announce, tested with entry VMs as processes.

using namespace Cloverbarrow;
using namespace Cloverbarrow::Standins;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr int EntryVms = 4;
constexpr double LimitPerSecond = 2;
constexpr Duration Window = seconds(4);
// Time within which all entry VMs observe a limit after it was announced.
constexpr Duration PropagationTime = seconds(3);

/// @return maximum number of requests to a server in the window: one and a half times its limit, and a slack of 5.
constexpr int maxRequests()
{
    return static_cast<int>(1.5 * 4 * LimitPerSecond + 5);
}

} // namespace

TEST_CASE("A request limit that a server announces bounds the requests of all entry VMs together", "[platform][path][limit]")
{
    const LimitScope scope = GENERATE(LimitScope::Requests, LimitScope::RequestsAndProbes);
    LoadedZones zones(EntryVms);
    zones.startLoad();
    REQUIRE(eventually([&zones] { return zones.localExecutions() > 20; }));
    zones.localBackend().announceLimit("2.0", scope);
    const TimePoint announcedAt = bootNow();
    std::this_thread::sleep_for(PropagationTime + 2 * Window);
    CHECK(zones.localBackend().maxExecutions(Window, announcedAt + PropagationTime) <= maxRequests());
    zones.stopLoad();
    CHECK(zones.areAllServed());
}

TEST_CASE("A server that lifts its request limit is used again by entry VMs that had stopped sending to it", "[platform][path][limit]")
{
    const LimitScope scope = GENERATE(LimitScope::Requests, LimitScope::RequestsAndProbes);
    LoadedZones zones(EntryVms);
    zones.startLoad();
    REQUIRE(eventually([&zones] { return zones.localExecutions() > 20; }));
    zones.localBackend().announceLimit("2.0", scope);
    std::this_thread::sleep_for(PropagationTime + Window);
    zones.localBackend().announceLimit("", scope);
    std::this_thread::sleep_for(PropagationTime);
    const TimePoint from = bootNow();
    std::this_thread::sleep_for(Window);
    // Each of the four callers sends a request about every 60 ms, and the load is shared by two servers.
    CHECK(zones.localBackend().maxExecutions(Window, from) >= 60);
    zones.stopLoad();
    CHECK(zones.areAllServed());
}
