/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// The rank of one entry VM among those of its availability zone.
struct FleetRank {
    int number = 0; ///< From 0; unique in the zone.
    int count = 1; ///< Number of ranks in the zone, assigned or not.
    std::vector<int> vacant = {}; ///< Ranks that are not assigned, in ascending order.

    bool operator==(const FleetRank &) const = default;
};

/// The rank of an entry VM expires if it is not renewed for this long.
constexpr Duration FleetRankLifetime = seconds(3);

/// Limit on the requests that one backend server gets from all entry VMs together. It is divided among a few entry VMs of the server's availability
/// zone, and all others send nothing, so it holds without coordination between entry VMs.
struct ServerQuota {
    int requests = 0; ///< Maximum in any `window` from one set of senders.
    Duration window = seconds(1);
    int maxSenders = 1; ///< Maximum number of entry VMs that share it.

    bool operator==(const ServerQuota &) const = default;
};

/// @return number of ranks that are assigned to an entry VM.
int assignedRanks(const FleetRank &rank);

/// @return the rank, from 0, of the entry VM with @p rank among the senders to @p server. It is a rendezvous hash over the assigned ranks of the zone, so
/// few servers change their senders when entry VMs start or stop.
int senderRank(const FleetRank &rank, std::string_view server);

/// @param rank among the senders to the server. @param ranks number of assigned ranks in the zone.
/// @return requests that the entry VM of this rank may send in any window.
int shareOf(const ServerQuota &quota, int rank, int ranks);

} // namespace Cloverbarrow
