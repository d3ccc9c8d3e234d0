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

// Links of 10 Mbit/s have to carry a configuration of 100 KB to each of some 30 followers.
constexpr std::size_t WorthPacking = 2000;
// Packing the entries of 3,000 servers takes 12 ms of a whole core, and entry VMs may have a tenth of one.
// What changed meanwhile comes with the follower's first watch, at once.
constexpr Duration ServersReuse = seconds(1);
// Longer answers fill the link of a small VM, and then checks of the relay come too late.
constexpr std::size_t LongList = 16'000;
constexpr std::size_t LongListsAtOnce = 3;

} // namespace

HttpAnswer newsAnswer(const DirectoryNews &news)
{
    const std::string text = encodeNews(news);
    const bool isWorthPacking = text.size() > WorthPacking;
    HttpAnswer answer;
    answer.status = HttpStatus::Ok;
    answer.headers.push_back({"Content-Type", "application/json"});
    if (isWorthPacking) {
        answer.headers.push_back({"Content-Encoding", "gzip"});
    }
    answer.body = isWorthPacking ? gzip(text) : text;
    return answer;
}

const HttpAnswer *RelayLists::recent(Collection collection, TimePoint now, std::int64_t &since) const
{
    const Packed &packed = packed_[indexOf(collection)];
    // A configuration is told as it is now: a fresh entry VM would put an older one in force.
    const bool mayBeOlder = collection == Collection::Servers && packed.revision > 0 && now - packed.at < ServersReuse;
    since = packed.revision;
    return mayBeOlder ? &packed.answer : nullptr;
}

const HttpAnswer &RelayLists::pack(Collection collection, TimePoint now, const DirectoryNews &news)
{
    Packed &packed = packed_[indexOf(collection)];
    if (packed.revision != news.revision) {
        packed = {news.revision, now, newsAnswer(news)};
    }
    packed.at = now;
    return packed.answer;
}

bool RelayLists::hasTurn(Collection collection)
{
    std::erase_if(sending_, [](const Sending &item) { return item.connection->isGone() || (item.isHandedOver && !item.connection->isSending()); });
    return !isLong(collection) || sending_.size() < LongListsAtOnce;
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
    return packed_[indexOf(collection)].answer.body.size() > LongList;
}

} // namespace Cloverbarrow
