/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/relaylistcache.h"

#include "core/support/httpstatus.h"
#include "net/gzip.h"
#include "net/relaymessages.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// In bytes; larger answers are compressed. A relay sends a configuration of 100 KB to each of about 30 followers over a link of 10 Mbit/s.
constexpr std::size_t CompressionThreshold = 2000;
// A list is reused for this long: compressing the entries of 3,000 servers takes 12 ms of a full core, and an entry VM may have a
// tenth of a core. A follower's first watch returns later changes at once.
constexpr Duration ServerListMaxAge = seconds(1);
// In bytes. Too many larger answers at a time saturate the link of a small VM, and relay checks then time out.
constexpr std::size_t LargeListBytes = 16'000;
constexpr std::size_t MaxLargeListsInFlight = 3;

} // namespace

HttpAnswer collectionUpdateAnswer(const CollectionUpdate &update)
{
    const std::string text = encodeCollectionUpdate(update);
    const bool isCompressed = text.size() > CompressionThreshold;
    HttpAnswer answer;
    answer.status = HttpStatus::Ok;
    answer.headers.push_back({"Content-Type", "application/json"});
    if (isCompressed) {
        answer.headers.push_back({"Content-Encoding", "gzip"});
    }
    answer.body = isCompressed ? gzip(text) : text;
    return answer;
}

const HttpAnswer *RelayListCache::cachedList(Collection collection, TimePoint now, std::int64_t &since) const
{
    const CachedList &cached = cachedLists_[indexOf(collection)];
    // Lists with the configuration are always current: an entry VM that has just started would apply an outdated one.
    const bool isReusable = collection == Collection::Servers && cached.revision > 0 && now - cached.cachedAt < ServerListMaxAge;
    since = cached.revision;
    return isReusable ? &cached.answer : nullptr;
}

const HttpAnswer &RelayListCache::storeList(Collection collection, TimePoint now, const CollectionUpdate &update)
{
    CachedList &cached = cachedLists_[indexOf(collection)];
    if (cached.revision != update.revision) {
        cached = {update.revision, now, collectionUpdateAnswer(update)};
    }
    cached.cachedAt = now;
    return cached.answer;
}

bool RelayListCache::maySend(Collection collection)
{
    std::erase_if(inFlight_, [](const InFlightList &item) { return item.connection->isGone() || (item.isQueued && !item.connection->isSending()); });
    return !isLarge(collection) || inFlight_.size() < MaxLargeListsInFlight;
}

void RelayListCache::addInFlight(Collection collection, const std::shared_ptr<CallerConnection> &connection)
{
    if (isLarge(collection)) {
        inFlight_.push_back({connection, false});
    }
}

void RelayListCache::markQueued(const std::shared_ptr<CallerConnection> &connection)
{
    for (InFlightList &item : inFlight_) {
        item.isQueued = item.isQueued || item.connection == connection;
    }
}

bool RelayListCache::isLarge(Collection collection) const
{
    return cachedLists_[indexOf(collection)].answer.body.size() > LargeListBytes;
}

} // namespace Cloverbarrow
