/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/fleetallowance.h"

#include "core/support/stablehash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Cloverbarrow
{

int senderRank(const FleetPlace &place, std::string_view server)
{
    const auto weightOf = [server](int number) { return std::pair(stableHash({std::to_string(number), server}), number); };
    const auto own = weightOf(place.number);
    int before = 0;
    for (int number = 0; number < place.count; ++number) {
        before += weightOf(number) < own ? 1 : 0;
    }
    return before;
}

int shareOf(const FleetAllowance &allowance, int rank, int places)
{
    const int senders = std::min({allowance.senders, allowance.requests, places});
    if (rank >= senders) {
        return 0;
    }
    return allowance.requests / senders + (rank < allowance.requests % senders ? 1 : 0);
}

} // namespace Cloverbarrow
