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
// All entry VMs of a zone have asked by then, also slow ones after they were all started anew (0.1 core: 1.5 s); were places told before, each would
// think itself one of few.
constexpr Duration CountingTime = seconds(2);
// An entry VM that starts again takes its place back by then, and bounds that places share out have room for one change within this time.
constexpr Duration GapsStay = seconds(10);
// Each proof names them, some 20 bytes each. With three, two may end together with the relay.
constexpr std::size_t MostStandbys = 3;
// This entry VM's own, when it relays.
constexpr int OwnPlace = 0;

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

std::optional<FleetPlace> FleetEstimate::followerAsked(TimePoint now, const std::string &follower)
{
    std::erase_if(followers_, [now](const auto &entry) { return now - entry.second.askedAt > FollowerStays; });
    countingSince_ = countingSince_.value_or(now);
    closeGaps(now);
    auto found = followers_.find(follower);
    if (found == followers_.end()) {
        found = followers_.emplace(follower, Follower{now, freePlace()}).first;
    }
    found->second.askedAt = now;
    return hasCounted(now) ? std::optional(FleetPlace{found->second.place, places()}) : std::nullopt;
}

std::optional<FleetPlace> FleetEstimate::ownPlace(TimePoint now)
{
    countingSince_ = countingSince_.value_or(now);
    return hasCounted(now) ? std::optional(FleetPlace{OwnPlace, places()}) : std::nullopt;
}

void FleetEstimate::stopCounting()
{
    countingSince_.reset();
}

int FleetEstimate::freePlace() const
{
    int place = OwnPlace + 1;
    const auto isTaken = [&place](const auto &entry) { return entry.second.place == place; };
    while (std::any_of(followers_.begin(), followers_.end(), isTaken)) {
        ++place;
    }
    return place;
}

void FleetEstimate::closeGaps(TimePoint now)
{
    if (freePlace() >= places()) {
        gapsSince_.reset();
        return;
    }
    gapsSince_ = gapsSince_.value_or(now);
    if (now - *gapsSince_ < GapsStay) {
        return;
    }
    gapsSince_.reset();
    std::vector<Follower *> inOrder;
    for (auto &[address, follower] : followers_) {
        inOrder.push_back(&follower);
    }
    std::sort(inOrder.begin(), inOrder.end(), [](const Follower *left, const Follower *right) { return left->place < right->place; });
    int place = OwnPlace;
    for (Follower *follower : inOrder) {
        follower->place = ++place;
    }
}

int FleetEstimate::places() const
{
    int count = 1;
    for (const auto &[address, follower] : followers_) {
        count = std::max(count, follower.place + 1);
    }
    return count;
}

bool FleetEstimate::hasCounted(TimePoint now) const
{
    return countingSince_ && now - *countingSince_ >= CountingTime;
}

std::vector<std::string> FleetEstimate::followers() const
{
    std::vector<std::string> addresses;
    for (const auto &[address, follower] : followers_) {
        addresses.push_back(address);
    }
    return addresses;
}

std::vector<std::string> FleetEstimate::standbys(TimePoint now) const
{
    std::map<int, std::string> byPlace;
    for (const auto &[address, follower] : followers_) {
        if (now - follower.askedAt <= FollowerStays) {
            byPlace.emplace(follower.place, address);
        }
    }
    std::vector<std::string> addresses;
    for (const auto &[place, address] : byPlace) {
        if (addresses.size() < MostStandbys) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

int FleetEstimate::countedInZone(TimePoint now) const
{
    const auto asks = [now](const auto &entry) { return now - entry.second.askedAt <= FollowerStays; };
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
