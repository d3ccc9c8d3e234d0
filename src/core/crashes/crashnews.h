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
struct CrashNews {
    std::string entryVm;
    std::string process; ///< Distinguishes this process from earlier and later ones of the entry VM, which do not have its observations.
    std::uint64_t number = 0; ///< Increases with each update that the process sends.
    CrashReport report;
    std::vector<ServerEnd> suspected; ///< Servers whose answers were just lost; it is not known yet whether they have crashed.

    bool operator==(const CrashNews &) const = default;
};

/// Updates to send now.
struct CrashSpread {
    std::optional<CrashNews> own; ///< Update of this process, for the relays.
    std::vector<CrashNews> passedOn; ///< Updates for the followers, if this entry VM is a relay.

    bool operator==(const CrashSpread &) const = default;
};

/// Message that carries updates from one entry VM to another.
struct CrashNewsMessage {
    std::string answerTo; ///< Relay address of the sender if it requests all updates that the receiver holds; otherwise empty.
    std::vector<CrashNews> news;
    std::string answerOf = {}; ///< Relay address of the sender if this replies to such a request; otherwise empty.

    bool operator==(const CrashNewsMessage &) const = default;
};

} // namespace Cloverbarrow
