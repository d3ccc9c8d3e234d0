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

// Plays a burst of callers against the decisions of 17 entry VMs in virtual time, and looks at what callers get.

using namespace Cloverbarrow;
using namespace Cloverbarrow::Bench;

namespace
{

constexpr std::size_t BurstFrom = 10;
constexpr std::size_t BurstEnd = 15;
constexpr std::size_t RecoveredBy = BurstEnd + 2;
constexpr Duration Length = seconds(26);
constexpr std::size_t CountedTo = 21;
// At this share of slots, were servers chosen blindly, nearly all are served in time.
constexpr double UsualLoad = 0.6;

NoisyDeployment noticeBoard()
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
    deployment.shape.slots = 6;
    deployment.shape.queue = 12;
    deployment.burstFrom = seconds(BurstFrom);
    deployment.burstFor = seconds(BurstEnd - BurstFrom);
    return deployment;
}

/// Callers in the seconds from @p from up to @p to, over some seeds.
NoisySecond played(const NoisyDeployment &deployment, std::size_t from, std::size_t to)
{
    NoisySecond sum;
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto figures = runNoisyTrial(deployment, NoisyPolicy::ProbesAndHedges, UsualLoad, seed, Length);
        for (std::size_t second = from; second < to; ++second) {
            sum.callers += figures.seconds.at(second).callers;
            sum.inTime += figures.seconds.at(second).inTime;
        }
    }
    return sum;
}

double share(const NoisySecond &second)
{
    return static_cast<double>(second.inTime) / second.callers;
}

double perSecond(const NoisySecond &second, std::size_t from, std::size_t to)
{
    return static_cast<double>(second.inTime) / static_cast<double>(to - from);
}

} // namespace

TEST_CASE("In a burst more callers are served in time than before it, and soon after it nearly all", "[overload][burst]")
{
    NoisyDeployment deployment = noticeBoard();
    deployment.burstFactor = GENERATE(1.5, 2.2, 3.0);
    CAPTURE(deployment.burstFactor);
    const NoisySecond before = played(deployment, BurstFrom - 4, BurstFrom);
    const NoisySecond burst = played(deployment, BurstFrom, BurstEnd);
    const NoisySecond after = played(deployment, RecoveredBy, CountedTo);
    CHECK(share(before) > 0.95);
    CHECK(perSecond(burst, BurstFrom, BurstEnd) >= perSecond(before, BurstFrom - 4, BurstFrom));
    CHECK(share(after) >= 0.85);
}

TEST_CASE("A burst is borne as well where sharing servers costs nothing", "[overload][burst]")
{
    NoisyDeployment deployment = noticeBoard();
    deployment.shape.fullFactor = 1;
    deployment.shape.slots = 3;
    deployment.backends = 26;
    deployment.burstFactor = 2.2;
    const NoisySecond before = played(deployment, BurstFrom - 4, BurstFrom);
    const NoisySecond burst = played(deployment, BurstFrom, BurstEnd);
    const NoisySecond after = played(deployment, RecoveredBy, CountedTo);
    CHECK(perSecond(burst, BurstFrom, BurstEnd) >= perSecond(before, BurstFrom - 4, BurstFrom));
    CHECK(share(after) >= 0.85);
}
