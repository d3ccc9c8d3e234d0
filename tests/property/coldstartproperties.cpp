/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "simulatedzone.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

TEST_CASE("A cold server never gets more requests in a second than it tolerates, whatever happens to the fleet", "[property][cold][fleet]")
{
    CHECK(rc::check("with entry VMs that restart, are disconnected and become the relay", [] {
        const int entryVms = *rc::gen::inRange(1, 90);
        FleetBudgets budgets;
        budgets.coldRateFactor = *rc::gen::element(1.0, 1.5, 2.0);
        budgets.coldSlack = *rc::gen::element(0.0, 3.0, 8.0);
        const double perSecond = *rc::gen::element(0.5, 1.0, 2.5, 5.0, 40.0);
        SimulatedZone zone(entryVms, budgets, {perSecond, Duration(0), false}, *rc::gen::arbitrary<std::uint64_t>());
        zone.advance(seconds(4));
        const int events = *rc::gen::inRange(0, 12);
        for (int event = 0; event < events; ++event) {
            const auto index = static_cast<std::size_t>(*rc::gen::inRange(0, 90));
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                zone.restart(index);
                break;
            case 1:
                zone.changeRelay(index);
                break;
            case 2:
                zone.setDisconnected(index, true);
                break;
            case 3:
                zone.setDisconnected(index, false);
                break;
            default:
                for (std::size_t all = 0; all < 90; ++all) {
                    zone.restart(all);
                }
                break;
            }
            zone.advance(milliseconds(*rc::gen::inRange(10, 3000)));
        }
        RC_ASSERT(zone.maxArrivalsIn(seconds(1)) <= perSecond * budgets.coldRateFactor + budgets.coldSlack);
    }));
}

TEST_CASE("A cold server is used at the rate that it tolerates while nothing fails", "[property][cold][fleet]")
{
    CHECK(rc::check("whatever the number of entry VMs", [] {
        SimulatedZone zone(*rc::gen::inRange(1, 90), FleetBudgets{}, {2.5, Duration(0), false}, *rc::gen::arbitrary<std::uint64_t>());
        zone.advance(seconds(4));
        const std::size_t before = zone.arrivals().size();
        zone.advance(seconds(10));
        // Of four ranks at most one is unused, and half of a server's senders may have such a rank.
        RC_ASSERT(zone.arrivals().size() - before >= 8);
    }));
}
