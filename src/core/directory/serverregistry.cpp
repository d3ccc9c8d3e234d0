/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/serverregistry.h"

namespace Cloverbarrow
{

namespace
{
// Backend servers whose entries lapsed while the store was away register again within about two seconds.
constexpr Duration ReturnGrace = seconds(2);
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
            isNews = remove(now, entry) || isNews;
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
            isNews = remove(now, found) || isNews;
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
    const bool isNews = known.revision == 0 || !(known.registration == *registration);
    known.revision = entry.revision;
    known.registration = *registration;
    return isNews;
}

bool ServerRegistry::remove(TimePoint now, std::map<std::string, Entry>::iterator entry)
{
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
