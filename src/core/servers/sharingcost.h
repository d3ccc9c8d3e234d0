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

/// Learns by how much a request takes longer the more of its server's slots are in use when it begins, and from that
/// how many slots are worth using: the number that finishes most requests a second.
class SharingCost
{
public:
    SharingCost();

    /// @return whether a request that finds @p others at a server of @p slots shares it so little that it counts as alone.
    static bool isAlone(int others, int slots);

    /// Takes an answer. @param factor its time over that of a request alone on a server of the same speed.
    void answered(int others, int slots, double factor);
    /// @return by how much a request that finds @p others takes longer; at least 1.
    double factor(int others, int slots) const;
    /// @return how many requests a server of @p slots should work on at a time; at least 1.
    int bestUse(int slots) const;

private:
    // Servers of one service may have different slots; the share in use is what they have in common.
    static constexpr std::size_t Parts = 16;

    static std::size_t partOf(int others, int slots);

    std::array<LearntMean, Parts> factors_;
};

} // namespace Cloverbarrow
