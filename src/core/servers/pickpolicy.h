/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/random.h"
#include "core/support/time.h"

#include <cstddef>
#include <span>
#include <variant>

namespace Cloverbarrow
{

struct Backend;

/// Any server, with equal chance.
struct RandomPick {
};

/// Each server in turn.
struct RoundRobinPick {
    std::size_t next = 0;
};

/// The server with the fewest attempts of this entry VM.
struct LeastInFlightPick {
};

/// The better of two random servers, by attempts of this entry VM.
struct TwoChoicesPick {
};

/// The server with the least estimated load: own attempts, and what the server's last report says
/// that others had there. An old report says little, so with age the estimate goes to the mean of all servers.
struct LoadReportPick {
    Duration halfLife{0}; ///< Age at which a report counts half; 0 means the servers' mean latency.
    double latencyShare = 0.5; ///< Of the mean latency, where that is the half-life.
    int choices = 0; ///< Random servers compared; 0 compares all.
    double farPenalty = 0.8; ///< Load that being in another availability zone counts for.
    double farRegionPenalty = 8; ///< The same for another region: it gets what the own one cannot take.
};

/// The server with the fewest attempts of this entry VM and, as last told, of its peers. Compared in the
/// benchmark only: docs/POLICY.md says why it was not chosen, so no peer tells its attempts.
struct SharedInFlightPick {
};

using PickPolicy = std::variant<RandomPick, RoundRobinPick, LeastInFlightPick, TwoChoicesPick, LoadReportPick, SharedInFlightPick>;

/// Chooses one of @p candidates, which are indices into @p backends. There is at least one.
std::size_t pickBackend(PickPolicy &policy, std::span<const Backend> backends, std::span<const std::size_t> candidates, TimePoint now, Random &random);

} // namespace Cloverbarrow
