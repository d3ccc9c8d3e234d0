/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/fleetestimate.h"
#include "core/requests/fleetbudgets.h"
#include "core/servers/backendpool.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Cloverbarrow;

namespace
{

constexpr TimePoint Start(seconds(1000));
constexpr FleetPlace Place{1, 4};

Service serviceWith(Duration warmUp, const std::optional<FleetPlace> &place, const std::string &zone = "bog-a")
{
    Service service;
    service.name = "polizas";
    service.coldRequestsPerSecond = 2.5;
    service.coldStart = coldStartAllowance(FleetBudgets{}, service.coldRequestsPerSecond);
    service.place = place;
    service.backendServers.push_back({"b1", "127.0.0.1:9001", zone, {}, 2, warmUp});
    return service;
}

/// Requests that @p pool lets go to its only server when one is wanted every ten milliseconds.
int sentIn(BackendPool &pool, TimePoint from, Duration duration)
{
    int sent = 0;
    for (TimePoint now = from; now < from + duration; now += milliseconds(10)) {
        if (pool.takeNamed(now, "b1")) {
            pool.release("b1", AttemptQuality::Neutral, Duration(0), now);
            ++sent;
        }
    }
    return sent;
}

} // namespace

TEST_CASE("The part of an entry VM in what a cold server bears follows from the bound", "[cold][budget]")
{
    const FleetBudgets budgets;
    const auto allowance = coldStartAllowance(budgets, 2.5);
    REQUIRE(allowance);
    CHECK(allowance->requests == 3);
    CHECK(allowance->senders == 3);
    SECTION("one entry VM alone has it all")
    {
        CHECK(shareOf(*allowance, 0, 1) == 3);
    }
    SECTION("a rate below one a second is a longer window")
    {
        const auto slow = coldStartAllowance({0.2, 50, 60, 1, 1, 5}, 0.2);
        REQUIRE(slow);
        CHECK(slow->senders == 1);
        CHECK(slow->requests == 1);
        CHECK(slow->window > seconds(3));
    }
    SECTION("where one of each set of senders were too many, none is sent")
    {
        CHECK(coldStartAllowance({0.2, 50, 60, 1, 1, 0}, 2.5)->requests == 0);
    }
    SECTION("without a bound there is none, and absurd ones are none")
    {
        CHECK_FALSE(coldStartAllowance(budgets, 0));
        CHECK_FALSE(coldStartAllowance(budgets, 1e9));
    }
}

TEST_CASE("A cold server gets as many requests as its senders may send, and more once it is warm", "[cold]")
{
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    const FleetPlace alone{0, 1};
    pool.configure(serviceWith(seconds(6), alone), Start);
    // What a former process of this entry VM sent just before is not known.
    CHECK(sentIn(pool, Start, seconds(1)) == 0);
    const int whileCold = sentIn(pool, Start + seconds(2), seconds(3));
    CHECK(whileCold <= 9);
    CHECK(whileCold >= 8);
    CHECK(sentIn(pool, Start + seconds(6), seconds(1)) == 100);
}

TEST_CASE("Who has no place, or is of another zone, sends nothing to a cold server", "[cold]")
{
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    SECTION("no place")
    {
        pool.configure(serviceWith(seconds(3), std::nullopt), Start);
    }
    SECTION("another zone")
    {
        pool.configure(serviceWith(seconds(3), FleetPlace{0, 1}, "bog-b"), Start);
    }
    CHECK(sentIn(pool, Start, seconds(3)) == 0);
    CHECK(sentIn(pool, Start + seconds(3), seconds(1)) == 100);
}

TEST_CASE("A server is cold as it or its entry last said", "[cold]")
{
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    const Service warm = serviceWith(Duration(0), std::nullopt);
    pool.configure(warm, Start);
    REQUIRE(pool.takeNamed(Start, "b1"));
    SECTION("by itself, as with an answer to a probe")
    {
        pool.warmUpTold("b1", seconds(2), Start);
        CHECK_FALSE(pool.takeNamed(Start, "b1"));
        // An older word of its entry does not make it warm.
        pool.configure(warm, Start + milliseconds(100));
        CHECK_FALSE(pool.takeNamed(Start + milliseconds(100), "b1"));
        CHECK(pool.takeNamed(Start + seconds(2), "b1"));
    }
    SECTION("by its entry, though it was known and warm")
    {
        pool.configure(serviceWith(seconds(3), std::nullopt), Start + seconds(1));
        CHECK_FALSE(pool.takeNamed(Start + seconds(1), "b1"));
        // The same entry, with what is left of it.
        pool.configure(serviceWith(seconds(1), std::nullopt), Start + seconds(3));
        CHECK_FALSE(pool.takeNamed(Start + seconds(3), "b1"));
        CHECK(pool.takeNamed(Start + milliseconds(4050), "b1"));
    }
    SECTION("by itself sooner than its entry said")
    {
        pool.configure(serviceWith(seconds(3), std::nullopt), Start + seconds(1));
        pool.warmUpTold("b1", Duration(0), Start + seconds(1));
        CHECK(pool.takeNamed(Start + seconds(1), "b1"));
        pool.configure(serviceWith(seconds(2), std::nullopt), Start + seconds(2));
        CHECK(pool.takeNamed(Start + seconds(2), "b1"));
    }
}

TEST_CASE("Of a zone's entry VMs as many are senders of each server as may be, whatever their number", "[cold][fleet]")
{
    const FleetAllowance allowance = *coldStartAllowance(FleetBudgets{}, 2.5);
    for (const int count : {1, 4, 24, 80}) {
        for (int server = 0; server < 50; ++server) {
            int senders = 0;
            int requests = 0;
            for (int number = 0; number < count; ++number) {
                const int share = shareOf(allowance, senderRank({number, count}, "i-" + std::to_string(server)), count);
                senders += share > 0 ? 1 : 0;
                requests += share;
            }
            CHECK(senders == std::min(allowance.senders, count));
            CHECK(requests == allowance.requests);
        }
    }
}

TEST_CASE("A relay gives each entry VM that asks it a place of its own, once it has counted for a while", "[cold][fleet]")
{
    FleetEstimate estimate(4);
    CHECK_FALSE(estimate.followerAsked(Start, "a"));
    CHECK_FALSE(estimate.ownPlace(Start + seconds(1)));
    const TimePoint later = Start + seconds(2);
    const auto first = estimate.followerAsked(later, "a");
    const auto second = estimate.followerAsked(later, "b");
    const auto own = estimate.ownPlace(later);
    REQUIRE((first && second && own));
    CHECK(first->number != second->number);
    CHECK(own->number != first->number);
    CHECK(own->number != second->number);
    SECTION("which it keeps")
    {
        CHECK(estimate.followerAsked(later + seconds(1), "a")->number == first->number);
    }
    SECTION("and which another gets only after it counts no more for the first")
    {
        CHECK(estimate.followerAsked(later + FleetEstimate::PlaceLasts, "c")->number != first->number);
        CHECK(estimate.followerAsked(later + seconds(6), "d")->number == first->number);
    }
    SECTION("and none for a while after it has relayed anew")
    {
        estimate.stopCounting();
        CHECK_FALSE(estimate.followerAsked(later + seconds(1), "a"));
    }
}
