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

/// Any server, with equal probability.
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

/// The server with the least estimated load: attempts of this entry VM, plus the requests of other entry VMs from the server's last report.
/// As the report ages, that part of the estimate decays to the mean of all servers.
struct LoadReportPick {
    Duration halfLife{0}; ///< Age at which a report has half its weight; 0 derives it from the mean latency of the servers.
    double latencyFraction = 0.5; ///< Fraction of the mean latency used as the half-life if `halfLife` is 0.
    int sampleSize = 0; ///< Number of random servers to compare; 0 compares all.
    double otherZonePenalty = 0.8; ///< Load, in requests, added for a server in another availability zone.
    double otherRegionPenalty = 8; ///< The same for another region, high enough that it gets only requests that the local region has no capacity for.
};

/// The server with the fewest attempts of this entry VM and, as last reported, of its peers. Used only in the benchmark: docs/POLICY.md explains why
/// it was rejected, so peers do not report their attempts.
struct SharedInFlightPick {
};

using PickPolicy = std::variant<RandomPick, RoundRobinPick, LeastInFlightPick, TwoChoicesPick, LoadReportPick, SharedInFlightPick>;

/// Chooses one of @p candidates, which are indices into @p backends and must not be empty.
std::size_t pickBackend(PickPolicy &policy, std::span<const Backend> backends, std::span<const std::size_t> candidates, TimePoint now, Random &random);

} // namespace Cloverbarrow
