/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/fleetestimate.h"
#include "core/requests/fleetbudgets.h"
#include "core/requests/retrybudget.h"
#include "core/servers/serverquota.h"
#include "core/support/random.h"
#include "net/relaymessages.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <vector>

using namespace Cloverbarrow;

namespace
{

constexpr TimePoint Start(seconds(1000));

RetryBudget budgetOf(const FleetBudgets &budgets, int entryVms)
{
    const RetryRules rules = extraAttemptRulesFor(budgets, entryVms);
    RetryBudget budget;
    budget.setPercent(rules.budgetPercent);
    budget.setBurst(rules.budgetBurst, rules.budgetAtStart);
    budget.setWindow(rules.window);
    return budget;
}

} // namespace

TEST_CASE("All entry VMs together stay within the budget for extra attempts in any window, even if every request fails", "[budget][fleet]")
{
    constexpr int EntryVms = 142;
    constexpr int RequestsPerSecond = 400;
    constexpr int WindowMs = 10'000;
    const FleetBudgets budgets{0.2, 218, 60, 4};
    std::vector<RetryBudget> fleet(EntryVms, budgetOf(budgets, EntryVms));
    Random random(7);
    std::deque<int> requests;
    std::deque<int> extraAttempts;
    int maxOverRatio = 0;
    for (int ms = 0; ms < 60'000; ++ms) {
        const TimePoint now = Start + milliseconds(ms);
        // Every request fails in the second and the fourth of four 15 s periods; in the others, budgets accumulate.
        const bool fails = (ms / 15'000) % 2 == 1;
        if (random.uniform() < RequestsPerSecond / 1000.0) {
            RetryBudget &entryVm = fleet[random.below(EntryVms)];
            entryVm.addFirstAttempt(now);
            requests.push_back(ms);
            while (fails && entryVm.take(now)) {
                extraAttempts.push_back(ms);
            }
        }
        while (!extraAttempts.empty() && extraAttempts.front() <= ms - WindowMs) {
            extraAttempts.pop_front();
        }
        while (!requests.empty() && requests.front() <= ms - WindowMs) {
            requests.pop_front();
        }
        maxOverRatio = std::max(maxOverRatio, static_cast<int>(extraAttempts.size() - budgets.extraAttemptRatio * static_cast<double>(requests.size())));
    }
    CHECK(maxOverRatio <= budgets.extraAttemptSlack);
    // The slack must be usable: a budget that allows no extra attempts would meet the first check too.
    CHECK(maxOverRatio > 0);
}

TEST_CASE("The probe rate of one entry VM falls with the number of entry VMs", "[budget][fleet]")
{
    const FleetBudgets budgets;
    CHECK(probesPerSecondFor(budgets, 20) * 20 <= budgets.probesPerServer);
    CHECK(probesPerSecondFor(budgets, 300) * 300 <= budgets.probesPerServer);
    CHECK(probesPerSecondFor(budgets, 300) > 0);
}

TEST_CASE("Zones of different sizes together stay within a budget, and a small zone gets its share", "[budget][fleet]")
{
    constexpr int Zones = 3;
    const FleetBudgets budgets{0.2, 56, 60, Zones};
    double all = 0;
    for (const int inZone : {12, 5, 1}) {
        FleetEstimate estimate(Zones);
        estimate.update(Start, inZone);
        estimate.update(Start + seconds(20), inZone);
        const double ofZone = inZone * probesPerSecondFor(budgets, estimate.entryVms());
        CHECK(ofZone > budgets.probesPerServer / (2 * Zones));
        all += ofZone;
    }
    CHECK(all <= budgets.probesPerServer);
}

TEST_CASE("A newly started entry VM does not use the share of peers that are not counted yet", "[budget][fleet]")
{
    FleetEstimate estimate(3);
    estimate.update(Start, 1);
    CHECK(estimate.entryVms() >= 18);
}

TEST_CASE("The number of entry VMs is estimated from the followers that ask the relay", "[budget][fleet]")
{
    FleetEstimate estimate(4);
    for (int number = 0; number < 30; ++number) {
        estimate.onFollowerRequest(Start, "10.0.0." + std::to_string(number));
    }
    CHECK(estimate.countedInZone(Start) == 31);
    SECTION("the estimate rises at once, with a margin")
    {
        CHECK(estimate.update(Start, 31));
        CHECK(estimate.entryVms() >= 4 * 31);
        CHECK_FALSE(estimate.update(Start, 31));
    }
    SECTION("the estimate falls with a delay, since entry VMs that were killed are restarted")
    {
        estimate.update(Start, 31);
        CHECK_FALSE(estimate.update(Start + seconds(10), 1));
        CHECK(estimate.update(Start + seconds(40), 1));
        CHECK(estimate.entryVms() < 31);
    }
    SECTION("entry VMs that have not asked for some seconds are not counted")
    {
        CHECK(estimate.countedInZone(Start + seconds(10)) == 1);
    }
}

TEST_CASE("The relay names the ranks of entry VMs that have stopped as vacant", "[fleet][limit]")
{
    FleetEstimate estimate(4);
    const TimePoint counted = Start + seconds(3);
    for (const TimePoint at : {Start, counted}) {
        estimate.onFollowerRequest(at, "10.0.0.1");
        estimate.onFollowerRequest(at, "10.0.0.2");
    }
    REQUIRE(estimate.localRank(counted) == FleetRank{0, 3});
    estimate.onFollowerRequest(counted + seconds(3), "10.0.0.2");
    const TimePoint later = counted + seconds(6);
    CHECK(estimate.onFollowerRequest(later, "10.0.0.2") == FleetRank{2, 3, {1}});
    CHECK(estimate.localRank(later) == FleetRank{0, 3, {1}});
    SECTION("until another entry VM takes one")
    {
        CHECK(estimate.onFollowerRequest(later, "10.0.0.3") == FleetRank{1, 3});
    }
}

TEST_CASE("Vacant ranks have no share of a quota", "[fleet][limit]")
{
    constexpr int Count = 6;
    const ServerQuota quota{12, seconds(4), 3};
    for (int vacant = 0; vacant < Count; ++vacant) {
        int shares = 0;
        for (int number = 0; number < Count; ++number) {
            const FleetRank rank{number, Count, {vacant}};
            shares += number == vacant ? 0 : shareOf(quota, senderRank(rank, "i-1"), assignedRanks(rank));
        }
        CHECK(shares == quota.requests);
    }
}

TEST_CASE("Vacant ranks are sent to followers, and invalid ones are rejected", "[fleet][relay]")
{
    RelayProof proof;
    proof.rank = FleetRank{2, 5, {1, 3}};
    CHECK(decodeProof(encodeProof(proof)).rank == proof.rank);
    for (const std::vector<int> &vacant : {std::vector{3, 1}, std::vector{1, 1}, std::vector{2}, std::vector{5}, std::vector{-1}}) {
        proof.rank->vacant = vacant;
        CHECK_THROWS(decodeProof(encodeProof(proof)));
    }
}
