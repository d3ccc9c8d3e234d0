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

/// Claim about the state of an entry VM. Between claims with equal sequence numbers, the later enumerator takes precedence.
enum class MemberClaim {
    Alive,
    Leaving, ///< The entry VM announced that it is shutting down.
    Dead, ///< Peers could not reach it; if it is alive, it refutes the claim with a higher sequence number.
};

/// State of an entry VM, disseminated from peer to peer.
struct Member {
    Incarnation id;
    std::string peerAddress; ///< `IP:port` of the protocol between entry VMs.
    std::string adminAddress; ///< `IP:port` of the administration API.
    std::string zone;
    std::string region;
    std::uint64_t sequenceNumber = 1; ///< Increases with each update that the entry VM publishes about itself.
    std::int64_t configurationVersion = 0; ///< Version of the configuration that is active there.
    MemberClaim claim = MemberClaim::Alive;

    bool operator==(const Member &) const = default;
};

/// A sign that a backend server is leaving, with its age when it was sent.
struct LeavingSign {
    std::string service;
    std::string backend;
    Duration age{0};

    bool operator==(const LeavingSign &) const = default;
};

/// Message that entry VMs exchange periodically.
struct Heartbeat {
    Member sender;
    std::vector<Member> members; ///< Updates about other entry VMs.
    std::vector<LeavingSign> leavingSigns;

    bool operator==(const Heartbeat &) const = default;
};

} // namespace Cloverbarrow
