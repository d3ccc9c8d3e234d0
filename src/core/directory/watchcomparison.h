/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"
#include "core/support/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Finds watches that hear of nothing any more although new calls are answered: their connection has fallen silent without being closed, and whatever
/// stands between may answer for the far end. Only that another entry VM knows more for some time shows it before the watch's wait is over.
class WatchComparison
{
public:
    /// How often a relay is asked, one after the other.
    static constexpr Duration Interval = seconds(2);
    /// A watch that hears tells of a change within this: half a second of rest, and a store that answers slowly.
    static constexpr Duration LagLimit = milliseconds(1500);
    /// Between two renewals of one collection; a peer may know what the source here does not.
    static constexpr Duration RenewalPause = seconds(5);

    /// Entries of a collection have become known.
    void known(Collection collection, const std::vector<DirectoryEntry> &entries);
    /// A relay told what it knows.
    void told(TimePoint now, const NewestRevisions &newest);
    /// @return whether the watch of @p collection is to be renewed, once for what was told.
    bool takeHung(TimePoint now, Collection collection);
    /// @return the relay to be asked now, if any.
    std::optional<std::string> nextRelay(TimePoint now, const std::vector<std::string> &relays);
    const NewestRevisions &newest() const;

private:
    struct Lag {
        std::int64_t peerKnows = 0;
        TimePoint since;
        std::int64_t renewedFor = 0; ///< What a peer knew when the watch was last renewed.
        std::optional<TimePoint> renewedAt;
    };

    NewestRevisions newest_{};
    std::array<Lag, Collections> lags_;
    TimePoint nextQuestion_;
    std::size_t asked_ = 0;
};

} // namespace Cloverbarrow
