/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/fleetestimate.h"

#include "core/support/stablehash.h"

#include <algorithm>
#include <cmath>

namespace Cloverbarrow
{

namespace
{

// Used until a relay has counted for some time; the smallest deployments have 13 to 18 entry VMs.
constexpr int InitialEntryVms = 20;
// Entry VMs that follow the store without a relay are not counted.
constexpr double UncountedMargin = 1.2;
// Each change recomputes all budgets. Relative increases up to this are covered by the margin.
constexpr double IncreaseTolerance = 1.1;
// Followers send requests every 0.4 s. One that has sent none for this long has terminated or follows the store without a relay.
constexpr Duration FollowerLifetime = seconds(5);
// Entry VMs that were killed together have restarted by then, and the 10 s windows of the budgets have passed.
constexpr Duration DecreaseDelay = seconds(12);
// All entry VMs of a zone have sent a request by then, also slow ones after a restart of all (1.5 s with 0.1 core). With ranks assigned earlier, each
// would assume that it is one of few.
constexpr Duration CountingTime = seconds(2);
// A restarted entry VM has reclaimed its rank by then. Limits that are divided by rank tolerate one change within this time.
constexpr Duration GapLifetime = seconds(10);
// Each proof names the standbys, at about 20 bytes each. With three, two may fail together with the relay.
constexpr std::size_t MaxStandbys = 3;
// Rank of the relay itself.
constexpr int RelayRank = 0;

} // namespace

FleetEstimate::FleetEstimate(int zones)
    : zones_(std::max(1, zones))
    , entryVms_(InitialEntryVms)
{
}

void FleetEstimate::setZones(int zones)
{
    zones_ = std::max(1, zones);
}

std::optional<FleetRank> FleetEstimate::onFollowerRequest(TimePoint now, const std::string &follower)
{
    countingSince_ = countingSince_.value_or(now);
    releaseRanks(now);
    auto found = followers_.find(follower);
    if (found == followers_.end()) {
        found = followers_.emplace(follower, Follower{now, lowestFreeRank(), std::nullopt}).first;
    }
    found->second.lastRequestAt = now;
    return rankAs(now, found->second.rank);
}

std::optional<FleetRank> FleetEstimate::localRank(TimePoint now)
{
    countingSince_ = countingSince_.value_or(now);
    releaseRanks(now);
    return rankAs(now, RelayRank);
}

std::optional<FleetRank> FleetEstimate::rankAs(TimePoint now, int number) const
{
    if (!hasCountedLongEnough(now)) {
        return std::nullopt;
    }
    const std::vector<bool> assigned = rankAssignments();
    FleetRank rank{number, static_cast<int>(assigned.size())};
    for (int other = 0; other < rank.count; ++other) {
        if (!assigned[static_cast<std::size_t>(other)]) {
            rank.vacant.push_back(other);
        }
    }
    return rank;
}

void FleetEstimate::releaseRanks(TimePoint now)
{
    std::erase_if(followers_, [now](const auto &entry) { return now - entry.second.lastRequestAt > FollowerLifetime; });
    compactRanks(now);
}

void FleetEstimate::stopCounting()
{
    countingSince_.reset();
}

std::vector<bool> FleetEstimate::rankAssignments() const
{
    std::vector<bool> assigned(static_cast<std::size_t>(rankCount()), false);
    assigned[RelayRank] = true;
    for (const auto &[address, follower] : followers_) {
        assigned[static_cast<std::size_t>(follower.rank)] = true;
    }
    return assigned;
}

int FleetEstimate::lowestFreeRank() const
{
    const std::vector<bool> assigned = rankAssignments();
    return static_cast<int>(std::find(assigned.begin(), assigned.end(), false) - assigned.begin());
}

void FleetEstimate::compactRanks(TimePoint now)
{
    if (lowestFreeRank() >= rankCount()) {
        gapsSince_.reset();
        return;
    }
    gapsSince_ = gapsSince_.value_or(now);
    if (now - *gapsSince_ < GapLifetime) {
        return;
    }
    gapsSince_.reset();
    std::vector<Follower *> inOrder;
    for (auto &[address, follower] : followers_) {
        inOrder.push_back(&follower);
    }
    std::sort(inOrder.begin(), inOrder.end(), [](const Follower *left, const Follower *right) { return left->rank < right->rank; });
    int rank = RelayRank;
    for (Follower *follower : inOrder) {
        follower->rank = ++rank;
    }
}

int FleetEstimate::rankCount() const
{
    int count = 1;
    for (const auto &[address, follower] : followers_) {
        count = std::max(count, follower.rank + 1);
    }
    return count;
}

bool FleetEstimate::hasCountedLongEnough(TimePoint now) const
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
    std::map<int, std::string> byRank;
    for (const auto &[address, follower] : followers_) {
        if (now - follower.lastRequestAt <= FollowerLifetime) {
            byRank.emplace(follower.rank, address);
        }
    }
    std::vector<std::string> addresses;
    for (const auto &[rank, address] : byRank) {
        if (addresses.size() < MaxStandbys) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<std::string> FleetEstimate::peersFor(const std::string &requester) const
{
    std::map<std::uint64_t, std::string> byHash;
    for (const auto &[address, follower] : followers_) {
        if (address != requester) {
            byHash.emplace(stableHash({requester, address}), address);
        }
    }
    std::vector<std::string> addresses;
    for (const auto &[hash, address] : byHash) {
        if (addresses.size() < MaxPeers) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

bool FleetEstimate::takePeersDue(TimePoint now, const std::string &follower)
{
    const auto found = followers_.find(follower);
    if (found == followers_.end() || (found->second.peersSentAt && now - *found->second.peersSentAt < PeersInterval)) {
        return false;
    }
    found->second.peersSentAt = now;
    return true;
}

int FleetEstimate::countedInZone(TimePoint now) const
{
    const auto isActive = [now](const auto &entry) { return now - entry.second.lastRequestAt <= FollowerLifetime; };
    return 1 + static_cast<int>(std::count_if(followers_.begin(), followers_.end(), isActive));
}

bool FleetEstimate::update(TimePoint now, int inZone)
{
    const int next = std::max(1, static_cast<int>(std::ceil(UncountedMargin * inZone * zones_)));
    if (!noDecreaseBefore_) {
        noDecreaseBefore_ = now + DecreaseDelay;
    }
    if (next < entryVms_ && now < *noDecreaseBefore_) {
        return false;
    }
    noDecreaseBefore_ = now + DecreaseDelay;
    if (next > entryVms_ && next <= entryVms_ * IncreaseTolerance) {
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
