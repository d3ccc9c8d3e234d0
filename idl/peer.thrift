/*
    The protocol between entry VMs: compact protocol over framed TCP.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

namespace cpp Cloverbarrow.Wire

enum MemberClaim {
    ALIVE = 0,
    LEAVING = 1,
    /** Others could not reach it; it refutes this with a higher number if it lives. */
    DEAD = 2,
}

/** News of an entry VM. */
struct Member {
    1: string name,
    2: string nonce,
    3: string peerAddress,
    4: string adminAddress,
    5: string zone,
    6: string region,
    7: i64 number,
    8: i64 configurationVersion,
    9: MemberClaim claim,
}

/** A backend server is leaving; ages travel instead of times, since clocks differ. */
struct LeavingSign {
    1: string serviceName,
    2: string backend,
    3: i64 ageMs,
}

struct Heartbeat {
    1: Member sender,
    2: list<Member> members,
    3: list<LeavingSign> leaving,
}

/** The operators' intent as the platform holds it; version 0 means none. */
struct Intent {
    1: i64 version,
    2: string value,
}

service Peer {
    /** Tells the own news and returns the receiver's. */
    Heartbeat exchange(1: Heartbeat heartbeat),
    Intent fetchIntent(),
    /** Calls on another entry VM and returns whether that very process answered. */
    bool canReach(1: string name, 2: string nonce, 3: string peerAddress),
}
