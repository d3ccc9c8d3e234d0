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

/// Follows one collection of the directory: lists it page by page, then watches it, and lists it again when history is
/// gone. At most one call is under way. A call that fails is repeated after a pause that doubles, with jitter.
class CollectionWatch
{
public:
    explicit CollectionWatch(Collection collection);

    /// @param relay to ask; empty for the store.
    void tick(TimePoint now, const std::string &relay, DirectoryActions &actions);
    /// @return whether the answer is to the call under way, so that its content counts.
    bool takes(int call) const;
    /// @return whether this was the last page.
    bool listed(TimePoint now, const DirectoryListed &page);
    void changed(TimePoint now, const DirectoryChanged &change);
    void historyGone(TimePoint now);
    void failed(TimePoint now, Random &random);
    /// Gives up the call under way and begins with a list: an answer may never come, and a watch from a revision whose
    /// history is about to be dropped would wait for the next change without telling what it missed.
    void renew(TimePoint now);

    /// @return whether a whole list has been read at least once.
    bool isComplete() const;
    /// @return whether what is known is kept up to date by a watch, and no list is due or under way.
    bool isCurrent() const;
    /// @return revision of the store as of which the latest list told what is gone.
    std::int64_t listedUpTo() const;

private:
    void beginList();

    Collection collection_;
    bool isListing_ = true;
    bool isComplete_ = false;
    bool isCalling_ = false;
    bool isAtRelay_ = false; ///< Where the last call went.
    int call_ = 0;
    std::string after_;
    std::int64_t listRevision_ = 0; ///< Of the first page: what changes while the others are read is watched again.
    std::int64_t listStoreRevision_ = 0; ///< The same, of the store also where a relay was asked.
    std::int64_t since_ = 0;
    std::int64_t mustReach_ = 0; ///< What is known is as new as the list only from here on.
    TimePoint nextCall_;
    int failures_ = 0;
};

} // namespace Cloverbarrow
