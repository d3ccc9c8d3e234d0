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
// The shortest that can be stated.
constexpr Duration ConfirmationTimeout = milliseconds(1);
constexpr Duration FirstRetryPause = milliseconds(100);
constexpr int MaxRetryPauseDoublings = 3;

} // namespace

CollectionWatch::CollectionWatch(Collection collection)
    : collection_(collection)
{
}

void CollectionWatch::tick(TimePoint now, const std::string &relay, DirectoryActions &actions)
{
    if (confirmation_ == Confirmation::Due && !isListing_) {
        confirmation_ = Confirmation::Requested;
        confirmationCall_ = ++lastCall_;
        actions.emplace_back(WatchDirectory{collection_, watchRevision_, ConfirmationTimeout, relay, confirmationCall_});
    }
    if (isCallPending_ || now < nextCall_) {
        return;
    }
    isCallPending_ = true;
    wasRelayCall_ = !relay.empty();
    call_ = ++lastCall_;
    if (isListing_) {
        actions.emplace_back(ListDirectory{collection_, lastListedName_, relay, call_});
    } else {
        actions.emplace_back(WatchDirectory{collection_, watchRevision_, WatchTimeout, relay, call_});
    }
}

bool CollectionWatch::isAwaiting(int call) const
{
    return isCallPending_ && call == call_;
}

bool CollectionWatch::onListPage(TimePoint now, const DirectoryListed &page)
{
    isCallPending_ = false;
    failures_ = 0;
    nextCall_ = now;
    if (lastListedName_.empty()) {
        listRevision_ = page.revision;
        listStoreRevision_ = page.storeRevision;
    }
    lastListedName_ = page.lastName;
    if (page.hasMore) {
        return false;
    }
    watchRevision_ = listRevision_;
    requiredRevision_ = std::max(watchRevision_, page.latestRevision);
    isListing_ = false;
    isComplete_ = true;
    return true;
}

void CollectionWatch::onChanges(TimePoint now, const DirectoryChanged &change)
{
    isCallPending_ = false;
    failures_ = 0;
    watchRevision_ = std::max(watchRevision_, change.revision);
    const Duration answerPause = wasRelayCall_ ? RelayWatchPause : StoreWatchPause;
    nextCall_ = now + (change.entries.empty() ? Duration(0) : answerPause);
}

void CollectionWatch::onHistoryExpired(TimePoint now)
{
    isCallPending_ = false;
    nextCall_ = now;
    beginList();
}

void CollectionWatch::beginList()
{
    isListing_ = true;
    lastListedName_.clear();
    if (confirmation_ == Confirmation::Requested) {
        // The list may come from another source, whose revisions are others.
        confirmation_ = Confirmation::Due;
    }
}

void CollectionWatch::onFailure(TimePoint now, Random &random)
{
    isCallPending_ = false;
    const Duration pause = FirstRetryPause * (1 << std::min(failures_, MaxRetryPauseDoublings));
    ++failures_;
    // Jitter between half and all of the pause keeps entry VMs that failed together from retrying together.
    nextCall_ = now + pause / 2 + Duration(random.below(static_cast<std::size_t>((pause / 2).count()) + 1));
    beginList();
}

void CollectionWatch::restart(TimePoint now)
{
    isCallPending_ = false;
    nextCall_ = now;
    beginList();
}

void CollectionWatch::requestConfirmation()
{
    confirmation_ = Confirmation::Due;
}

bool CollectionWatch::isConfirmation(int call) const
{
    return confirmation_ == Confirmation::Requested && call == confirmationCall_;
}

void CollectionWatch::onConfirmed(std::int64_t revision)
{
    confirmation_ = Confirmation::Received;
    watchRevision_ = std::max(watchRevision_, revision);
}

bool CollectionWatch::isConfirmed() const
{
    return confirmation_ == Confirmation::Received && isCurrent();
}

std::int64_t CollectionWatch::listedStoreRevision() const
{
    return listStoreRevision_;
}

bool CollectionWatch::isCurrent() const
{
    return isComplete_ && !isListing_ && watchRevision_ >= requiredRevision_;
}

bool CollectionWatch::isComplete() const
{
    return isComplete_;
}

} // namespace Cloverbarrow
