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

/// The registered incarnations of backend servers. A partial list never counts as whole, an older revision never
/// replaces a newer one, and entries that lapsed while the store was away get time to come back.
class ServerRegistry
{
public:
    /// Takes a page of a list. @return whether anything changed.
    bool listed(TimePoint now, const std::vector<DirectoryEntry> &entries);
    /// The last page has been taken: what no page named is gone. @return whether anything changed.
    bool listEnded(TimePoint now);
    /// A list that was begun will not be finished.
    void listBroken();
    /// Takes changes. @return whether anything changed.
    bool changed(TimePoint now, const std::vector<DirectoryEntry> &entries);
    /// The store answers again after an outage.
    void storeReturned(TimePoint now);
    /// Drops entries whose time to come back is over. @return whether any was dropped.
    bool tick(TimePoint now);

    /// @return whether registrations are known.
    bool isEmpty() const;
    /// @return all registrations of @p service.
    std::vector<Registration> of(const std::string &service) const;
    /// @return what has changed after @p revision, deletions too.
    std::vector<DirectoryEntry> changedSince(std::int64_t revision) const;

private:
    struct Entry {
        std::int64_t revision = 0;
        Registration registration;
        std::string text;
        bool isListed = false; ///< Named by the list under way.
        std::optional<TimePoint> goneAt; ///< When it is dropped unless it comes back.
    };

    bool put(const DirectoryEntry &entry, bool isListed);
    /// @param revision of the deletion, where it is known.
    bool remove(TimePoint now, std::map<std::string, Entry>::iterator entry, std::int64_t revision);

    std::map<std::string, Entry> entries_;
    std::map<std::string, std::int64_t> deletions_; ///< By name: revisions at which entries were deleted, to be told to peers.
    std::optional<TimePoint> graceUntil_;
};

} // namespace Cloverbarrow
