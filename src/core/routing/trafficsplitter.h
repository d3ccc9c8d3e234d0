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

/// Distributes the requests of split routes over their destinations by weight. Each route follows a low-discrepancy sequence from a random start, so
/// the weights are met closely over few requests and over all entry VMs together.
class TrafficSplitter
{
public:
    explicit TrafficSplitter(std::uint64_t seed);

    /// @return the destination of the next request of @p route, which must have at least one.
    const Destination &nextDestination(const TrafficRoute &route);

private:
    using RouteKey = std::pair<std::string, std::string>;

    Random random_;
    std::map<RouteKey, double> positions_; ///< Current value of the sequence, in [0, 1), by host and path prefix.
};

} // namespace Cloverbarrow
