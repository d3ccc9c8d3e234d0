/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/watchcomparison.h"

#include <algorithm>

namespace Cloverbarrow
{

void WatchComparison::known(Collection collection, const std::vector<DirectoryEntry> &entries)
{
    std::int64_t &newestRevision = newest_[indexOf(collection)];
    for (const DirectoryEntry &entry : entries) {
        newestRevision = std::max(newestRevision, entry.revision);
    }
}

void WatchComparison::told(TimePoint now, const NewestRevisions &peerRevisions)
{
    for (std::size_t index = 0; index < peerRevisions.size(); ++index) {
        Lag &lag = lags_[index];
        const std::int64_t localRevision = std::max(newest_[index], lag.renewedFor);
        // While the watch lags, the first newer revision counts. Otherwise each further missed change would restart the time limit.
        if (lag.peerKnows <= localRevision && peerRevisions[index] > localRevision) {
            lag.peerKnows = peerRevisions[index];
            lag.since = now;
        }
    }
}

bool WatchComparison::takeHung(TimePoint now, Collection collection)
{
    Lag &lag = lags_[indexOf(collection)];
    const bool isBehind = lag.peerKnows > std::max(newest_[indexOf(collection)], lag.renewedFor);
    const bool isRestartAllowed = !lag.renewedAt || now - *lag.renewedAt >= RenewalPause;
    if (!isBehind || now - lag.since < LagLimit || !isRestartAllowed) {
        return false;
    }
    // The peer's newest revision may belong to an object deleted since, which no list contains. It must not cause another restart.
    lag.renewedFor = lag.peerKnows;
    lag.renewedAt = now;
    return true;
}

std::optional<std::string> WatchComparison::nextRelay(TimePoint now, const std::vector<std::string> &relays)
{
    if (relays.empty() || now < nextQuestion_) {
        return std::nullopt;
    }
    nextQuestion_ = now + Interval;
    return relays[asked_++ % relays.size()];
}

const NewestRevisions &WatchComparison::newest() const
{
    return newest_;
}

} // namespace Cloverbarrow
