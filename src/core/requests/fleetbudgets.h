/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"
#include "core/rollouts/rolloutpolicy.h"

namespace Cloverbarrow
{

/// Budgets that all entry VMs share. They need no coordination: each entry VM uses an equal share.
struct FleetBudgets {
    double extraAttemptRatio = 0.2; ///< Extra attempts (retries and hedges) for each request.
    double extraAttemptSlack = 50; ///< Extra attempts that all entry VMs together may make on top of that in a window.
    double probesPerServer = 60; ///< Probes per second of each backend server by all entry VMs together.
    int zones = 1; ///< Availability zones with entry VMs.
    double coldRateFactor = 1.5; ///< Factor on the requests per second that a cold server tolerates, for all entry VMs together.
    double coldSlack = 8; ///< Requests in any second on top of that rate.
    RolloutLimits rollouts = {};
    bool sharesScarceCapacity = false; ///< As in Service.
    bool sharesSlowServers = false; ///< As in Service.

    bool operator==(const FleetBudgets &) const = default;
};

/// @param entryVms number of entry VMs that share the budgets. @return the retry rules that keep one of them within its share of the extra attempts.
RetryRules extraAttemptRulesFor(const FleetBudgets &budgets, int entryVms);
/// @param entryVms number of entry VMs that share the budgets. @return probes per second of one entry VM for each backend server.
double probesPerSecondFor(const FleetBudgets &budgets, int entryVms);

/// Applies the rules that settings enable for all services.
void applySharingRules(const FleetBudgets &budgets, Service &service);

/// @param requestsPerSecond rate that a cold server tolerates; 0 when it is not limited.
/// @return what the entry VMs of a zone may send to one cold server; nothing when it is not limited.
std::optional<ServerQuota> coldStartQuota(const FleetBudgets &budgets, double requestsPerSecond);

} // namespace Cloverbarrow
