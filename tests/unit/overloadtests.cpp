/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "noisytrial.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <numeric>
#include <vector>

// Simulates a burst of callers at 17 entry VMs in virtual time and checks how many callers are answered in time.

using namespace Cloverbarrow;
using namespace Cloverbarrow::Bench;

namespace
{

constexpr std::size_t BurstFrom = 10;
constexpr std::size_t BurstEnd = 15;
constexpr std::size_t RecoveredBy = BurstEnd + 2;
constexpr Duration Length = seconds(26);
constexpr std::size_t CountedTo = 21;
// Fraction of slots in use at which nearly all requests are answered in time, even if servers are chosen at random.
constexpr double UsualLoad = 0.6;

NoisyDeployment sampleDeployment()
{
    NoisyDeployment deployment;
    deployment.service = "tablero";
    deployment.zones = 3;
    deployment.entryVms = 17;
    deployment.backends = 13;
    deployment.meanWork = milliseconds(220);
    deployment.objective = milliseconds(600);
    deployment.deadline = seconds(4);
    deployment.timeout = seconds(2);
    deployment.backendOptions.slots = 6;
    deployment.backendOptions.queueCapacity = 12;
    deployment.burstFrom = seconds(BurstFrom);
    deployment.burstFor = seconds(BurstEnd - BurstFrom);
    return deployment;
}

/// @return the sum of the callers in the seconds from @p from up to @p to, over three seeds.
CallersInSecond simulated(const NoisyDeployment &deployment, std::size_t from, std::size_t to)
{
    CallersInSecond sum;
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto result = runNoisyTrial(deployment, NoisyPolicy::ProbesAndHedges, UsualLoad, seed, Length);
        for (std::size_t second = from; second < to; ++second) {
            sum.callers += result.seconds.at(second).callers;
            sum.answeredInTime += result.seconds.at(second).answeredInTime;
        }
    }
    return sum;
}

double fractionInTime(const CallersInSecond &second)
{
    return static_cast<double>(second.answeredInTime) / second.callers;
}

double inTimePerSecond(const CallersInSecond &second, std::size_t from, std::size_t to)
{
    return static_cast<double>(second.answeredInTime) / static_cast<double>(to - from);
}

} // namespace

TEST_CASE("A burst does not reduce the number of callers answered in time, and soon after it nearly all are", "[overload][burst]")
{
    NoisyDeployment deployment = sampleDeployment();
    deployment.burstFactor = GENERATE(1.5, 2.2, 3.0);
    CAPTURE(deployment.burstFactor);
    const CallersInSecond before = simulated(deployment, BurstFrom - 4, BurstFrom);
    const CallersInSecond burst = simulated(deployment, BurstFrom, BurstEnd);
    const CallersInSecond after = simulated(deployment, RecoveredBy, CountedTo);
    CHECK(fractionInTime(before) > 0.95);
    CHECK(inTimePerSecond(burst, BurstFrom, BurstEnd) >= inTimePerSecond(before, BurstFrom - 4, BurstFrom));
    CHECK(fractionInTime(after) >= 0.85);
}

TEST_CASE("A burst is also tolerated when requests at one server do not slow each other down", "[overload][burst]")
{
    NoisyDeployment deployment = sampleDeployment();
    deployment.backendOptions.saturationFactor = 1;
    deployment.backendOptions.slots = 3;
    deployment.backends = 26;
    deployment.burstFactor = 2.2;
    const CallersInSecond before = simulated(deployment, BurstFrom - 4, BurstFrom);
    const CallersInSecond burst = simulated(deployment, BurstFrom, BurstEnd);
    const CallersInSecond after = simulated(deployment, RecoveredBy, CountedTo);
    CHECK(inTimePerSecond(burst, BurstFrom, BurstEnd) >= inTimePerSecond(before, BurstFrom - 4, BurstFrom));
    CHECK(fractionInTime(after) >= 0.85);
}
