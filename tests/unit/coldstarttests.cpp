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
constexpr FleetRank Rank{1, 4};

Service serviceWith(Duration warmUp, const std::optional<FleetRank> &rank, const std::string &zone = "bog-a")
{
    Service service;
    service.name = "polizas";
    service.coldRequestsPerSecond = 2.5;
    service.coldStartQuota = coldStartQuota(FleetBudgets{}, service.coldRequestsPerSecond);
    service.entryVmRank = rank;
    service.backendServers.push_back({"b1", "127.0.0.1:9001", zone, {}, 2, warmUp});
    return service;
}

/// @return requests that @p pool allows to its only server if one is due every ten milliseconds.
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

TEST_CASE("The share of an entry VM in the quota of a cold server follows from the configured rate", "[cold][budget]")
{
    const FleetBudgets budgets;
    const auto quota = coldStartQuota(budgets, 2.5);
    REQUIRE(quota);
    CHECK(quota->requests == 3);
    CHECK(quota->maxSenders == 3);
    SECTION("a single entry VM has the whole quota")
    {
        CHECK(shareOf(*quota, 0, 1) == 3);
    }
    SECTION("a rate below one per second lengthens the window")
    {
        const auto slow = coldStartQuota({0.2, 50, 60, 1, 1, 5}, 0.2);
        REQUIRE(slow);
        CHECK(slow->maxSenders == 1);
        CHECK(slow->requests == 1);
        CHECK(slow->window > seconds(3));
    }
    SECTION("the quota is zero if one request from each set of senders were too many")
    {
        CHECK(coldStartQuota({0.2, 50, 60, 1, 1, 0}, 2.5)->requests == 0);
    }
    SECTION("there is no quota without a configured rate or with an absurd one")
    {
        CHECK_FALSE(coldStartQuota(budgets, 0));
        CHECK_FALSE(coldStartQuota(budgets, 1e9));
    }
}

TEST_CASE("A cold server gets no more requests than its quota allows until it is warm", "[cold]")
{
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    const FleetRank alone{0, 1};
    pool.configure(serviceWith(seconds(6), alone), Start);
    // The requests that a previous process of this entry VM may just have sent are not known.
    CHECK(sentIn(pool, Start, seconds(1)) == 0);
    const int whileCold = sentIn(pool, Start + seconds(2), seconds(3));
    CHECK(whileCold <= 9);
    CHECK(whileCold >= 8);
    CHECK(sentIn(pool, Start + seconds(6), seconds(1)) == 100);
}

TEST_CASE("An entry VM without a rank, or of another zone, sends nothing to a cold server", "[cold]")
{
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    SECTION("no rank")
    {
        pool.configure(serviceWith(seconds(3), std::nullopt), Start);
    }
    SECTION("another zone")
    {
        pool.configure(serviceWith(seconds(3), FleetRank{0, 1}, "bog-b"), Start);
    }
    CHECK(sentIn(pool, Start, seconds(3)) == 0);
    CHECK(sentIn(pool, Start + seconds(3), seconds(1)) == 100);
}

TEST_CASE("A server is cold according to the latest report by itself or by its registration", "[cold]")
{
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    const Service warm = serviceWith(Duration(0), std::nullopt);
    pool.configure(warm, Start);
    REQUIRE(pool.takeNamed(Start, "b1"));
    SECTION("reported by the server, as in an answer to a probe")
    {
        pool.setWarmUp("b1", seconds(2), Start);
        CHECK_FALSE(pool.takeNamed(Start, "b1"));
        // The older state in its registration does not make it warm.
        pool.configure(warm, Start + milliseconds(100));
        CHECK_FALSE(pool.takeNamed(Start + milliseconds(100), "b1"));
        CHECK(pool.takeNamed(Start + seconds(2), "b1"));
    }
    SECTION("reported by its registration, although it was tracked as warm")
    {
        pool.configure(serviceWith(seconds(3), std::nullopt), Start + seconds(1));
        CHECK_FALSE(pool.takeNamed(Start + seconds(1), "b1"));
        // The same registration, with the remaining warm-up time.
        pool.configure(serviceWith(seconds(1), std::nullopt), Start + seconds(3));
        CHECK_FALSE(pool.takeNamed(Start + seconds(3), "b1"));
        CHECK(pool.takeNamed(Start + milliseconds(4050), "b1"));
    }
    SECTION("reported as warm by the server before the time in its registration")
    {
        pool.configure(serviceWith(seconds(3), std::nullopt), Start + seconds(1));
        pool.setWarmUp("b1", Duration(0), Start + seconds(1));
        CHECK(pool.takeNamed(Start + seconds(1), "b1"));
        pool.configure(serviceWith(seconds(2), std::nullopt), Start + seconds(2));
        CHECK(pool.takeNamed(Start + seconds(2), "b1"));
    }
}

TEST_CASE("Each server has the maximum number of senders and the whole quota for any number of entry VMs in the zone", "[cold][fleet]")
{
    const ServerQuota quota = *coldStartQuota(FleetBudgets{}, 2.5);
    for (const int count : {1, 4, 24, 80}) {
        for (int server = 0; server < 50; ++server) {
            int senders = 0;
            int requests = 0;
            for (int number = 0; number < count; ++number) {
                const int share = shareOf(quota, senderRank({number, count}, "i-" + std::to_string(server)), count);
                senders += share > 0 ? 1 : 0;
                requests += share;
            }
            CHECK(senders == std::min(quota.maxSenders, count));
            CHECK(requests == quota.requests);
        }
    }
}

TEST_CASE("A relay assigns each entry VM that asks it a unique rank, once it has counted for a while", "[cold][fleet]")
{
    FleetEstimate estimate(4);
    CHECK_FALSE(estimate.onFollowerRequest(Start, "a"));
    CHECK_FALSE(estimate.localRank(Start + seconds(1)));
    const TimePoint later = Start + seconds(2);
    const auto first = estimate.onFollowerRequest(later, "a");
    const auto second = estimate.onFollowerRequest(later, "b");
    const auto local = estimate.localRank(later);
    REQUIRE((first && second && local));
    CHECK(first->number != second->number);
    CHECK(local->number != first->number);
    CHECK(local->number != second->number);
    SECTION("an entry VM keeps its rank")
    {
        CHECK(estimate.onFollowerRequest(later + seconds(1), "a")->number == first->number);
    }
    SECTION("a rank is reassigned only after it has expired for the first holder")
    {
        CHECK(estimate.onFollowerRequest(later + FleetEstimate::RankLifetime, "c")->number != first->number);
        CHECK(estimate.onFollowerRequest(later + seconds(6), "d")->number == first->number);
    }
    SECTION("no rank is assigned for a while after the relay has started again")
    {
        estimate.stopCounting();
        CHECK_FALSE(estimate.onFollowerRequest(later + seconds(1), "a"));
    }
}
