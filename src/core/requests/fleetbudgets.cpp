/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/fleetbudgets.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// The rest covers requests whose first arrival came to nothing, and clocks that count windows differently.
constexpr double RatioPart = 0.9;
constexpr double HundredPercent = 100;
// A longer burst would repeat requests against servers that are all overloaded.
constexpr int MaxBurst = 3;

// While a relay takes over from another one, entry VMs go by the places of the former, of the latter or of a third one, and as many sets of
// senders may use one cold server.
constexpr double SetsOfPlaces = 3;
// Requests that were sent a little more than a second apart do not arrive within one.
constexpr Duration ColdWindow = milliseconds(1050);
// More than this a second is no bound that could ever bind here.
constexpr double LargestColdRate = 1000;

} // namespace

RetryRules repeatRulesFor(const FleetBudgets &budgets, int entryVms)
{
    RetryRules rules;
    rules.budgetPercent = static_cast<int>(budgets.repeatRatio * RatioPart * HundredPercent);
    rules.budgetBurst = MaxBurst;
    rules.window = RepeatWindow{budgets.repeatRatio * RatioPart, budgets.repeatSlack / entryVms};
    // Entry VMs that restart together must not each bring a whole burst.
    rules.budgetAtStart = 1;
    rules.hedgesFromBudget = true;
    rules.statuses = {500, 502, 504};
    return rules;
}

double probesPerSecondFor(const FleetBudgets &budgets, int entryVms)
{
    return budgets.probesPerServer / entryVms;
}

std::optional<FleetAllowance> coldStartAllowance(const FleetBudgets &budgets, double requestsPerSecond)
{
    if (requestsPerSecond <= 0 || requestsPerSecond > LargestColdRate) {
        return std::nullopt;
    }
    const double steady = requestsPerSecond * budgets.coldOverage;
    const double most = steady + budgets.coldSlack;
    // The slack is left for sets of senders that overlap: a server that gets much more than the steady rate crashes.
    const double rate = std::min(steady, most / SetsOfPlaces);
    const int requests = std::max(1, static_cast<int>(rate));
    if (requests * SetsOfPlaces > most) {
        return FleetAllowance{};
    }
    const Duration window = rate < 1 ? std::chrono::round<Duration>(ColdWindow / std::max(rate, 1 / LargestColdRate)) : ColdWindow;
    return FleetAllowance{requests, window, requests};
}

} // namespace Cloverbarrow
