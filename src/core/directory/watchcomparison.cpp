/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/watchcomparison.h"

#include <algorithm>

namespace Cloverbarrow
{

void WatchComparison::entriesReceived(Collection collection, const std::vector<DirectoryEntry> &entries)
{
    std::int64_t &newestRevision = newestRevisions_[indexOf(collection)];
    for (const DirectoryEntry &entry : entries) {
        newestRevision = std::max(newestRevision, entry.revision);
    }
}

void WatchComparison::peerRevisionsReceived(TimePoint now, const NewestRevisions &peerRevisions)
{
    for (std::size_t index = 0; index < peerRevisions.size(); ++index) {
        Lag &lag = lags_[index];
        const std::int64_t localRevision = std::max(newestRevisions_[index], lag.restartedForRevision);
        // While the watch lags, the first newer revision counts. Otherwise each further missed change would restart the time limit.
        if (lag.peerRevision <= localRevision && peerRevisions[index] > localRevision) {
            lag.peerRevision = peerRevisions[index];
            lag.since = now;
        }
    }
}

bool WatchComparison::takeStale(TimePoint now, Collection collection)
{
    Lag &lag = lags_[indexOf(collection)];
    const bool isBehind = lag.peerRevision > std::max(newestRevisions_[indexOf(collection)], lag.restartedForRevision);
    const bool isRestartAllowed = !lag.restartedAt || now - *lag.restartedAt >= MinRestartInterval;
    if (!isBehind || now - lag.since < LagLimit || !isRestartAllowed) {
        return false;
    }
    // The peer's newest revision may belong to an object deleted since, which no list contains. It must not cause another restart.
    lag.restartedForRevision = lag.peerRevision;
    lag.restartedAt = now;
    return true;
}

std::optional<std::string> WatchComparison::nextRelay(TimePoint now, const std::vector<std::string> &relays)
{
    if (relays.empty() || now < nextRequest_) {
        return std::nullopt;
    }
    nextRequest_ = now + RequestInterval;
    return relays[requestCount_++ % relays.size()];
}

const NewestRevisions &WatchComparison::newestRevisions() const
{
    return newestRevisions_;
}

} // namespace Cloverbarrow
