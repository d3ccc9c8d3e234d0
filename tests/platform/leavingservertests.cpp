/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "eventually.h"
#include "loadedzones.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Standins;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr Duration DrainPeriod = seconds(2);
constexpr Duration ObservationTime = seconds(2);

} // namespace

TEST_CASE("A server that announces in its answers that it is leaving gets no further requests", "[platform][path][leaving]")
{
    LoadedZones zones;
    zones.startLoad();
    REQUIRE(eventually([&zones] { return zones.localExecutions() > 20; }));
    zones.localBackend().announceLeaving();
    std::this_thread::sleep_for(DrainPeriod);
    // The store does not know yet: the server renews its entry, which still says that it is ready.
    nlohmann::json entry = zones.store.specification("servers", "i-1");
    entry["sequence"] = 2;
    zones.store.put("servers", "i-1", entry);
    const std::size_t before = zones.localExecutions();
    std::this_thread::sleep_for(ObservationTime);
    CHECK(zones.localExecutions() == before);
    zones.stopLoad();
    CHECK(zones.areAllServed());
}
