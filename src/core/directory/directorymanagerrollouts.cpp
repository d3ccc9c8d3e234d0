/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/directorymanager.h"

#include <utility>

// Rollouts: orders in the store, counts of answers by version, and decisions.

namespace Cloverbarrow
{

bool DirectoryManager::applyRolloutList(TimePoint now, const DirectoryListed &event, bool isComplete, DirectoryActions &actions)
{
    logFaults(event.entries, actions);
    rolloutTable_.applyListPage(event.entries);
    if (isComplete) {
        rolloutTable_.endList(rollouts_.listedStoreRevision());
    }
    const bool hasChanged = updateRollouts(now, actions);
    return hasChanged || (isComplete && publishedVersion_ == 0);
}

bool DirectoryManager::updateRollouts(TimePoint now, DirectoryActions &actions)
{
    std::vector<StoredRollout> orders;
    for (const DirectoryEntry *entry : rolloutTable_.existing()) {
        if (const auto *rollout = entry->value ? std::get_if<Rollout>(&*entry->value) : nullptr) {
            orders.push_back({*rollout, entry->revision});
        }
    }
    if (!rolloutCoordinator_.apply(now, orders)) {
        return false;
    }
    for (const StoredRollout &order : orders) {
        const auto shift = rolloutCoordinator_.shiftFor(order.rollout.service);
        actions.emplace_back(
            LogDirectoryEvent{"rollout", order.rollout.service + " to " + shift->targetVersion + ", share " + std::to_string(shift->targetShare)});
    }
    return true;
}

void DirectoryManager::tickRollouts(TimePoint now, DirectoryActions &actions)
{
    const RolloutPeers peers{election_.isRelaying(), source_, election_.otherRelays()};
    for (RolloutCoordinator::Message &message : rolloutCoordinator_.takeDueMessages(now, peers)) {
        actions.emplace_back(SendRolloutReports{std::move(message.peer), std::move(message.reports)});
    }
    for (WriteRolloutStatus &write : rolloutCoordinator_.takeDueWrites(now, peers)) {
        actions.emplace_back(std::move(write));
    }
}

void DirectoryManager::recordVersionOutcome(const std::string &service, const VersionOutcome &outcome)
{
    rolloutCoordinator_.record(service, outcome);
}

void DirectoryManager::rolloutReportsReceived(TimePoint now, const RolloutReports &reports)
{
    rolloutCoordinator_.onReports(now, reports);
}

void DirectoryManager::on(TimePoint, const RolloutStatusWritten &, DirectoryActions &)
{
    // The watch shows whether the write was applied; it is repeated if it was not.
}

} // namespace Cloverbarrow
