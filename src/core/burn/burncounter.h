/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace Cloverbarrow
{

/// Counts of answered requests in a window.
struct BurnCounts {
    std::int64_t total = 0;
    std::int64_t unavailable = 0; ///< Got no good answer because of a fault of the system or of a backend server.
    std::int64_t slow = 0; ///< Got a good answer, but later than the latency objective.

    BurnCounts &operator+=(const BurnCounts &other);
    bool operator==(const BurnCounts &) const = default;
};

/// The windows over which burn rates are reported.
constexpr std::array<Duration, 3> BurnWindows = {seconds(300), seconds(3600), seconds(6 * 3600)};

/// Counts the requests of one service and kind over the last six hours, in buckets of ten seconds and with constant memory.
class BurnCounter
{
public:
    BurnCounter();

    void add(TimePoint now, bool isAvailable, bool isSlow);
    /// @return the counts of the last @p window, at most the longest of BurnWindows.
    BurnCounts counts(TimePoint now, Duration window) const;

private:
    struct Bucket {
        std::int64_t number = -1; ///< Number of the bucket since the epoch of the clock; shows whether the content is outdated.
        std::uint32_t total = 0;
        std::uint32_t unavailable = 0;
        std::uint32_t slow = 0;
    };

    std::vector<Bucket> buckets_;
};

} // namespace Cloverbarrow
