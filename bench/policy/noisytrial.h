/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "noisybackend.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Cloverbarrow::Bench
{

/// One kind of reads at one service.
struct NoisyDeployment {
    std::string service;
    int zones = 4;
    int entryVms = 18;
    int backends = 10;
    Duration meanWork = milliseconds(90);
    Duration objective = milliseconds(250);
    Duration deadline = seconds(2);
    Duration timeout = seconds(1);
    int callerRetries = 2;
    NoisyShape shape;
    double burstFactor = 1; ///< Times the usual callers, from @p burstFrom on for @p burstFor.
    Duration burstFrom{0};
    Duration burstFor{0};
};

/// Callers whose first try came within one second, and how many of them were answered within the objective.
struct NoisySecond {
    int callers = 0;
    int inTime = 0;
};

enum class NoisyPolicy {
    Perfect, ///< One queue; the present state of all servers is known without delay, their future is not.
    Random,
    Reports, ///< What came with earlier answers.
    Probes,
    ProbesAndHedges,
};

/// The figures of one trial. Times in milliseconds, from a caller's first try; shares in percent of callers.
struct NoisyFigures {
    double p50 = 0;
    double p99 = 0;
    double inObjective = 0;
    double served = 0;
    double refusals = 0; ///< Of each hundred callers, with those that came back.
    double secondAttempts = 0;
    double probes = 0; ///< For each request.
    std::size_t callers = 0;
    std::vector<NoisySecond> seconds; ///< From the begin of the trial on.
};

/// @param load share of all slots that would be busy in the mean if servers were chosen blindly.
NoisyFigures runNoisyTrial(const NoisyDeployment &deployment, NoisyPolicy policy, double load, std::uint64_t seed, Duration length);

} // namespace Cloverbarrow::Bench
