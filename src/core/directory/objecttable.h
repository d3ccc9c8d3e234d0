/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Local copy of one collection's objects, by name. An older revision never replaces a newer one, and a deleted object reappears only with a newer
/// revision.
class ObjectTable
{
public:
    /// Applies a page of a list. @return whether anything changed.
    bool applyListPage(const std::vector<DirectoryEntry> &entries);
    /// Completes a list after its last page: objects that no page contained are deleted. @return whether anything changed.
    /// @param storeRevision revision of the first page, recorded as the revision of these deletions.
    bool endList(std::int64_t storeRevision);
    /// Applies changes from a watch. @return whether anything changed.
    bool applyChanges(const std::vector<DirectoryEntry> &entries);

    /// @return all existing objects, ordered by name.
    std::vector<const DirectoryEntry *> existing() const;
    /// @return the object called @p name, which may be marked as deleted; nullptr if it never existed.
    const DirectoryEntry *find(const std::string &name) const;
    /// @return sequence number of the latest change in this table. Peers pass it to changedSince() to get later changes.
    std::int64_t sequence() const;
    /// @return changes after @p sequence, including deletions; all existing objects for 0; nothing if this table never assigned that number.
    std::optional<std::vector<DirectoryEntry>> changedSince(std::int64_t sequence) const;

private:
    struct Record {
        DirectoryEntry entry;
        std::int64_t sequence = 0;
        bool isListed = false; ///< Contained in the list that is being read.
    };

    bool apply(const DirectoryEntry &entry, bool isListed);

    std::map<std::string, Record> records_; ///< By name, including deleted objects, whose deletion is sent to peers.
    std::int64_t sequence_ = 1; ///< Starts at 1, as 0 requests all objects.
};

/// @return the crash reports of all entry VMs in @p objects.
std::vector<NamedCrashReport> crashReportsIn(const ObjectTable &objects);
/// @return the evacuated zones in @p objects, ordered by object name.
std::vector<std::string> evacuatedZonesIn(const ObjectTable &objects);

} // namespace Cloverbarrow
