/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/peersearch.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// Twice as many as a relay names at a time.
constexpr std::size_t MaxKnownPeers = 16;
// Answers that never arrive are forgotten as further peers are asked.
constexpr std::size_t MaxAsked = 16;

bool contains(const std::vector<std::string> &addresses, const std::string &address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

/// Puts @p added in front of @p known.
void merge(std::vector<std::string> &known, std::vector<std::string> added)
{
    for (std::string &address : known) {
        if (added.size() < MaxKnownPeers && !contains(added, address)) {
            added.push_back(std::move(address));
        }
    }
    known = std::move(added);
}

} // namespace

void PeerSearch::addPeers(const PeerAddresses &peers)
{
    merge(peers_.sameZone, peers.sameZone);
    merge(peers_.otherZones, peers.otherZones);
}

std::vector<std::string> PeerSearch::takeDue(TimePoint now, const std::vector<std::string> &excluded)
{
    std::vector<std::string> due;
    if (now < nextAt_) {
        return due;
    }
    nextAt_ = now + Interval;
    ++turn_;
    choose(peers_.sameZone, SameZonePeers, excluded, due);
    choose(peers_.otherZones, OtherZonePeers, excluded, due);
    for (const std::string &address : due) {
        addAsked(address);
    }
    return due;
}

void PeerSearch::choose(const std::vector<std::string> &peers, std::size_t count, const std::vector<std::string> &excluded, std::vector<std::string> &chosen)
{
    std::vector<std::string> candidates;
    for (const std::string &peer : peers) {
        if (!contains(excluded, peer) && !contains(chosen, peer)) {
            candidates.push_back(peer);
        }
    }
    for (std::size_t index = 0; index < std::min(count, candidates.size()); ++index) {
        chosen.push_back(candidates[(turn_ * count + index) % candidates.size()]);
    }
}

void PeerSearch::addAsked(const std::string &address)
{
    if (asked_.size() >= MaxAsked) {
        asked_.erase(asked_.begin());
    }
    asked_.push_back(address);
}

bool PeerSearch::takeAnswered(const std::string &address)
{
    const auto found = std::find(asked_.begin(), asked_.end(), address);
    if (found == asked_.end()) {
        return false;
    }
    asked_.erase(found);
    return true;
}

void PeerSearch::reset()
{
    nextAt_ = TimePoint();
    asked_.clear();
}

} // namespace Cloverbarrow
