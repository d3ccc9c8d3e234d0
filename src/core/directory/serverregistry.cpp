/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/serverregistry.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{
// Backend servers whose registrations expired while the store was unreachable register again within about 2 s.
constexpr Duration ReregistrationGrace = seconds(2);
// Maximum number of stored deletions. Followers that missed more must list the registry again.
constexpr std::size_t MaxDeletions = 1000;

/// @return whether the two are equal except for the warm-up, whose remaining time decreases by itself.
bool isEqualExceptWarmUp(const Registration &known, Registration newer)
{
    newer.server.warmUp = known.server.warmUp;
    return known == newer;
}

} // namespace

bool ServerRegistry::applyListPage(TimePoint now, const std::vector<DirectoryEntry> &entries)
{
    bool hasChanged = false;
    for (const DirectoryEntry &entry : entries) {
        // Lists from relays may contain deleted entries.
        if (!entry.isDeleted) {
            hasChanged = apply(now, entry, true) || hasChanged;
        }
    }
    return hasChanged;
}

bool ServerRegistry::endList(TimePoint now, std::int64_t storeRevision)
{
    bool hasChanged = false;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto next = std::next(entry);
        // Entries registered after the list was read are kept; the watch reports their deletion.
        if (!entry->second.isListed && entry->second.revision <= storeRevision) {
            hasChanged = remove(now, entry, storeRevision) || hasChanged;
        } else {
            entry->second.isListed = false;
        }
        entry = next;
    }
    return hasChanged;
}

void ServerRegistry::abortList()
{
    for (auto &[name, entry] : entries_) {
        entry.isListed = false;
    }
}

bool ServerRegistry::applyChanges(TimePoint now, const std::vector<DirectoryEntry> &entries)
{
    bool hasChanged = false;
    for (const DirectoryEntry &entry : entries) {
        if (!entry.isDeleted) {
            hasChanged = apply(now, entry, false) || hasChanged;
        } else if (const auto found = entries_.find(entry.name); found != entries_.end() && entry.revision >= found->second.revision) {
            hasChanged = remove(now, found, entry.revision) || hasChanged;
        }
    }
    return hasChanged;
}

void ServerRegistry::storeReturned(TimePoint now)
{
    graceUntil_ = now + ReregistrationGrace;
}

void ServerRegistry::endGracePeriod(TimePoint now)
{
    graceUntil_.reset();
    for (auto &[name, entry] : entries_) {
        if (entry.removeAt) {
            entry.removeAt = std::min(*entry.removeAt, now);
        }
    }
}

bool ServerRegistry::tick(TimePoint now)
{
    bool hasChanged = false;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto next = std::next(entry);
        if (entry->second.removeAt && now >= *entry->second.removeAt) {
            erase(entry);
            hasChanged = true;
        }
        entry = next;
    }
    return hasChanged;
}

std::vector<Registration> ServerRegistry::registrationsOf(TimePoint now, const std::string &service) const
{
    std::vector<Registration> found;
    for (const auto &[name, entry] : entries_) {
        if (entry.registration.service == service) {
            found.push_back(entry.registration);
            found.back().server.warmUp = std::max(Duration(0), entry.warmAt - now);
        }
    }
    return found;
}

std::ptrdiff_t ServerRegistry::countIn(const std::string &zone) const
{
    return std::count_if(entries_.begin(), entries_.end(), [&zone](const auto &item) { return item.second.registration.server.zone == zone; });
}

bool ServerRegistry::apply(TimePoint now, const DirectoryEntry &entry, bool isListed)
{
    const auto *registration = entry.value ? std::get_if<Registration>(&*entry.value) : nullptr;
    if (!registration) {
        return applyUnusable(entry);
    }
    if (const auto deletion = deletions_.find(entry.name); deletion != deletions_.end() && entry.revision <= deletion->second.revision) {
        // A relay may send an older revision.
        return false;
    }
    Entry &known = entries_[entry.name];
    known.isListed = known.isListed || isListed;
    if (entry.revision < known.revision) {
        return false;
    }
    known.removeAt.reset();
    deletions_.erase(entry.name);
    const TimePoint warmAt = now + registration->server.warmUp;
    // A server may become cold at any time, not only when it starts.
    const bool becameCold = entry.revision > known.revision && registration->server.warmUp > Duration(0) && warmAt > known.warmAt + WarmUpTolerance;
    const bool hasChanged = known.revision == 0 || becameCold || !isEqualExceptWarmUp(known.registration, *registration);
    if (entry.revision > known.revision) {
        // Peers are notified even if nothing has changed, since they may have received a different state in between.
        known.revision = entry.revision;
        known.sequence = ++sequence_;
        setText(known, entry.text);
        known.warmAt = warmAt;
    } else if (known.text.empty()) {
        setText(known, entry.text);
    }
    if (hasChanged) {
        known.registration = *registration;
    }
    return hasChanged;
}

bool ServerRegistry::setForwarding(bool isForwarding)
{
    const bool wasForwarding = std::exchange(isForwarding_, isForwarding);
    if (isForwarding) {
        return !wasForwarding && missingTexts_ > 0;
    }
    if (wasForwarding) {
        for (auto &[name, entry] : entries_) {
            setText(entry, {});
            entry.text.shrink_to_fit();
        }
    }
    return false;
}

void ServerRegistry::setText(Entry &entry, const std::string &text)
{
    missingTexts_ -= entry.isTextMissing ? 1 : 0;
    entry.isTextMissing = !isForwarding_;
    missingTexts_ += entry.isTextMissing ? 1 : 0;
    entry.text = isForwarding_ ? text : std::string();
}

bool ServerRegistry::applyUnusable(const DirectoryEntry &entry)
{
    const auto found = entries_.find(entry.name);
    const auto deletion = deletions_.find(entry.name);
    const std::int64_t known = found != entries_.end() ? found->second.revision : deletion != deletions_.end() ? deletion->second.revision : 0;
    if (entry.revision <= known) {
        return false;
    }
    unusable_.push_back({entry.name, entry.revision, std::nullopt, false, {}, entry.fault});
    if (found == entries_.end()) {
        recordDeletion(entry.name, entry.revision);
        return false;
    }
    // No grace period: the store is reachable and contains a different object.
    found->second.deletedRevision = entry.revision;
    erase(found);
    return true;
}

std::vector<DirectoryEntry> ServerRegistry::takeUnusable()
{
    return std::exchange(unusable_, {});
}

std::int64_t ServerRegistry::sequence() const
{
    return sequence_;
}

std::optional<std::vector<DirectoryEntry>> ServerRegistry::changedSince(std::int64_t sequence) const
{
    const bool isFullList = sequence == 0;
    if (missingTexts_ > 0) {
        // This entry VM has just become a relay and lists the servers again.
        return std::nullopt;
    }
    if (!isFullList && (sequence > sequence_ || sequence < discardedSequence_)) {
        return std::nullopt;
    }
    std::vector<DirectoryEntry> changed;
    for (const auto &[name, entry] : entries_) {
        if (entry.sequence > sequence) {
            changed.push_back({name, entry.revision, std::nullopt, false, entry.text});
        }
    }
    for (const auto &[name, deletion] : deletions_) {
        if (!isFullList && deletion.sequence > sequence) {
            changed.push_back({name, deletion.revision, std::nullopt, true, {}});
        }
    }
    return changed;
}

bool ServerRegistry::remove(TimePoint now, std::map<std::string, Entry>::iterator entry, std::int64_t storeRevision)
{
    entry->second.deletedRevision = std::max(entry->second.revision, storeRevision);
    if (graceUntil_ && now < *graceUntil_) {
        if (!entry->second.removeAt) {
            entry->second.removeAt = graceUntil_;
        }
        return false;
    }
    erase(entry);
    return true;
}

void ServerRegistry::erase(std::map<std::string, Entry>::iterator entry)
{
    recordDeletion(entry->first, entry->second.deletedRevision);
    missingTexts_ -= entry->second.isTextMissing ? 1 : 0;
    entries_.erase(entry);
}

void ServerRegistry::recordDeletion(const std::string &name, std::int64_t revision)
{
    deletions_.insert_or_assign(name, Deletion{revision, ++sequence_});
    if (deletions_.size() > MaxDeletions) {
        const auto isOlder = [](const auto &left, const auto &right) { return left.second.sequence < right.second.sequence; };
        const auto oldest = std::min_element(deletions_.begin(), deletions_.end(), isOlder);
        discardedSequence_ = oldest->second.sequence;
        deletions_.erase(oldest);
    }
}

} // namespace Cloverbarrow
