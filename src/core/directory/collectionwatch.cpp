/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/collectionwatch.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// Longest wait that the store allows for a watch. A hanging watch is detected earlier by checks of the store.
constexpr Duration WatchTimeout = seconds(30);
// Each answer of a watch is a billed call. The pause batches several changes into one answer and is short compared with the
// 2 s within which a change must be applied.
constexpr Duration StoreWatchPause = milliseconds(500);
// Answers of a relay are not billed, and the relay has already paused before it received the change.
constexpr Duration RelayWatchPause = milliseconds(20);
constexpr Duration FirstRetryPause = milliseconds(100);
constexpr int MaxRetryPauseDoublings = 3;

} // namespace

CollectionWatch::CollectionWatch(Collection collection)
    : collection_(collection)
{
}

void CollectionWatch::tick(TimePoint now, const std::string &relay, DirectoryActions &actions)
{
    if (isCalling_ || now < nextCall_) {
        return;
    }
    isCalling_ = true;
    isAtRelay_ = !relay.empty();
    ++call_;
    if (isListing_) {
        actions.emplace_back(ListDirectory{collection_, after_, relay, call_});
    } else {
        actions.emplace_back(WatchDirectory{collection_, since_, WatchTimeout, relay, call_});
    }
}

bool CollectionWatch::takes(int call) const
{
    return isCalling_ && call == call_;
}

bool CollectionWatch::listed(TimePoint now, const DirectoryListed &page)
{
    isCalling_ = false;
    failures_ = 0;
    nextCall_ = now;
    if (after_.empty()) {
        listRevision_ = page.revision;
        listStoreRevision_ = page.storeRevision;
    }
    after_ = page.last;
    if (page.hasMore) {
        return false;
    }
    since_ = listRevision_;
    mustReach_ = std::max(since_, page.latest);
    isListing_ = false;
    isComplete_ = true;
    return true;
}

void CollectionWatch::changed(TimePoint now, const DirectoryChanged &change)
{
    isCalling_ = false;
    failures_ = 0;
    since_ = std::max(since_, change.revision);
    const Duration answerPause = isAtRelay_ ? RelayWatchPause : StoreWatchPause;
    nextCall_ = now + (change.entries.empty() ? Duration(0) : answerPause);
}

void CollectionWatch::historyGone(TimePoint now)
{
    isCalling_ = false;
    nextCall_ = now;
    beginList();
}

void CollectionWatch::beginList()
{
    isListing_ = true;
    after_.clear();
}

void CollectionWatch::failed(TimePoint now, Random &random)
{
    isCalling_ = false;
    const Duration pause = FirstRetryPause * (1 << std::min(failures_, MaxRetryPauseDoublings));
    ++failures_;
    // Jitter between half and all of the pause keeps entry VMs that failed together from retrying together.
    nextCall_ = now + pause / 2 + Duration(random.below(static_cast<std::size_t>((pause / 2).count()) + 1));
    beginList();
}

void CollectionWatch::renew(TimePoint now)
{
    isCalling_ = false;
    nextCall_ = now;
    beginList();
}

std::int64_t CollectionWatch::listedUpTo() const
{
    return listStoreRevision_;
}

bool CollectionWatch::isCurrent() const
{
    return isComplete_ && !isListing_ && since_ >= mustReach_;
}

bool CollectionWatch::isComplete() const
{
    return isComplete_;
}

} // namespace Cloverbarrow
