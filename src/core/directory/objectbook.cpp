/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/objectbook.h"

namespace Cloverbarrow
{

bool ObjectBook::listed(const std::vector<DirectoryEntry> &entries)
{
    bool hasChanged = false;
    for (const DirectoryEntry &entry : entries) {
        hasChanged = put(entry, true) || hasChanged;
    }
    return hasChanged;
}

bool ObjectBook::listEnded(std::int64_t storeRevision)
{
    bool hasChanged = false;
    for (auto &[name, page] : pages_) {
        const bool isGone = !page.isListed && !page.entry.isDeleted && page.entry.revision <= storeRevision;
        page.isListed = false;
        if (isGone) {
            page = {{name, storeRevision, std::nullopt, true, {}}, ++sequence_, false};
            hasChanged = true;
        }
    }
    return hasChanged;
}

bool ObjectBook::changed(const std::vector<DirectoryEntry> &entries)
{
    bool hasChanged = false;
    for (const DirectoryEntry &entry : entries) {
        hasChanged = put(entry, false) || hasChanged;
    }
    return hasChanged;
}

std::vector<const DirectoryEntry *> ObjectBook::present() const
{
    std::vector<const DirectoryEntry *> all;
    for (const auto &[name, page] : pages_) {
        if (!page.entry.isDeleted) {
            all.push_back(&page.entry);
        }
    }
    return all;
}

const DirectoryEntry *ObjectBook::find(const std::string &name) const
{
    const auto found = pages_.find(name);
    return found == pages_.end() ? nullptr : &found->second.entry;
}

std::int64_t ObjectBook::sequence() const
{
    return sequence_;
}

std::optional<std::vector<DirectoryEntry>> ObjectBook::changedSince(std::int64_t sequence) const
{
    if (sequence > sequence_) {
        return std::nullopt;
    }
    std::vector<DirectoryEntry> changes;
    for (const auto &[name, page] : pages_) {
        const bool isWanted = page.sequence > sequence && (sequence > 0 || !page.entry.isDeleted);
        if (isWanted) {
            changes.push_back({name, page.entry.revision, std::nullopt, page.entry.isDeleted, page.entry.text});
        }
    }
    return changes;
}

bool ObjectBook::put(const DirectoryEntry &entry, bool isListed)
{
    const auto [position, isNew] = pages_.try_emplace(entry.name);
    Page &page = position->second;
    page.isListed = page.isListed || isListed;
    if (!isNew && entry.revision <= page.entry.revision) {
        return false;
    }
    page.entry = entry;
    page.sequence = ++sequence_;
    return true;
}

std::vector<NamedCrashReport> crashReportsIn(const ObjectBook &objects)
{
    std::vector<NamedCrashReport> reports;
    for (const DirectoryEntry *entry : objects.present()) {
        if (const auto *report = entry->value ? std::get_if<CrashReport>(&*entry->value) : nullptr) {
            reports.push_back({entry->name, *report});
        }
    }
    return reports;
}

std::vector<std::string> evacuatedZonesIn(const ObjectBook &objects)
{
    std::vector<std::string> zones;
    for (const DirectoryEntry *entry : objects.present()) {
        if (const auto *evacuation = entry->value ? std::get_if<ZoneEvacuation>(&*entry->value) : nullptr) {
            zones.push_back(evacuation->zone);
        }
    }
    return zones;
}

} // namespace Cloverbarrow
