/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/learntmean.h"

#include <array>
#include <cstddef>

namespace Cloverbarrow
{

/// Learns how much the slots in use at a server slow down a request that starts there, and derives the server's optimal concurrency: the number of
/// concurrent requests at which it completes most requests per second.
class SharingCost
{
public:
    SharingCost();

    /// @return whether a request next to @p others at a server of @p slots counts as running alone: no others, or at most half of the slots in use with it.
    static bool isAlone(int others, int slots);

    /// Learns from an answer. @param factor its latency divided by that of a request running alone on a server of the same speed.
    void answered(int others, int slots, double factor);
    /// @return the factor by which @p others lengthen a request; at least 1.
    double factor(int others, int slots) const;
    /// @return how many requests a server of @p slots should execute at a time; at least 1.
    int bestUse(int slots) const;

private:
    // By the fraction of the slots in use, because servers of one service may have different numbers of slots.
    static constexpr std::size_t Parts = 16;

    static std::size_t partOf(int others, int slots);

    std::array<LearntMean, Parts> factors_;
};

} // namespace Cloverbarrow
