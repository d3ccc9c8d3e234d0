/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/forwardingpeers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Cloverbarrow
{

void ForwardingPeers::setAddresses(PeerAddresses addresses)
{
    addresses_ = std::move(addresses);
    const auto isKnown = [this](const std::string &peer) {
        const auto isIn = [&peer](const std::vector<std::string> &peers) { return std::find(peers.begin(), peers.end(), peer) != peers.end(); };
        return isIn(addresses_.sameZone) || isIn(addresses_.otherZones);
    };
    std::erase_if(failures_, [&isKnown](const auto &entry) { return !isKnown(entry.first); });
}

std::optional<std::string> ForwardingPeers::choose(TimePoint now, bool prefersOtherZones, Random &random) const
{
    const auto &first = prefersOtherZones ? addresses_.otherZones : addresses_.sameZone;
    const auto &second = prefersOtherZones ? addresses_.sameZone : addresses_.otherZones;
    std::vector<std::string> candidates = usable(now, first);
    if (candidates.empty()) {
        candidates = usable(now, second);
    }
    return candidates.empty() ? std::nullopt : std::optional(candidates[random.below(candidates.size())]);
}

void ForwardingPeers::markUnable(TimePoint now, const std::string &peer)
{
    Failure &failure = failures_[peer];
    failure.pausedUntil = now + FirstPause * (1 << std::min(failure.count, MaxPauseDoublings));
    ++failure.count;
}

void ForwardingPeers::markAble(const std::string &peer)
{
    failures_.erase(peer);
}

std::vector<std::string> ForwardingPeers::usable(TimePoint now, const std::vector<std::string> &peers) const
{
    std::vector<std::string> able;
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(able), [this, now](const std::string &peer) {
        const auto failure = failures_.find(peer);
        return failure == failures_.end() || now >= failure->second.pausedUntil;
    });
    return able;
}

} // namespace Cloverbarrow
