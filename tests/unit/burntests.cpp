/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/burn/burncounter.h"
#include "core/burn/burnreport.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

Configuration withObjective()
{
    Service service;
    service.name = "reclamos";
    service.objectives = {{"status", 99.0, milliseconds(100), 95.0}};
    return {{}, {service}};
}

/// @return the same counts for every window.
FleetBurnCounts countsOf(BurnCounts counts)
{
    return {{{"reclamos", "status"}, {counts, counts, counts}}};
}

} // namespace

TEST_CASE("Requests older than a window are not counted in it", "[burn]")
{
    BurnCounter counter;
    const TimePoint start = TimePoint(seconds(100'000));
    counter.add(start, false, false);
    counter.add(start + seconds(200), true, true);
    CHECK(counter.counts(start + seconds(200), seconds(300)) == BurnCounts{2, 1, 1});
    CHECK(counter.counts(start + seconds(400), seconds(300)) == BurnCounts{1, 0, 1});
    CHECK(counter.counts(start + seconds(400), seconds(3600)) == BurnCounts{2, 1, 1});
    CHECK(counter.counts(start + seconds(6 * 3600 + 300), seconds(6 * 3600)) == BurnCounts{0, 0, 0});
}

TEST_CASE("A burn rate of 1 uses up the error budget exactly within its period", "[burn]")
{
    const auto lines = burnLines(withObjective(), countsOf({1000, 10, 99}));
    REQUIRE(lines.size() == 2);
    CHECK(lines[0].rates[0] == Approx(1));
    // Only the 990 good answers can be slow: 99 of them are twice the 5% allowed.
    CHECK(lines[1].rates[0] == Approx(2));
    CHECK(lines[0].alert == BurnAlert::None);
}

TEST_CASE("Alerts require a high rate in both windows and enough requests", "[burn]")
{
    CHECK(burnLines(withObjective(), countsOf({1000, 200, 0}))[0].alert == BurnAlert::Page);
    CHECK(burnLines(withObjective(), countsOf({1000, 70, 0}))[0].alert == BurnAlert::Ticket);
    FleetBurnCounts brief = countsOf({1000, 200, 0});
    brief.begin()->second[1] = {100'000, 200, 0};
    brief.begin()->second[2] = {100'000, 200, 0};
    CHECK(burnLines(withObjective(), brief)[0].alert == BurnAlert::None);
    // A single failed request in a period with little traffic does not raise an alert.
    CHECK(burnLines(withObjective(), countsOf({1, 1, 0}))[0].alert == BurnAlert::None);
}
