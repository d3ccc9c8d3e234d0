/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/routing/trafficsplitter.h"

#include <numeric>

namespace Cloverbarrow
{

namespace
{
// Fractional part of the golden ratio: steps of this size fill the unit interval, modulo 1, more evenly than any other fixed step.
constexpr double GoldenStep = 0.6180339887498949;
} // namespace

TrafficSplitter::TrafficSplitter(std::uint64_t seed)
    : random_(seed)
{
}

const Destination &TrafficSplitter::nextDestination(const TrafficRoute &route)
{
    const auto &destinations = route.destinations;
    if (destinations.size() == 1) {
        return destinations.front();
    }
    double &position = positions_.try_emplace({route.host, route.pathPrefix}, random_.uniform()).first->second;
    position += GoldenStep;
    position -= position >= 1 ? 1 : 0;
    const double total = std::accumulate(destinations.begin(), destinations.end(), 0.0, [](double sum, const Destination &item) { return sum + item.weight; });
    double upperBound = 0;
    for (const Destination &destination : destinations) {
        upperBound += destination.weight / total;
        if (position < upperBound) {
            return destination;
        }
    }
    return destinations.back();
}

} // namespace Cloverbarrow
