/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"
#include "net/callerconnection.h"
#include "net/httpmessage.h"

#include <array>
#include <memory>
#include <optional>
#include <vector>

namespace Cloverbarrow
{

/// Header with the relay's newest revision; the list in the answer may be slightly older.
constexpr const char *LatestRevisionHeader = "Cloverbarrow-Relay-Latest";

/// @return the answer with @p update, compressed if it is large.
HttpAnswer collectionUpdateAnswer(const CollectionUpdate &update);

/// Caches the full lists that a relay sends and limits how many large ones it sends at a time. After a power cut all followers of a
/// zone ask for a list at the same time, so one compressed list is reused for many of them. Not thread-safe.
class RelayListCache
{
public:
    /// @return the cached list if it is recent enough. @param since receives its revision, at which the next watch of the follower starts.
    const HttpAnswer *cachedList(Collection collection, TimePoint now, std::int64_t &since) const;
    /// Serializes and caches a new list. @return the answer with it.
    const HttpAnswer &storeList(Collection collection, TimePoint now, const CollectionUpdate &update);

    /// @return whether another list may be sent now without exceeding the number of large lists in flight.
    bool maySend(Collection collection);
    /// Counts a list that is about to be sent on @p connection, if it is large.
    void addInFlight(Collection collection, const std::shared_ptr<CallerConnection> &connection);
    /// Records that the list was passed to the connection. It counts as in flight until its last byte has been sent.
    void markQueued(const std::shared_ptr<CallerConnection> &connection);

private:
    struct CachedList {
        std::int64_t revision = -1;
        TimePoint cachedAt;
        HttpAnswer answer;
    };

    struct InFlightList {
        std::shared_ptr<CallerConnection> connection;
        bool isQueued = false;
    };

    bool isLarge(Collection collection) const;

    std::array<CachedList, CollectionCount> cachedLists_; ///< By collection.
    std::vector<InFlightList> inFlight_; ///< Large lists in flight.
};

} // namespace Cloverbarrow
