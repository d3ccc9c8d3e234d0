/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/relaylists.h"

#include "core/support/httpstatus.h"
#include "net/gzip.h"
#include "net/relaymessages.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// In bytes. A relay sends a configuration of 100 KB to each of about 30 followers over a link of 10 Mbit/s.
constexpr std::size_t CompressionThreshold = 2000;
// Compressing the entries of 3,000 servers takes 12 ms of a full core, and an entry VM may have a tenth of a core.
// A follower's first watch returns later changes at once.
constexpr Duration ServerListMaxAge = seconds(1);
// Larger answers (bytes) saturate the link of a small VM, and relay checks then time out.
constexpr std::size_t LargeListBytes = 16'000;
constexpr std::size_t MaxLargeListsInFlight = 3;

} // namespace

HttpAnswer newsAnswer(const DirectoryNews &update)
{
    const std::string text = encodeNews(update);
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

const HttpAnswer *RelayLists::recent(Collection collection, TimePoint now, std::int64_t &since) const
{
    const Packed &cached = packed_[indexOf(collection)];
    // Lists with the configuration are always current: an entry VM that has just started would apply an outdated one.
    const bool isReusable = collection == Collection::Servers && cached.revision > 0 && now - cached.at < ServerListMaxAge;
    since = cached.revision;
    return isReusable ? &cached.answer : nullptr;
}

const HttpAnswer &RelayLists::pack(Collection collection, TimePoint now, const DirectoryNews &update)
{
    Packed &cached = packed_[indexOf(collection)];
    if (cached.revision != update.revision) {
        cached = {update.revision, now, newsAnswer(update)};
    }
    cached.at = now;
    return cached.answer;
}

bool RelayLists::hasTurn(Collection collection)
{
    std::erase_if(sending_, [](const Sending &item) { return item.connection->isGone() || (item.isHandedOver && !item.connection->isSending()); });
    return !isLong(collection) || sending_.size() < MaxLargeListsInFlight;
}

void RelayLists::willSend(Collection collection, const std::shared_ptr<CallerConnection> &connection)
{
    if (isLong(collection)) {
        sending_.push_back({connection, false});
    }
}

void RelayLists::handedOver(const std::shared_ptr<CallerConnection> &connection)
{
    for (Sending &item : sending_) {
        item.isHandedOver = item.isHandedOver || item.connection == connection;
    }
}

bool RelayLists::isLong(Collection collection) const
{
    return packed_[indexOf(collection)].answer.body.size() > LargeListBytes;
}

} // namespace Cloverbarrow
