/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"

namespace Cloverbarrow
{

/// Budgets that all entry VMs share. They are kept without asking each other: each entry VM takes an equal part.
struct FleetBudgets {
    double repeatRatio = 0.2; ///< Arrivals at backend servers beyond the first of each request, over the requests.
    double repeatSlack = 50; ///< Such arrivals that all entry VMs together may make on top of that in a window.
    double probesPerServer = 60; ///< Probes a second of each backend server by all entry VMs together.
    int zones = 1; ///< Availability zones with entry VMs.
    double coldOverage = 1.5; ///< Factor on the requests a second that a cold server bears, for all entry VMs together.
    double coldSlack = 8; ///< Requests in any second on top of that.

    bool operator==(const FleetBudgets &) const = default;
};

/// @param entryVms that share the budgets. @return the part of one of them in the budget of repeated arrivals.
RetryRules repeatRulesFor(const FleetBudgets &budgets, int entryVms);
/// @param entryVms as above. @return probes a second of one entry VM for each backend server.
double probesPerSecondFor(const FleetBudgets &budgets, int entryVms);

/// @param requestsPerSecond that a cold server bears; 0 when there is no bound.
/// @return what the entry VMs of a zone may send to one cold server; nothing when there is no bound.
std::optional<FleetAllowance> coldStartAllowance(const FleetBudgets &budgets, double requestsPerSecond);

} // namespace Cloverbarrow
