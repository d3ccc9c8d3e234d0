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
    static constexpr Duration RequestInterval = seconds(2);
    /// A working watch receives a change within this time: 0.5 s of pause between watches and a slow answer of the store.
    static constexpr Duration LagLimit = milliseconds(1500);
    /// Minimum interval between restarts of one collection's watch, since a peer may have revisions that the local source never sends.
    static constexpr Duration MinRestartInterval = seconds(5);

    /// Entries of a collection were received.
    void entriesReceived(Collection collection, const std::vector<DirectoryEntry> &entries);
    /// A relay has sent its newest revisions.
    void peerRevisionsReceived(TimePoint now, const NewestRevisions &peerRevisions);
    /// @return whether the watch of @p collection is to be restarted; true at most once for a given revision of a peer.
    bool takeStale(TimePoint now, Collection collection);
    /// @return the relay whose newest revisions are to be requested now, if any.
    std::optional<std::string> nextRelay(TimePoint now, const std::vector<std::string> &relays);
    const NewestRevisions &newestRevisions() const;

private:
    struct Lag {
        std::int64_t peerRevision = 0;
        TimePoint since; ///< When peerRevision was received.
        std::int64_t restartedForRevision = 0; ///< Revision of the peer that caused the last restart.
        std::optional<TimePoint> restartedAt;
    };

    NewestRevisions newestRevisions_{};
    std::array<Lag, CollectionCount> lags_;
    TimePoint nextRequest_;
    std::size_t requestCount_ = 0;
};

} // namespace Cloverbarrow
