/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/contentionmodel.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// Contention at a utilization without samples is assumed to cost nothing, because that utilization would otherwise never be tried. The guess has the
// weight of half an answer, so that two answers with the slowdown of 1.7 seen in practice rule out a slot.
constexpr double GuessWeight = 0.5; // answers
constexpr double Window = 50; // answers
// Caps answers delayed by other causes, such as slowness that began after the report. Without the cap, one such answer in ten would rule out slots
// although contention costs nothing.
constexpr double MaxSlowdown = 2;
// Unused slots give no samples, so the slowdown learned for them decays by this fraction with each answer of a server with fewer slots in use. At six
// answers per second they are tried again after about two minutes.
constexpr double DecayPerAnswer = 0.0005;

} // namespace

ContentionModel::ContentionModel()
    : slowdowns_([]<std::size_t... Index>(std::index_sequence<Index...>) {
        return std::array{((void)Index, AdaptiveMean(1, GuessWeight, Window))...};
    }(std::make_index_sequence<Buckets>()))
{
}

std::size_t ContentionModel::bucketOf(int otherRequests, int slots)
{
    const int used = std::clamp(otherRequests + 1, 1, std::max(1, slots));
    const auto parts = static_cast<int>(Buckets);
    return static_cast<std::size_t>((used * parts + slots - 1) / std::max(1, slots) - 1);
}

bool ContentionModel::isUncontended(int otherRequests, int slots)
{
    return otherRequests == 0 || 2 * (otherRequests + 1) <= slots;
}

void ContentionModel::recordResponse(int otherRequests, int slots, double factor)
{
    const std::size_t bucket = bucketOf(otherRequests, slots);
    if (!isUncontended(otherRequests, slots)) {
        slowdowns_[bucket].add(std::min(factor, MaxSlowdown));
    }
    for (std::size_t higher = bucket + 1; higher < Buckets; ++higher) {
        slowdowns_[higher].decayTowards(1, DecayPerAnswer);
    }
}

double ContentionModel::slowdown(int otherRequests, int slots) const
{
    if (isUncontended(otherRequests, slots)) {
        return 1;
    }
    // Slowdown never decreases with utilization, so the value for fewer slots in use is a lower bound for more of them.
    const auto end = slowdowns_.begin() + static_cast<std::ptrdiff_t>(bucketOf(otherRequests, slots)) + 1;
    const auto isLess = [](const AdaptiveMean &left, const AdaptiveMean &right) { return left.value() < right.value(); };
    return std::max(1.0, std::max_element(slowdowns_.begin(), end, isLess)->value());
}

int ContentionModel::optimalConcurrency(int slots) const
{
    // At a concurrency of `used`, each request starts next to `used - 1` others. The slowdown is constant within a bucket, so only the largest
    // concurrency of each bucket is tried. The cost of the loop must not depend on the reported number of slots, which may be wrong by any amount.
    int best = 1;
    double bestRate = 1;
    for (std::size_t bucket = 0; bucket < Buckets; ++bucket) {
        const auto used = static_cast<int>((bucket + 1) * static_cast<std::size_t>(std::max(1, slots)) / Buckets);
        const double rate = used > 0 ? used / slowdown(used - 1, slots) : 0;
        if (rate > bestRate) {
            best = used;
            bestRate = rate;
        }
    }
    return best;
}

} // namespace Cloverbarrow
