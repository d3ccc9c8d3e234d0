/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/fleetbudgets.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// Entry VMs that the fixed parts are cut for (the users' plan: 13 to 18). More of them do not all use theirs at once.
constexpr double EntryVmsToCutFor = 20;
// The rest covers requests whose first arrival came to nothing, and clocks that count windows differently.
constexpr double RatioPart = 0.9;
constexpr double HundredPercent = 100;
// A longer burst would repeat requests against servers that are all overloaded.
constexpr int MaxBurst = 3;

} // namespace

RetryRules repeatRulesFor(const FleetBudgets &budgets)
{
    RetryRules rules;
    rules.budgetPercent = static_cast<int>(budgets.repeatRatio * RatioPart * HundredPercent);
    rules.budgetBurst = std::clamp(static_cast<int>(budgets.repeatSlack / EntryVmsToCutFor), 1, MaxBurst);
    // Entry VMs that restart together must not each bring a whole burst.
    rules.budgetAtStart = 1;
    rules.hedgesFromBudget = true;
    rules.statuses = {500, 502, 504};
    return rules;
}

int probesPerSecondFor(const FleetBudgets &budgets)
{
    return std::max(1, static_cast<int>(budgets.probesPerServer / EntryVmsToCutFor));
}

} // namespace Cloverbarrow
