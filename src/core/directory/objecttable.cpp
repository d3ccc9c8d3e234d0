/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/objecttable.h"

namespace Cloverbarrow
{

bool ObjectTable::applyListPage(const std::vector<DirectoryEntry> &entries)
{
    bool hasChanged = false;
    for (const DirectoryEntry &entry : entries) {
        hasChanged = apply(entry, true) || hasChanged;
    }
    return hasChanged;
}

bool ObjectTable::endList(std::int64_t storeRevision)
{
    bool hasChanged = false;
    for (auto &[name, page] : records_) {
        const bool isGone = !page.isListed && !page.entry.isDeleted && page.entry.revision <= storeRevision;
        page.isListed = false;
        if (isGone) {
            page = {{name, storeRevision, std::nullopt, true, {}}, ++sequence_, false};
            hasChanged = true;
        }
    }
    return hasChanged;
}

bool ObjectTable::applyChanges(const std::vector<DirectoryEntry> &entries)
{
    bool hasChanged = false;
    for (const DirectoryEntry &entry : entries) {
        hasChanged = apply(entry, false) || hasChanged;
    }
    return hasChanged;
}

std::vector<const DirectoryEntry *> ObjectTable::existing() const
{
    std::vector<const DirectoryEntry *> all;
    for (const auto &[name, page] : records_) {
        if (!page.entry.isDeleted) {
            all.push_back(&page.entry);
        }
    }
    return all;
}

const DirectoryEntry *ObjectTable::find(const std::string &name) const
{
    const auto found = records_.find(name);
    return found == records_.end() ? nullptr : &found->second.entry;
}

std::int64_t ObjectTable::sequence() const
{
    return sequence_;
}

std::optional<std::vector<DirectoryEntry>> ObjectTable::changedSince(std::int64_t sequence) const
{
    if (sequence > sequence_) {
        return std::nullopt;
    }
    std::vector<DirectoryEntry> changes;
    for (const auto &[name, page] : records_) {
        const bool isWanted = page.sequence > sequence && (sequence > 0 || !page.entry.isDeleted);
        if (isWanted) {
            changes.push_back({name, page.entry.revision, std::nullopt, page.entry.isDeleted, page.entry.text});
        }
    }
    return changes;
}

bool ObjectTable::apply(const DirectoryEntry &entry, bool isListed)
{
    const auto [position, isNew] = records_.try_emplace(entry.name);
    Record &page = position->second;
    page.isListed = page.isListed || isListed;
    if (!isNew && entry.revision <= page.entry.revision) {
        return false;
    }
    page.entry = entry;
    page.sequence = ++sequence_;
    return true;
}

std::vector<NamedCrashReport> crashReportsIn(const ObjectTable &objects)
{
    std::vector<NamedCrashReport> reports;
    for (const DirectoryEntry *entry : objects.existing()) {
        if (const auto *report = entry->value ? std::get_if<CrashReport>(&*entry->value) : nullptr) {
            reports.push_back({entry->name, *report});
        }
    }
    return reports;
}

std::vector<std::string> evacuatedZonesIn(const ObjectTable &objects)
{
    std::vector<std::string> zones;
    for (const DirectoryEntry *entry : objects.existing()) {
        if (const auto *evacuation = entry->value ? std::get_if<ZoneEvacuation>(&*entry->value) : nullptr) {
            zones.push_back(evacuation->zone);
        }
    }
    return zones;
}

} // namespace Cloverbarrow
