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

/// Detects watches that no longer receive changes although new calls are answered. Their connection has become unresponsive without being closed, and
/// an intermediary may still acknowledge traffic for the remote end. Before the watch times out this shows only in that another entry VM has had newer
/// revisions for some time.
class WatchComparison
{
public:
    /// Interval between requests for newest revisions; the relays take turns.
    static constexpr Duration Interval = seconds(2);
    /// A working watch receives a change within this time: 0.5 s of pause between watches and a slow answer of the store.
    static constexpr Duration LagLimit = milliseconds(1500);
    /// Minimum interval between restarts of one collection's watch, since a peer may have revisions that the local source never sends.
    static constexpr Duration RenewalPause = seconds(5);

    /// Entries of a collection were received.
    void known(Collection collection, const std::vector<DirectoryEntry> &entries);
    /// A relay has sent its newest revisions.
    void told(TimePoint now, const NewestRevisions &peerRevisions);
    /// @return whether the watch of @p collection is to be restarted; true at most once for a given revision of a peer.
    bool takeHung(TimePoint now, Collection collection);
    /// @return the relay whose newest revisions are to be requested now, if any.
    std::optional<std::string> nextRelay(TimePoint now, const std::vector<std::string> &relays);
    const NewestRevisions &newest() const;

private:
    struct Lag {
        std::int64_t peerKnows = 0;
        TimePoint since; ///< When peerRevision was received.
        std::int64_t renewedFor = 0; ///< Revision of the peer that caused the last restart.
        std::optional<TimePoint> renewedAt;
    };

    NewestRevisions newest_{};
    std::array<Lag, Collections> lags_;
    TimePoint nextQuestion_;
    std::size_t asked_ = 0;
};

} // namespace Cloverbarrow
