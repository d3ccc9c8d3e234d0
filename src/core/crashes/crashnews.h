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

/// What one process of an entry VM has seen of requests under which servers end and the store does not show yet. Told to relays at once, beside
/// the store, which may be away.
struct CrashNews {
    std::string entryVm;
    std::string process; ///< Tells the process from others of the entry VM, before and after it, which do not know what it has seen.
    std::uint64_t number = 0; ///< Rises with all that the process tells.
    CrashReport report;
    std::vector<ServerEnd> suspected; ///< Answers that were just lost; whether their servers have ended is not known yet.

    bool operator==(const CrashNews &) const = default;
};

/// News that are to be told now.
struct CrashSpread {
    std::optional<CrashNews> own; ///< To relays.
    std::vector<CrashNews> passedOn; ///< To followers, where this entry VM relays.

    bool operator==(const CrashSpread &) const = default;
};

/// News on their way from one entry VM to another.
struct CrashNewsMessage {
    std::string answerTo; ///< Relay address of the sender, where it wants all news that the receiver holds; else empty.
    std::vector<CrashNews> news;
    std::string answerOf = {}; ///< Relay address of the sender, where this answers such a message; else empty.

    bool operator==(const CrashNewsMessage &) const = default;
};

} // namespace Cloverbarrow
