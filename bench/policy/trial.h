/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"
#include "core/servers/pickpolicy.h"
#include "core/support/time.h"
#include "fakebackend.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Cloverbarrow::Bench
{

/// A service of a deployment.
struct Deployment {
    std::string name;
    std::string service;
    int zones = 4;
    int backends = 10;
    int entryVms = 16;
    Duration meanServiceTime = milliseconds(8);
};

/// Fault that is injected into a trial.
enum class Fault {
    None,
    Straggler, ///< One server becomes ten times as slow.
    ZoneDown, ///< The servers of one zone refuse connections.
    FailFast, ///< One server answers all requests with an error at once.
    Surge, ///< The call rate rises by half for one second.
    Overload, ///< The call rate rises by half until the end of the trial.
};

/// Variant of the way in which entry VMs choose backend servers.
struct PolicyVariant {
    std::string name;
    PickPolicy policy;
    int connectionsPerServer = 200;
    /// Number of entry VMs that send calls to backend servers; the others forward their calls to these. With 0, all entry VMs send.
    int dispatchers = 0;
    /// Interval at which entry VMs send each other their numbers of attempts in flight; they never do with 0.
    Duration shareInterval{0};
    bool sharesWithinZoneOnly = true; ///< Sends the numbers only to entry VMs of the same zone.
    int hedgePercent = 0;
    bool hasPerfectKnowledge =
        false; ///< Ignores the policy and uses one queue for all slots, with full and immediate knowledge. This is the best possible result.
};

/// The results of one trial. Latencies are in milliseconds.
struct TrialResult {
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double refusedPercent = 0;
    double errorPercent = 0; ///< Calls that failed at a server or were not answered before their deadline.
    double goodputPerSecond = 0; ///< Calls answered without error.
    double retriesPercent = 0;
    double busiestToMeanRatio = 0; ///< Requests at the busiest server, divided by the mean over all servers.
    std::size_t calls = 0;
};

/// Runs the service shards of the core against fake backend servers on a virtual clock.
/// @param load average fraction of all slots that the calls keep busy.
TrialResult runTrial(const Deployment &deployment, const PolicyVariant &variant, double load, Fault fault, std::uint64_t seed, Duration length);

} // namespace Cloverbarrow::Bench
