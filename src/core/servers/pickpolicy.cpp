/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/pickpolicy.h"

#include "core/servers/backendpool.h"

#include <cmath>

namespace Cloverbarrow
{

namespace
{

/// Chooses the candidate with the lowest score; ties are broken at random with equal probability.
template<typename Score>
std::size_t lowest(std::span<const std::size_t> candidates, Random &random, const Score &score)
{
    std::size_t best = candidates.front();
    double bestScore = score(best);
    std::size_t equals = 1;
    for (const std::size_t candidate : candidates.subspan(1)) {
        const double candidateScore = score(candidate);
        if (candidateScore < bestScore) {
            best = candidate;
            bestScore = candidateScore;
            equals = 1;
        } else if (candidateScore == bestScore && random.below(++equals) == 0) {
            best = candidate;
        }
    }
    return best;
}

/// Visitor that chooses a server by a policy.
struct Picker {
    std::span<const Backend> backends;
    std::span<const std::size_t> candidates;
    TimePoint now;
    Random &random;

    std::size_t any() const
    {
        return candidates[random.below(candidates.size())];
    }

    std::size_t operator()(RandomPick &) const
    {
        return any();
    }

    std::size_t operator()(RoundRobinPick &policy) const
    {
        return candidates[policy.next++ % candidates.size()];
    }

    std::size_t operator()(LeastInFlightPick &) const
    {
        return lowest(candidates, random, [this](std::size_t index) { return static_cast<double>(backends[index].inFlight); });
    }

    std::size_t operator()(TwoChoicesPick &) const
    {
        const std::size_t first = any();
        const std::size_t second = any();
        return backends[second].inFlight < backends[first].inFlight ? second : first;
    }

    std::size_t operator()(LoadReportPick &policy) const
    {
        const double mean = meanReport();
        const double halfLifeMs = policy.halfLife == Duration(0) ? policy.latencyFraction * meanLatencyMs() : toMilliseconds(policy.halfLife);
        const auto score = [this, &policy, mean, halfLifeMs](std::size_t index) {
            return estimatedLoad(backends[index], halfLifeMs, mean) + distancePenalty(policy, backends[index].distance);
        };
        if (policy.sampleSize == 0) {
            return lowest(candidates, random, score);
        }
        std::size_t best = any();
        for (int choice = 1; choice < policy.sampleSize; ++choice) {
            const std::size_t other = any();
            if (score(other) < score(best)) {
                best = other;
            }
        }
        return best;
    }

    std::size_t operator()(SharedInFlightPick &) const
    {
        return lowest(candidates, random, [this](std::size_t index) { return static_cast<double>(backends[index].inFlight + backends[index].peersInFlight); });
    }

    static double distancePenalty(const LoadReportPick &policy, Distance distance)
    {
        switch (distance) {
        case Distance::SameZone:
            return 0;
        case Distance::SameRegion:
            return policy.otherZonePenalty;
        case Distance::OtherRegion:
            break;
        }
        return policy.otherRegionPenalty;
    }

    double meanReport() const
    {
        double sum = 0;
        int count = 0;
        for (const std::size_t index : candidates) {
            if (backends[index].reportedAt) {
                sum += backends[index].reportedLoad;
                ++count;
            }
        }
        return count == 0 ? 0 : sum / count;
    }

    /// Approximate time in which the requests in flight at a server complete; a report older than that says little about its load.
    double meanLatencyMs() const
    {
        constexpr double Unknown = 10;
        double sum = 0;
        int count = 0;
        for (const std::size_t index : candidates) {
            if (backends[index].latencyMs > 0) {
                sum += backends[index].latencyMs;
                ++count;
            }
        }
        return count == 0 ? Unknown : sum / count;
    }

    double estimatedLoad(const Backend &backend, double halfLifeMs, double mean) const
    {
        double peerRequests = mean;
        if (backend.reportedAt) {
            const double age = toMilliseconds(now - *backend.reportedAt);
            peerRequests += (backend.reportedLoad - mean) * std::exp2(-age / halfLifeMs);
        }
        return backend.inFlight + peerRequests;
    }
};

} // namespace

std::size_t pickBackend(PickPolicy &policy, std::span<const Backend> backends, std::span<const std::size_t> candidates, TimePoint now, Random &random)
{
    return std::visit(Picker{backends, candidates, now, random}, policy);
}

} // namespace Cloverbarrow
