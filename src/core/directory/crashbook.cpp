/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/crashbook.h"

namespace Cloverbarrow
{

bool CrashBook::listed(const std::vector<DirectoryEntry> &entries)
{
    bool isNews = false;
    for (const DirectoryEntry &entry : entries) {
        isNews = put(entry, true) || isNews;
    }
    return isNews;
}

bool CrashBook::listEnded(std::int64_t storeRevision)
{
    bool isNews = false;
    for (auto &[name, page] : pages_) {
        const bool isGone = !page.isListed && !page.entry.isDeleted && page.entry.revision <= storeRevision;
        page.isListed = false;
        if (isGone) {
            page = {{name, storeRevision, std::nullopt, true, {}}, ++sequence_, false};
            isNews = true;
        }
    }
    return isNews;
}

bool CrashBook::changed(const std::vector<DirectoryEntry> &entries)
{
    bool isNews = false;
    for (const DirectoryEntry &entry : entries) {
        isNews = put(entry, false) || isNews;
    }
    return isNews;
}

std::vector<NamedCrashReport> CrashBook::reports() const
{
    std::vector<NamedCrashReport> all;
    for (const auto &[name, page] : pages_) {
        if (const auto *report = page.entry.value ? std::get_if<CrashReport>(&*page.entry.value) : nullptr) {
            all.push_back({name, *report});
        }
    }
    return all;
}

const DirectoryEntry *CrashBook::find(const std::string &entryVm) const
{
    const auto found = pages_.find(entryVm);
    return found == pages_.end() ? nullptr : &found->second.entry;
}

std::int64_t CrashBook::sequence() const
{
    return sequence_;
}

std::optional<std::vector<DirectoryEntry>> CrashBook::changedSince(std::int64_t sequence) const
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

bool CrashBook::put(const DirectoryEntry &entry, bool isListed)
{
    const auto [place, isNew] = pages_.try_emplace(entry.name);
    Page &page = place->second;
    page.isListed = page.isListed || isListed;
    if (!isNew && entry.revision <= page.entry.revision) {
        return false;
    }
    page.entry = entry;
    page.sequence = ++sequence_;
    return true;
}

} // namespace Cloverbarrow
