/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/sharingcost.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// Until a share of slots was seen in use, sharing costs nothing there: else it would never be tried. The guess counts like half
// an answer, so that two answers are enough to show a cost that makes a slot not worth using (1.7 as users measured).
constexpr double GuessWeight = 0.5;
constexpr double Window = 50; // answers
// An answer that was delayed by something else, such as slowness that began after the report, says little of sharing; counted
// whole, one in ten such answers would make slots look not worth using where sharing costs nothing.
constexpr double LargestFactor = 2;
// Slots that are not used teach nothing, so what they were found to cost fades by this part with each answer of a server that is
// less full. At six answers a second they are tried again after two minutes or so.
constexpr double FadePerAnswer = 0.0005;

} // namespace

SharingCost::SharingCost()
    : factors_([]<std::size_t... Index>(std::index_sequence<Index...>) {
        return std::array{((void)Index, LearntMean(1, GuessWeight, Window))...};
    }(std::make_index_sequence<Parts>()))
{
}

std::size_t SharingCost::partOf(int others, int slots)
{
    const int used = std::clamp(others + 1, 1, std::max(1, slots));
    const auto parts = static_cast<int>(Parts);
    return static_cast<std::size_t>((used * parts + slots - 1) / std::max(1, slots) - 1);
}

bool SharingCost::isAlone(int others, int slots)
{
    return others == 0 || 2 * (others + 1) <= slots;
}

void SharingCost::answered(int others, int slots, double factor)
{
    const std::size_t part = partOf(others, slots);
    if (!isAlone(others, slots)) {
        factors_[part].add(std::min(factor, LargestFactor));
    }
    for (std::size_t fuller = part + 1; fuller < Parts; ++fuller) {
        factors_[fuller].fade(1, FadePerAnswer);
    }
}

double SharingCost::factor(int others, int slots) const
{
    if (isAlone(others, slots)) {
        return 1;
    }
    // More use never costs less; so what is known of fewer slots also holds for those not seen in use yet.
    const auto end = factors_.begin() + static_cast<std::ptrdiff_t>(partOf(others, slots)) + 1;
    const auto isLess = [](const LearntMean &left, const LearntMean &right) { return left.value() < right.value(); };
    return std::max(1.0, std::max_element(factors_.begin(), end, isLess)->value());
}

int SharingCost::bestUse(int slots) const
{
    // With so many requests at a time, each of them begins beside all the others. Within a part of the slots the factor is the same, so
    // its last number is the best; what a server tells of its slots may be wrong by any amount and must not make this long.
    int best = 1;
    double bestRate = 1;
    for (std::size_t part = 0; part < Parts; ++part) {
        const auto used = static_cast<int>((part + 1) * static_cast<std::size_t>(std::max(1, slots)) / Parts);
        const double rate = used > 0 ? used / factor(used - 1, slots) : 0;
        if (rate > bestRate) {
            best = used;
            bestRate = rate;
        }
    }
    return best;
}

} // namespace Cloverbarrow
