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

/// The objects of one collection as the store holds them, each by its name. An older revision never replaces a newer one, and what was
/// deleted returns only with a newer revision.
class ObjectBook
{
public:
    /// Takes a page of a list. @return whether anything changed.
    bool listed(const std::vector<DirectoryEntry> &entries);
    /// The last page has been taken: what no page named is gone. @return whether anything changed.
    /// @param storeRevision at which they were gone: that of the first page.
    bool listEnded(std::int64_t storeRevision);
    /// Takes changes. @return whether anything changed.
    bool changed(const std::vector<DirectoryEntry> &entries);

    /// @return the objects that there are, by name.
    std::vector<const DirectoryEntry *> present() const;
    /// @return the object called @p name, or that it was deleted; nullptr when there never was one.
    const DirectoryEntry *find(const std::string &name) const;
    /// @return the number of the latest change in this book; peers name it when they ask for what came after.
    std::int64_t sequence() const;
    /// @return what has changed after change number @p sequence, deletions too; all entries for 0; nothing when that number is not from here.
    std::optional<std::vector<DirectoryEntry>> changedSince(std::int64_t sequence) const;

private:
    struct Page {
        DirectoryEntry entry;
        std::int64_t sequence = 0;
        bool isListed = false; ///< Named by the list under way.
    };

    bool put(const DirectoryEntry &entry, bool isListed);

    std::map<std::string, Page> pages_; ///< Deleted ones too, to be told to peers.
    std::int64_t sequence_ = 1; ///< 0 asks for everything.
};

/// @return the reports of all entry VMs that @p book holds.
std::vector<NamedCrashReport> crashReportsIn(const ObjectBook &book);
/// @return the zones that the objects of @p book evacuate, in order.
std::vector<std::string> evacuatedZonesIn(const ObjectBook &book);

} // namespace Cloverbarrow
