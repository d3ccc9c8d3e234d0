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
    std::int64_t &newest = newest_[indexOf(collection)];
    for (const DirectoryEntry &entry : entries) {
        newest = std::max(newest, entry.revision);
    }
}

void WatchComparison::told(TimePoint now, const NewestRevisions &newest)
{
    for (std::size_t index = 0; index < newest.size(); ++index) {
        Lag &lag = lags_[index];
        const std::int64_t settled = std::max(newest_[index], lag.renewedFor);
        // While still behind, what was told first counts: each change that is missed would begin the time anew.
        if (lag.peerKnows <= settled && newest[index] > settled) {
            lag.peerKnows = newest[index];
            lag.since = now;
        }
    }
}

bool WatchComparison::takeHung(TimePoint now, Collection collection)
{
    Lag &lag = lags_[indexOf(collection)];
    const bool isBehind = lag.peerKnows > std::max(newest_[indexOf(collection)], lag.renewedFor);
    const bool hasRested = !lag.renewedAt || now - *lag.renewedAt >= RenewalPause;
    if (!isBehind || now - lag.since < LagLimit || !hasRested) {
        return false;
    }
    // What was deleted since is known to a peer and in no list, so it is not looked for twice.
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
