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

// The margin covers requests whose first attempt never reached a server, and clocks whose windows start at different times.
constexpr double UsableRatioFraction = 0.9;
constexpr double HundredPercent = 100;
// A longer burst would send extra attempts to servers that are all overloaded.
constexpr int MaxBurst = 3;

// While one relay takes over from another, entry VMs may use the ranks assigned by the former, the latter or a third one. Up to three overlapping sets of
// senders may then use one cold server.
constexpr double MaxSenderSets = 3;
// Slightly longer than a second, so that requests sent in adjacent windows do not arrive within the same second.
constexpr Duration ColdWindow = milliseconds(1050);
// Rates above this, in requests per second, are never reached and are treated as unlimited.
constexpr double LargestColdRate = 1000;

} // namespace

RetryRules extraAttemptRulesFor(const FleetBudgets &budgets, int entryVms)
{
    RetryRules rules;
    rules.budgetPercent = static_cast<int>(budgets.extraAttemptRatio * UsableRatioFraction * HundredPercent);
    rules.budgetBurst = MaxBurst;
    rules.window = ExtraAttemptWindow{budgets.extraAttemptRatio * UsableRatioFraction, budgets.extraAttemptSlack / entryVms};
    // Entry VMs that restart together must not each start with a whole burst.
    rules.budgetAtStart = 1;
    rules.hedgesFromBudget = true;
    rules.statuses = {500, 502, 504};
    return rules;
}

double probesPerSecondFor(const FleetBudgets &budgets, int entryVms)
{
    return budgets.probesPerServer / entryVms;
}

void applySharingRules(const FleetBudgets &budgets, Service &service)
{
    service.sharesScarceCapacity = budgets.sharesScarceCapacity;
    service.sharesSlowServers = budgets.sharesSlowServers;
}

std::optional<ServerQuota> coldStartQuota(const FleetBudgets &budgets, double requestsPerSecond)
{
    if (requestsPerSecond <= 0 || requestsPerSecond > LargestColdRate) {
        return std::nullopt;
    }
    const double steady = requestsPerSecond * budgets.coldRateFactor;
    const double maximum = steady + budgets.coldSlack;
    // The slack is reserved for overlapping sets of senders: a server that gets much more than the steady rate crashes.
    const double rate = std::min(steady, maximum / MaxSenderSets);
    const int requests = std::max(1, static_cast<int>(rate));
    if (requests * MaxSenderSets > maximum) {
        return ServerQuota{};
    }
    const Duration window = rate < 1 ? std::chrono::round<Duration>(ColdWindow / std::max(rate, 1 / LargestColdRate)) : ColdWindow;
    return ServerQuota{requests, window, requests};
}

} // namespace Cloverbarrow
