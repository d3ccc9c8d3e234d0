/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/directorykeeper.h"

// The part of DirectoryKeeper that tells peers what is known here, and learns from them how many entry VMs there are.

namespace Cloverbarrow
{

std::optional<DirectoryNews> DirectoryKeeper::newsSince(Collection collection, std::int64_t since) const
{
    if (!watchOf(collection).isComplete()) {
        return std::nullopt;
    }
    if (collection == Collection::Servers) {
        auto entries = registry_.changedSince(since);
        return entries ? std::optional(DirectoryNews{registry_.sequence(), storeRevision_[indexOf(collection)], std::move(*entries)}) : std::nullopt;
    }
    if (collection == Collection::Crashes) {
        auto entries = crashBook_.changedSince(since);
        return entries ? std::optional(DirectoryNews{crashBook_.sequence(), storeRevision_[indexOf(collection)], std::move(*entries)}) : std::nullopt;
    }
    if (since > planSequence_) {
        return std::nullopt;
    }
    DirectoryNews news{planSequence_, storeRevision_[indexOf(collection)], {}};
    if (plan_ && planSequence_ > since) {
        news.entries.push_back({planEntry_.name, planEntry_.revision, std::nullopt, false, planEntry_.text});
    }
    return news;
}

std::optional<RelayProof> DirectoryKeeper::proofFor(TimePoint now, const std::string &follower)
{
    if (!seat_.isRelaying() || !currentAt_) {
        return std::nullopt;
    }
    if (!follower.empty()) {
        fleet_.followerAsked(now, follower);
    }
    const bool hearsFromStore = seat_.state() == RelaySeat::State::Holding && !isStoreLost_;
    return RelayProof{now - *currentAt_, hearsFromStore, fleet_.countedInZone(now), seat_.otherRelays()};
}

bool DirectoryKeeper::mayProveSoon() const
{
    const bool isDeciding = seat_.state() == RelaySeat::State::Deciding;
    return isDeciding || (seat_.isRelaying() && !currentAt_);
}

void DirectoryKeeper::countedInZone(TimePoint now, int entryVms, DirectoryActions &actions)
{
    if (fleet_.told(now, entryVms)) {
        actions.emplace_back(ReportDirectory{"budgets cut for entry VMs", std::to_string(fleet_.entryVms())});
        publish(actions);
    }
}

} // namespace Cloverbarrow
