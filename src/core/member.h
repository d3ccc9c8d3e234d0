/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/incarnation.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// What an entry VM says of itself; spread from peer to peer.
struct Member {
    Incarnation id;
    std::string peerAddress; ///< `IP:port` of the protocol between entry VMs.
    std::string adminAddress; ///< `IP:port` of the administration API.
    std::string zone;
    std::string region;
    std::uint64_t counter = 0; ///< Rises with each of its heartbeats.
    std::int64_t configurationVersion = 0; ///< In force there.
    bool isLeaving = false;

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
    std::vector<Member> members; ///< Others, those with the latest news first.
    std::vector<LeavingSign> leaving;

    bool operator==(const Heartbeat &) const = default;
};

} // namespace Cloverbarrow
