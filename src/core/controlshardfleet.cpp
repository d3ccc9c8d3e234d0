/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/controlshard.h"

#include <algorithm>

// The part of ControlShard that deals with other entry VMs, where these run the project's own fleet protocols.

namespace Cloverbarrow
{

namespace
{

constexpr Duration BeatInterval = seconds(1);
constexpr Duration HurriedBeatInterval = milliseconds(100);
constexpr Duration ListInterval = seconds(2);
constexpr std::size_t WatchersPerZone = 2;
// A fleet that looks smaller may only be cut in two; were connection caps raised at once, both halves together would
// open too many connections to a backend server.
constexpr Duration ShrinkInterval = seconds(60);

} // namespace

void ControlShard::on(TimePoint now, const HeartbeatReceived &event, ControlActions &actions)
{
    const Heartbeat &heartbeat = event.heartbeat;
    hasPeerAnswered_ = true;
    unansweredPeers_.erase(heartbeat.sender.peerAddress);
    membership_.merge(now, heartbeat.sender, heartbeat.members);
    if (leaving_.merge(now, heartbeat.leaving)) {
        tellLeaving(actions);
    }
    std::vector<IntentAction> intentActions;
    intent_.peerHasVersion(now, heartbeat.sender.peerAddress, heartbeat.sender.configurationVersion, intentActions);
    carryOut(std::move(intentActions), actions);
    updateFleetSize(now, actions);
}

void ControlShard::on(TimePoint now, const HeartbeatFailed &event, ControlActions &actions)
{
    unansweredPeers_.erase(event.address);
    if (const auto suspicion = membership_.contactFailed(now, event.address, random_)) {
        for (const std::string &address : suspicion->askAddresses) {
            actions.emplace_back(AskPeer{address, suspicion->subject, suspicion->subjectAddress});
        }
    }
}

void ControlShard::on(TimePoint, const PeerVouched &event, ControlActions &)
{
    membership_.vouch(event.subject);
}

void ControlShard::on(TimePoint now, const VmsListed &event, ControlActions &actions)
{
    std::vector<std::string> addresses;
    bool isNews = false;
    for (const ListedVm &vm : event.vms) {
        if (!vm.peerAddress.empty() && !vm.isLeaving) {
            addresses.push_back(vm.peerAddress);
        }
        if (!vm.isLeaving || !intent_.inForce()) {
            continue;
        }
        for (const Service &service : intent_.inForce()->configuration.services) {
            const auto isNamed = [&vm](const BackendServer &server) { return server.name == vm.name; };
            if (std::any_of(service.backendServers.begin(), service.backendServers.end(), isNamed)) {
                isNews = leaving_.sign(now, service.name, vm.name) || isNews;
            }
        }
    }
    membership_.addAddresses(addresses);
    if (isNews) {
        tellLeaving(actions);
    }
}

bool ControlShard::isWatcher() const
{
    return membership_.isRankedInZone("watch", WatchersPerZone);
}

void ControlShard::beat(TimePoint now, ControlActions &actions)
{
    if (now < nextBeat_) {
        return;
    }
    const bool isHurried = hurriedBeats_ > 0;
    hurriedBeats_ -= isHurried ? 1 : 0;
    nextBeat_ = now + (isHurried ? HurriedBeatInterval : BeatInterval);
    membership_.beat();
    for (const std::string &address : membership_.targets(random_)) {
        actions.emplace_back(SendHeartbeat{address, heartbeat(now, address)});
    }
}

void ControlShard::checkMembers(TimePoint now, ControlActions &actions)
{
    membership_.check(now);
    updateFleetSize(now, actions);
}

void ControlShard::listVms(TimePoint now, ControlActions &actions)
{
    if (now >= nextList_ && isWatcher()) {
        nextList_ = now + ListInterval;
        actions.emplace_back(ListVms{});
    }
}

void ControlShard::updateFleetSize(TimePoint now, ControlActions &actions)
{
    const int size = static_cast<int>(membership_.liveCount());
    if (size >= fleetSize_) {
        nextShrink_ = now + ShrinkInterval;
    }
    const bool isShrinkDue = size < fleetSize_ && now >= nextShrink_;
    if (size == fleetSize_ || (size < fleetSize_ && !isShrinkDue)) {
        return;
    }
    fleetSize_ = isShrinkDue ? fleetSize_ - 1 : size;
    nextShrink_ = now + ShrinkInterval;
    actions.emplace_back(FleetResized{fleetSize_, eventsHandled_});
}

} // namespace Cloverbarrow
