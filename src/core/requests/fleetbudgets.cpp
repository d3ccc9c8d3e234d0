/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/fleetbudgets.h"

namespace Cloverbarrow
{

namespace
{

// The rest covers requests whose first arrival came to nothing, and clocks that count windows differently.
constexpr double RatioPart = 0.9;
constexpr double HundredPercent = 100;
// A longer burst would repeat requests against servers that are all overloaded.
constexpr int MaxBurst = 3;

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

} // namespace Cloverbarrow
