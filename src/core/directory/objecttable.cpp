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
    for (auto &[name, record] : records_) {
        const bool isGone = !record.isListed && !record.entry.isDeleted && record.entry.revision <= storeRevision;
        record.isListed = false;
        if (isGone) {
            record = {{name, storeRevision, std::nullopt, true, {}}, ++sequence_, false};
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
    for (const auto &[name, record] : records_) {
        if (!record.entry.isDeleted) {
            all.push_back(&record.entry);
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
    for (const auto &[name, record] : records_) {
        const bool isWanted = record.sequence > sequence && (sequence > 0 || !record.entry.isDeleted);
        if (isWanted) {
            changes.push_back({name, record.entry.revision, std::nullopt, record.entry.isDeleted, record.entry.text});
        }
    }
    return changes;
}

bool ObjectTable::apply(const DirectoryEntry &entry, bool isListed)
{
    const auto [position, isNew] = records_.try_emplace(entry.name);
    Record &record = position->second;
    record.isListed = record.isListed || isListed;
    if (!isNew && entry.revision <= record.entry.revision) {
        return false;
    }
    record.entry = entry;
    record.sequence = ++sequence_;
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
