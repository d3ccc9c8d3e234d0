/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"

#include <map>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// The registered backend servers, each with its latest start. A partial list never counts as whole, an older revision never
/// replaces a newer one, and entries that lapsed while the store was away get time to come back. An entry that cannot be read names
/// no server, whatever stood there before.
class ServerRegistry
{
public:
    /// Takes a page of a list. @return whether anything changed.
    bool listed(TimePoint now, const std::vector<DirectoryEntry> &entries);
    /// The last page has been taken: what no page named is gone. @return whether anything changed.
    /// @param storeRevision at which they were gone: that of the first page.
    bool listEnded(TimePoint now, std::int64_t storeRevision);
    /// A list that was begun will not be finished.
    void listBroken();
    /// Takes changes. @return whether anything changed.
    bool changed(TimePoint now, const std::vector<DirectoryEntry> &entries);
    /// The store answers again after an outage.
    void storeReturned(TimePoint now);
    /// What is told from now on comes from a relay that has given entries their time itself: what is gone is gone.
    void followsRelay(TimePoint now);
    /// Drops entries whose time to come back is over. @return whether any was dropped.
    bool tick(TimePoint now);

    /// @return entries that came to be without a usable server since the last call.
    std::vector<DirectoryEntry> takeUnusable();

    /// @return all registrations of @p service, with what is left of their warm-up at @p now.
    std::vector<Registration> of(TimePoint now, const std::string &service) const;
    /// @return servers in the availability zone @p zone.
    std::ptrdiff_t countIn(const std::string &zone) const;
    /// @return the number of the latest change in this registry; peers name it when they ask for what came after.
    std::int64_t sequence() const;
    /// @return what has changed after change number @p sequence, deletions too; all entries for 0; nothing when
    /// that number is not from here or too long ago.
    std::optional<std::vector<DirectoryEntry>> changedSince(std::int64_t sequence) const;

private:
    struct Deletion {
        std::int64_t revision = 0; ///< Of the store, by which the entry had been deleted.
        std::int64_t sequence = 0;
    };

    struct Entry {
        std::int64_t revision = 0;
        std::int64_t sequence = 0;
        Registration registration;
        TimePoint warmAt; ///< By the latest state that was told.
        std::string text;
        bool isListed = false; ///< Named by the list under way.
        std::optional<TimePoint> goneAt; ///< When it is dropped unless it comes back.
        std::int64_t goneRevision = 0; ///< Of the store, by which it had been deleted.
    };

    bool put(TimePoint now, const DirectoryEntry &entry, bool isListed);
    bool putUnusable(const DirectoryEntry &entry);
    bool remove(TimePoint now, std::map<std::string, Entry>::iterator entry, std::int64_t storeRevision);
    void erase(std::map<std::string, Entry>::iterator entry);
    void noteDeletion(const std::string &name, std::int64_t revision);

    std::map<std::string, Entry> entries_;
    std::map<std::string, Deletion> deletions_; ///< By name, to be told to peers.
    std::int64_t sequence_ = 1; ///< 0 asks for everything.
    std::int64_t forgotten_ = 0; ///< Deletions up to this change are no longer known.
    std::optional<TimePoint> graceUntil_;
    std::vector<DirectoryEntry> unusable_; ///< Not told yet.
};

} // namespace Cloverbarrow
