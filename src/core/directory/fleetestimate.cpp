/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/fleetestimate.h"

#include <algorithm>
#include <cmath>

namespace Cloverbarrow
{

namespace
{

// Until a relay has counted for some time; the users' smallest deployments have 13 to 18 entry VMs.
constexpr int Initial = 20;
// Some entry VMs follow the store alone and are not counted.
constexpr double Margin = 1.2;
// Each change makes all budgets anew; smaller ones are within the margin.
constexpr double Step = 1.1;
// Followers ask every 0.4 s; one that has not asked for so long has ended or follows the store alone.
constexpr Duration FollowerStays = seconds(5);
// Entry VMs that were killed together are back by then, and the budgets' windows of ten seconds are over.
constexpr Duration HoldTime = seconds(12);

} // namespace

FleetEstimate::FleetEstimate(int zones)
    : zones_(std::max(1, zones))
    , entryVms_(Initial)
{
}

void FleetEstimate::setZones(int zones)
{
    zones_ = std::max(1, zones);
}

void FleetEstimate::followerAsked(TimePoint now, const std::string &follower)
{
    followers_.insert_or_assign(follower, now);
    std::erase_if(followers_, [now](const auto &entry) { return now - entry.second > FollowerStays; });
}

int FleetEstimate::countedInZone(TimePoint now) const
{
    const auto asks = [now](const auto &entry) { return now - entry.second <= FollowerStays; };
    return 1 + static_cast<int>(std::count_if(followers_.begin(), followers_.end(), asks));
}

bool FleetEstimate::told(TimePoint now, int inZone)
{
    const int next = std::max(1, static_cast<int>(std::ceil(Margin * inZone * zones_)));
    if (!heldUntil_) {
        heldUntil_ = now + HoldTime;
    }
    if (next < entryVms_ && now < *heldUntil_) {
        return false;
    }
    heldUntil_ = now + HoldTime;
    if (next > entryVms_ && next <= entryVms_ * Step) {
        return false;
    }
    const bool isChanged = next != entryVms_;
    entryVms_ = next;
    return isChanged;
}

int FleetEstimate::entryVms() const
{
    return entryVms_;
}

} // namespace Cloverbarrow
