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

/// A service of a deployment that is called with one kind of read requests, and the behaviour of its callers.
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
    NoisyBackendOptions backendOptions;
    double burstFactor = 1; ///< The usual arrival rate is multiplied by this during the burst.
    Duration burstFrom{0}; ///< Start of the burst, from the start of the trial.
    Duration burstFor{0};
};

/// Counts the callers whose first attempt arrived within one second of the trial.
struct CallersInSecond {
    int callers = 0;
    int answeredInTime = 0; ///< Callers that were answered within the latency objective.
};

enum class NoisyPolicy {
    Perfect, ///< One queue for all entry VMs, which see the present state of all servers without delay, but not the future.
    Random,
    Reports, ///< Uses the load reports in earlier answers.
    Probes,
    ProbesAndHedges,
};

/// The results of one trial. Latencies are in milliseconds from a caller's first attempt, and shares are in percent of callers unless stated otherwise.
struct NoisyTrialResult {
    double p50 = 0;
    double p99 = 0;
    double withinObjective = 0;
    double served = 0;
    double refusals = 0; ///< Refusals per hundred callers, including those of client retries.
    double secondAttempts = 0; ///< In percent of requests.
    double probesPerRequest = 0; ///< Probes per request.
    std::size_t callers = 0;
    std::vector<CallersInSecond> seconds; ///< One entry per second, from the start of the trial.
};

/// @param load average fraction of all slots that would be busy if servers were chosen at random.
NoisyTrialResult runNoisyTrial(const NoisyDeployment &deployment, NoisyPolicy policy, double load, std::uint64_t seed, Duration length);

} // namespace Cloverbarrow::Bench
