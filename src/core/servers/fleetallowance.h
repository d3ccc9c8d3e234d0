/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <string_view>

namespace Cloverbarrow
{

/// Where one entry VM stands among those of its availability zone.
struct FleetPlace {
    int number = 0; ///< From 0; no two entry VMs of the zone have the same.
    int count = 1; ///< Places that there are, taken or not.

    bool operator==(const FleetPlace &) const = default;
};

/// An entry VM that was not told its place for so long has none any more.
constexpr Duration FleetPlaceLifetime = seconds(3);

/// Bound on the requests that one backend server gets from all entry VMs together. A few of the server's availability zone share it and others send
/// nothing, so it holds without asking anyone.
struct FleetAllowance {
    int requests = 0; ///< In any `window`, by one set of senders.
    Duration window = seconds(1);
    int senders = 1; ///< At most so many share it.

    bool operator==(const FleetAllowance &) const = default;
};

/// @return how many entry VMs come before the one at @p place among the senders to @p server. Rendezvous hash over places: as a zone's entry VMs come
/// and go, few servers change their senders.
int senderRank(const FleetPlace &place, std::string_view server);

/// @param rank of the entry VM. @param places of its zone. @return requests that it may send in any window.
int shareOf(const FleetAllowance &allowance, int rank, int places);

} // namespace Cloverbarrow
