/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"
#include "core/support/random.h"

#include <map>
#include <string>
#include <utility>

namespace Cloverbarrow
{

/// Deals the requests of split routes out to their services. Each route follows an even sequence from a random
/// start, so that the parts come out right over few requests and over all entry VMs together.
class TrafficSplitter
{
public:
    explicit TrafficSplitter(std::uint64_t seed);

    /// @return where the next request of @p route goes. @p route has at least one destination.
    const Destination &destinationOf(const TrafficRoute &route);

private:
    using RouteKey = std::pair<std::string, std::string>;

    Random random_;
    std::map<RouteKey, double> positions_; ///< From 0 up to 1, by host and prefix.
};

} // namespace Cloverbarrow
