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

/// Registered backend servers, each with the registration of its current process. A partial list removes nothing, an older revision never
/// replaces a newer one, and registrations that expired during an outage of the store are kept for a grace period. An entry that cannot be parsed
/// removes the server that it contained before.
class ServerRegistry
{
public:
    /// Applies a page of a list. @return whether anything changed.
    bool applyListPage(TimePoint now, const std::vector<DirectoryEntry> &entries);
    /// Completes a list after its last page: entries that no page contained are removed. @return whether anything changed.
    /// @param storeRevision revision of the first page, recorded as the revision of these deletions.
    bool endList(TimePoint now, std::int64_t storeRevision);
    /// Aborts a list before its last page.
    void abortList();
    /// Applies changes from a watch. @return whether anything changed.
    bool applyChanges(TimePoint now, const std::vector<DirectoryEntry> &entries);
    /// The store answers again after an outage: starts the grace period for expired registrations.
    void storeReturned(TimePoint now);
    /// The source is now a relay, which applies the grace period itself: removes expired entries without waiting.
    void endGracePeriod(TimePoint now);
    /// Removes entries whose grace period has passed. @return whether any was removed.
    bool tick(TimePoint now);

    /// Sets whether entries are forwarded to peers. Only then their texts are kept, which take most of the memory of an entry.
    /// @return whether forwarding has begun and texts are missing, so that the servers have to be listed again.
    bool setForwarding(bool isForwarding);
    /// @return entries received since the last call that could not be parsed.
    std::vector<DirectoryEntry> takeUnusable();

    /// @return all registrations of @p service, with the warm-up time that remains at @p now.
    std::vector<Registration> registrationsOf(TimePoint now, const std::string &service) const;
    /// @return number of servers in the availability zone @p zone.
    std::ptrdiff_t countIn(const std::string &zone) const;
    /// @return sequence number of the latest change in this registry. Peers pass it to changedSince() to get later changes.
    std::int64_t sequence() const;
    /// @return changes after @p sequence, including deletions; all entries for 0; nothing if this registry never assigned
    /// that number or no longer has all later deletions.
    std::optional<std::vector<DirectoryEntry>> changedSince(std::int64_t sequence) const;

private:
    struct Deletion {
        std::int64_t revision = 0; ///< Store revision at or before which the entry was deleted.
        std::int64_t sequence = 0;
    };

    struct Entry {
        std::int64_t revision = 0;
        std::int64_t sequence = 0;
        Registration registration;
        TimePoint warmAt; ///< End of the warm-up according to the latest registration.
        std::string text; ///< As received; empty if entries are not forwarded.
        bool isTextMissing = false;
        bool isListed = false; ///< Contained in the list that is being read.
        std::optional<TimePoint> removeAt; ///< End of the grace period, when the entry is removed unless it was registered again; empty if not deleted.
        std::int64_t deletedRevision = 0; ///< Store revision at or before which it was deleted.
    };

    bool apply(TimePoint now, const DirectoryEntry &entry, bool isListed);
    bool applyUnusable(const DirectoryEntry &entry);
    bool remove(TimePoint now, std::map<std::string, Entry>::iterator entry, std::int64_t storeRevision);
    void erase(std::map<std::string, Entry>::iterator entry);
    void setText(Entry &entry, const std::string &text);
    void recordDeletion(const std::string &name, std::int64_t revision);

    std::map<std::string, Entry> entries_;
    bool isForwarding_ = true;
    std::size_t missingTexts_ = 0; ///< Entries whose texts were not kept.
    std::map<std::string, Deletion> deletions_; ///< By name, to be sent to peers.
    std::int64_t sequence_ = 1; ///< Starts at 1, as 0 requests all entries.
    std::int64_t discardedSequence_ = 0; ///< Deletions up to this sequence number may have been discarded.
    std::optional<TimePoint> graceUntil_;
    std::vector<DirectoryEntry> unusable_; ///< Entries that could not be parsed, until takeUnusable() is called.
};

} // namespace Cloverbarrow
