/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/collectionwatch.h"
#include "core/directory/directoryevents.h"
#include "core/directory/serverregistry.h"
#include "core/fleetbudgets.h"
#include "core/random.h"

#include <memory>
#include <optional>

namespace Cloverbarrow
{

/// What one entry VM believes of routes and backend servers, followed at a store that is watched. It publishes a state
/// once both collections have been read whole, and again with each change. Operators' versions only rise.
class DirectoryKeeper
{
public:
    DirectoryKeeper(const FleetBudgets &budgets, std::uint64_t seed);

    void tick(TimePoint now, DirectoryActions &actions);
    void handle(TimePoint now, const DirectoryAnswer &answer, DirectoryActions &actions);

private:
    void on(TimePoint now, const DirectoryListed &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryChanged &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryHistoryGone &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryCallFailed &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryChecked &event, DirectoryActions &actions);

    CollectionWatch &watchOf(Collection collection);
    bool takePlans(const std::vector<DirectoryEntry> &entries, DirectoryActions &actions);
    void storeAnswered(TimePoint now, DirectoryActions &actions);
    void storeFailed(const std::string &reason, DirectoryActions &actions);
    void publish(DirectoryActions &actions);

    FleetBudgets budgets_;
    Random random_;
    CollectionWatch routing_;
    CollectionWatch servers_;
    ServerRegistry registry_;
    std::optional<RoutingPlan> plan_;
    std::int64_t published_ = 0;
    bool isStoreLost_ = false;
    bool hasAnswered_ = false;
    bool isChecking_ = false;
    TimePoint nextCheck_;
};

} // namespace Cloverbarrow
