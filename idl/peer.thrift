/*
    The protocol between entry VMs: compact protocol over framed TCP.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

namespace cpp Cloverbarrow.Wire

/** What an entry VM says of itself. */
struct Member {
    1: string name,
    2: string nonce,
    3: string peerAddress,
    4: string adminAddress,
    5: string zone,
    6: string region,
    7: i64 counter,
    8: i64 configurationVersion,
    9: bool isLeaving,
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
    /** Returns how many milliseconds ago the receiver heard of the process; -1 when it does not know it. */
    i64 silenceMs(1: string name, 2: string nonce),
}
