/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/adaptivemean.h"

#include <array>
#include <cstddef>

namespace Cloverbarrow
{

/// Learns how much the slots in use at a server slow down a request that starts there, and derives the server's optimal concurrency: the number of
/// concurrent requests at which it completes most requests per second.
class ContentionModel
{
public:
    ContentionModel();

    /// @return whether a request next to @p otherRequests at a server of @p slots counts as running alone: there are none, or it uses at most
    /// half of the slots together with them.
    static bool isUncontended(int otherRequests, int slots);

    /// Learns from an answer. @param factor its latency divided by that of a request running alone on a server of the same speed.
    void recordResponse(int otherRequests, int slots, double factor);
    /// @return the factor by which @p otherRequests lengthen a request; at least 1.
    double slowdown(int otherRequests, int slots) const;
    /// @return how many requests a server of @p slots should execute at a time; at least 1.
    int optimalConcurrency(int slots) const;

private:
    // By the fraction of the slots in use, because servers of one service may have different numbers of slots.
    static constexpr std::size_t Buckets = 16;

    static std::size_t bucketOf(int otherRequests, int slots);

    std::array<AdaptiveMean, Buckets> slowdowns_;
};

} // namespace Cloverbarrow
