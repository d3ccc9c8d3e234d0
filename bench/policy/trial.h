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

/// A service of a deployment, as the brief gives it.
struct Deployment {
    std::string name;
    std::string service;
    int zones = 4;
    int backends = 10;
    int entryVms = 16;
    Duration meanService = milliseconds(8);
};

/// What goes wrong in a trial.
enum class Fault {
    None,
    Straggler, ///< One server becomes ten times slower.
    ZoneGone, ///< The servers of one zone refuse connections.
    FailFast, ///< One server answers with an error at once.
    Surge, ///< Half as many calls again for a second.
    Overload, ///< Half as many calls again from then on.
};

/// How entry VMs choose.
struct Arrangement {
    std::string name;
    PickPolicy policy;
    int connectionsPerServer = 200;
    /// Entry VMs that send a service's calls to backend servers; the others hand theirs on to these. 0: every one sends.
    int dispatchers = 0;
    /// How often entry VMs tell each other their attempts; zero is never.
    Duration shareEvery{0};
    bool sharesZoneOnly = true;
    int hedgePercent = 0;
    bool isPerfect = false; ///< The bound: one queue over all slots, with full knowledge and no delay of news.
};

/// The figures of one trial. Times in milliseconds.
struct Figures {
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double refusedPercent = 0;
    double errorPercent = 0; ///< Errors of servers, and answers that came too late.
    double goodPerSecond = 0;
    double retriesPercent = 0;
    double spread = 0; ///< Busiest server's share over the mean share.
    std::size_t calls = 0;
};

/// Drives the core's service shards with a virtual clock and fake backend servers.
/// @param load share of all slots that calls would fill on average.
Figures runTrial(const Deployment &deployment, const Arrangement &arrangement, double load, Fault fault, std::uint64_t seed, Duration length);

} // namespace Cloverbarrow::Bench
