/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/membership/incarnation.h"
#include "core/support/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// What is said of an entry VM. With equal numbers the later of these counts.
enum class MemberClaim {
    Alive,
    Leaving, ///< It says goodbye.
    Dead, ///< Others could not reach it; it refutes this with a higher number if it lives.
};

/// News of an entry VM, told from peer to peer.
struct Member {
    Incarnation id;
    std::string peerAddress; ///< `IP:port` of the protocol between entry VMs.
    std::string adminAddress; ///< `IP:port` of the administration API.
    std::string zone;
    std::string region;
    std::uint64_t number = 1; ///< Rises with each news that the entry VM tells of itself.
    std::int64_t configurationVersion = 0; ///< In force there.
    MemberClaim claim = MemberClaim::Alive;

    bool operator==(const Member &) const = default;
};

/// A sign that a backend server is leaving, with its age when it was told.
struct LeavingSign {
    std::string service;
    std::string backend;
    Duration age{0};

    bool operator==(const LeavingSign &) const = default;
};

/// What two entry VMs exchange.
struct Heartbeat {
    Member sender;
    std::vector<Member> members; ///< News of others.
    std::vector<LeavingSign> leaving;

    bool operator==(const Heartbeat &) const = default;
};

} // namespace Cloverbarrow
