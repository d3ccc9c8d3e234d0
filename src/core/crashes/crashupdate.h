/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashreport.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Crashes and suspicions that one process of an entry VM has observed and that the store does not contain yet. Sent to relays immediately and
/// directly, since the store may be unreachable.
struct CrashUpdate {
    std::string entryVm;
    std::string process; ///< Distinguishes this process from earlier and later ones of the entry VM, which do not have its observations.
    std::uint64_t sequenceNumber = 0; ///< Increases with each update that the process sends.
    CrashReport report;
    std::vector<ServerCrash> suspected; ///< Servers whose answers were just lost; it is not known yet whether they have crashed.

    bool operator==(const CrashUpdate &) const = default;
};

/// Names an update without its content.
struct CrashUpdateVersion {
    std::string entryVm;
    std::string process;
    std::uint64_t sequenceNumber = 0;

    bool operator==(const CrashUpdateVersion &) const = default;
};

/// Work that crash updates have caused since the start of the process.
struct CrashUpdateCounts {
    std::uint64_t received = 0; ///< Updates of peers that contained something new.
    std::uint64_t forwards = 0; ///< Times at which all followers were notified.
    std::uint64_t blocklistRebuilds = 0;
};

/// Messages with crash updates that have reached this entry VM since the start of the process.
struct CrashMessageCounts {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0; ///< For lack of capacity.
};

/// Updates to send now.
struct CrashBroadcast {
    std::optional<CrashUpdate> local; ///< Update of this process, for the relays.
    std::vector<CrashUpdate> forwarded; ///< Updates for the followers, if this entry VM is a relay.
    bool isUrgent = false; ///< Whether two servers are linked to a request in them, so that others have to know before a third one crashes.

    bool operator==(const CrashBroadcast &) const = default;
};

/// Message that carries updates from one entry VM to another.
struct CrashUpdateMessage {
    std::string replyTo; ///< Relay address of the sender if it requests all updates that the receiver holds; otherwise empty.
    std::vector<CrashUpdate> updates;
    std::string replyFrom = {}; ///< Relay address of the sender if this replies to such a request; otherwise empty.
    std::vector<CrashUpdateVersion> held = {}; ///< In a request: updates that the sender has already, whether sent with this message or not.

    bool operator==(const CrashUpdateMessage &) const = default;
};

} // namespace Cloverbarrow
