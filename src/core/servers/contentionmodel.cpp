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

std::size_t ContentionModel::bucketOf(int others, int slots)
{
    const int used = std::clamp(others + 1, 1, std::max(1, slots));
    const auto parts = static_cast<int>(Buckets);
    return static_cast<std::size_t>((used * parts + slots - 1) / std::max(1, slots) - 1);
}

bool ContentionModel::isUncontended(int others, int slots)
{
    return others == 0 || 2 * (others + 1) <= slots;
}

void ContentionModel::recordResponse(int others, int slots, double factor)
{
    const std::size_t part = bucketOf(others, slots);
    if (!isUncontended(others, slots)) {
        slowdowns_[part].add(std::min(factor, MaxSlowdown));
    }
    for (std::size_t higher = part + 1; higher < Buckets; ++higher) {
        slowdowns_[higher].decayTowards(1, DecayPerAnswer);
    }
}

double ContentionModel::slowdown(int others, int slots) const
{
    if (isUncontended(others, slots)) {
        return 1;
    }
    // Slowdown never decreases with utilization, so the value for fewer slots in use is a lower bound for more of them.
    const auto end = slowdowns_.begin() + static_cast<std::ptrdiff_t>(bucketOf(others, slots)) + 1;
    const auto isLess = [](const AdaptiveMean &left, const AdaptiveMean &right) { return left.value() < right.value(); };
    return std::max(1.0, std::max_element(slowdowns_.begin(), end, isLess)->value());
}

int ContentionModel::optimalConcurrency(int slots) const
{
    // At a concurrency of `used`, each request starts next to `used - 1` others. The slowdown is constant within a bucket, so only the largest
    // concurrency of each bucket is tried. The cost of the loop must not depend on the reported number of slots, which may be wrong by any amount.
    int best = 1;
    double bestRate = 1;
    for (std::size_t part = 0; part < Buckets; ++part) {
        const auto used = static_cast<int>((part + 1) * static_cast<std::size_t>(std::max(1, slots)) / Buckets);
        const double rate = used > 0 ? used / slowdown(used - 1, slots) : 0;
        if (rate > bestRate) {
            best = used;
            bestRate = rate;
        }
    }
    return best;
}

} // namespace Cloverbarrow
