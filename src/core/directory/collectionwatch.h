/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"
#include "core/support/random.h"

namespace Cloverbarrow
{

/// Follows one collection of the directory: lists it page by page, then watches it, and lists it again when the watched
/// revision has expired. At most one call is in flight. A failed call is retried with exponential backoff and jitter.
class CollectionWatch
{
public:
    explicit CollectionWatch(Collection collection);

    /// Starts the next list or watch if it is due, and a confirmation. @param relay address to call; empty for the store.
    void tick(TimePoint now, const std::string &relay, DirectoryActions &actions);
    /// @return whether @p call is the call in flight; answers to other calls are ignored.
    bool isAwaiting(int call) const;
    /// Processes a page of a list. @return whether it was the last page.
    bool onListPage(TimePoint now, const DirectoryListed &page);
    void onChanges(TimePoint now, const DirectoryChanged &change);
    void onHistoryExpired(TimePoint now);
    void onFailure(TimePoint now, Random &random);
    /// Abandons the call in flight and lists the collection again. The answer may never arrive, and a watch from a revision whose
    /// history is about to be dropped would wait for the next change without reporting what it missed.
    void restart(TimePoint now);

    /// Requests the changes since the last known revision in a call of its own, which is answered at once also if there are none. The watch in flight goes on.
    void requestConfirmation();
    /// @return whether @p call is the one that confirms the collection.
    bool isConfirmation(int call) const;
    /// The source has sent all changes up to this revision in answer to a confirmation.
    void onConfirmed(std::int64_t revision);
    /// @return whether the latest confirmation that was requested has been received.
    bool isConfirmed() const;

    /// @return whether a complete list has been read at least once.
    bool isComplete() const;
    /// @return whether the collection is kept up to date by a watch and no list is due or in flight.
    bool isCurrent() const;
    /// @return store revision of the latest complete list: objects missing from it were deleted at or before that revision.
    std::int64_t listedStoreRevision() const;

private:
    enum class Confirmation {
        Received,
        Due,
        Requested,
    };

    void beginList();

    Collection collection_;
    bool isListing_ = true;
    bool isComplete_ = false;
    bool isCallPending_ = false;
    bool wasRelayCall_ = false; ///< Whether the last call went to a relay.
    int call_ = 0; ///< The list or watch that was started last.
    int lastCall_ = 0; ///< The highest number of any call.
    std::string lastListedName_;
    std::int64_t listRevision_ = 0; ///< Revision of the first page; the watch starts there and so covers changes made while later pages were read.
    std::int64_t listStoreRevision_ = 0; ///< Store revision of the first page, also if the list came from a relay.
    std::int64_t watchRevision_ = 0;
    std::int64_t requiredRevision_ = 0; ///< Source's latest revision when it answered the list. Below it the collection is not current.
    TimePoint nextCall_;
    int failures_ = 0;
    Confirmation confirmation_ = Confirmation::Received;
    int confirmationCall_ = 0;
};

} // namespace Cloverbarrow
