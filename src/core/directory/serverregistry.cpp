/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/serverregistry.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{
// Backend servers whose entries lapsed while the store was away register again within about two seconds.
constexpr Duration ReturnGrace = seconds(2);
// Followers that missed more than this many begin with a list.
constexpr std::size_t MaxDeletions = 1000;
/// @return whether the newer one tells nothing new: the time until a server is warm passes by itself.
bool isSameButWarmer(const Registration &known, Registration newer)
{
    if (newer.server.warmUp <= known.server.warmUp) {
        newer.server.warmUp = known.server.warmUp;
    }
    return known == newer;
}

} // namespace

bool ServerRegistry::listed(TimePoint, const std::vector<DirectoryEntry> &entries)
{
    bool isNews = false;
    for (const DirectoryEntry &entry : entries) {
        isNews = put(entry, true) || isNews;
    }
    return isNews;
}

bool ServerRegistry::listEnded(TimePoint now)
{
    bool isNews = false;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto next = std::next(entry);
        if (!entry->second.isListed) {
            isNews = remove(now, entry, entry->second.revision) || isNews;
        } else {
            entry->second.isListed = false;
        }
        entry = next;
    }
    return isNews;
}

void ServerRegistry::listBroken()
{
    for (auto &[name, entry] : entries_) {
        entry.isListed = false;
    }
}

bool ServerRegistry::changed(TimePoint now, const std::vector<DirectoryEntry> &entries)
{
    bool isNews = false;
    for (const DirectoryEntry &entry : entries) {
        if (!entry.isDeleted) {
            isNews = put(entry, false) || isNews;
        } else if (const auto found = entries_.find(entry.name); found != entries_.end() && entry.revision >= found->second.revision) {
            isNews = remove(now, found, entry.revision) || isNews;
        }
    }
    return isNews;
}

void ServerRegistry::storeReturned(TimePoint now)
{
    graceUntil_ = now + ReturnGrace;
}

bool ServerRegistry::tick(TimePoint now)
{
    return std::erase_if(entries_, [now](const auto &item) { return item.second.goneAt && now >= *item.second.goneAt; }) > 0;
}

bool ServerRegistry::isEmpty() const
{
    return entries_.empty();
}

std::vector<Registration> ServerRegistry::of(const std::string &service) const
{
    std::vector<Registration> found;
    for (const auto &[name, entry] : entries_) {
        if (entry.registration.service == service) {
            found.push_back(entry.registration);
        }
    }
    return found;
}

bool ServerRegistry::put(const DirectoryEntry &entry, bool isListed)
{
    const auto *registration = entry.value ? std::get_if<Registration>(&*entry.value) : nullptr;
    if (!registration) {
        // An object that cannot be read leaves what was known of it.
        if (const auto found = entries_.find(entry.name); found != entries_.end()) {
            found->second.isListed = found->second.isListed || isListed;
        }
        return false;
    }
    Entry &known = entries_[entry.name];
    known.isListed = known.isListed || isListed;
    if (entry.revision < known.revision) {
        return false;
    }
    known.goneAt.reset();
    deletions_.erase(entry.name);
    const bool isNews = known.revision == 0 || !isSameButWarmer(known.registration, *registration);
    if (!isNews) {
        // Peers need not hear of it either.
        return false;
    }
    known.revision = entry.revision;
    known.text = entry.text;
    known.registration = *registration;
    return true;
}

std::vector<DirectoryEntry> ServerRegistry::changedSince(std::int64_t revision) const
{
    std::vector<DirectoryEntry> changed;
    for (const auto &[name, entry] : entries_) {
        if (entry.revision > revision) {
            changed.push_back({name, entry.revision, std::nullopt, false, entry.text});
        }
    }
    for (const auto &[name, deletedAt] : deletions_) {
        if (deletedAt > revision) {
            changed.push_back({name, deletedAt, std::nullopt, true, {}});
        }
    }
    return changed;
}

bool ServerRegistry::remove(TimePoint now, std::map<std::string, Entry>::iterator entry, std::int64_t revision)
{
    deletions_.insert_or_assign(entry->first, revision);
    while (deletions_.size() > MaxDeletions) {
        deletions_.erase(
            std::min_element(deletions_.begin(), deletions_.end(), [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
    if (graceUntil_ && now < *graceUntil_) {
        if (!entry->second.goneAt) {
            entry->second.goneAt = graceUntil_;
        }
        return false;
    }
    entries_.erase(entry);
    return true;
}

} // namespace Cloverbarrow
