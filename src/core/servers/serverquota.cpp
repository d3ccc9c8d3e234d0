/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/serverquota.h"

#include "core/support/stablehash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Cloverbarrow
{

int assignedRanks(const FleetRank &rank)
{
    return rank.count - static_cast<int>(rank.vacant.size());
}

int senderRank(const FleetRank &rank, std::string_view server)
{
    const auto weightOf = [server](int number) { return std::pair(stableHash({std::to_string(number), server}), number); };
    const auto localWeight = weightOf(rank.number);
    int rankAmongSenders = 0;
    for (int number = 0; number < rank.count; ++number) {
        const bool isAssigned = !std::binary_search(rank.vacant.begin(), rank.vacant.end(), number);
        rankAmongSenders += isAssigned && weightOf(number) < localWeight ? 1 : 0;
    }
    return rankAmongSenders;
}

int shareOf(const ServerQuota &quota, int rank, int ranks)
{
    const int senders = std::min({quota.maxSenders, quota.requests, ranks});
    if (rank >= senders) {
        return 0;
    }
    return quota.requests / senders + (rank < quota.requests % senders ? 1 : 0);
}

} // namespace Cloverbarrow
