/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/controlshard.h"

#include <algorithm>

// The part of ControlShard that communicates with peers, in deployments without a directory.

namespace Cloverbarrow
{

namespace
{

constexpr Duration HeartbeatInterval = seconds(1);
constexpr Duration FastHeartbeatInterval = milliseconds(100);
constexpr Duration VmListInterval = seconds(2);
constexpr std::size_t WatchersPerZone = 2;
// A fleet that seems to shrink may only be split by a network partition. If connection caps were raised at once, both parts
// together would open too many connections to a backend server.
constexpr Duration ShrinkInterval = seconds(60);

} // namespace

void ControlShard::on(TimePoint now, const HeartbeatReceived &event, ControlActions &actions)
{
    const Heartbeat &heartbeat = event.heartbeat;
    hasPeerAnswered_ = true;
    pendingSeedPeers_.erase(heartbeat.sender.peerAddress);
    membership_.merge(now, heartbeat.sender, heartbeat.members);
    if (leaving_.merge(now, heartbeat.leavingSigns)) {
        notifyLeavingChanged(actions);
    }
    std::vector<IntentAction> intentActions;
    intent_.peerVersionReceived(now, heartbeat.sender.peerAddress, heartbeat.sender.configurationVersion, intentActions);
    applyIntentActions(std::move(intentActions), actions);
    updateFleetSize(now, actions);
}

void ControlShard::on(TimePoint now, const HeartbeatFailed &event, ControlActions &actions)
{
    pendingSeedPeers_.erase(event.address);
    if (const auto suspicion = membership_.contactFailed(now, event.address, random_)) {
        for (const std::string &address : suspicion->indirectProbeAddresses) {
            actions.emplace_back(RequestIndirectContact{address, suspicion->subject, suspicion->subjectAddress});
        }
    }
}

void ControlShard::on(TimePoint, const PeerReachedIndirectly &event, ControlActions &)
{
    membership_.confirmAlive(event.subject);
}

void ControlShard::on(TimePoint now, const VmsListed &event, ControlActions &actions)
{
    std::vector<std::string> addresses;
    bool hasChanged = false;
    for (const ListedVm &vm : event.vms) {
        if (!vm.peerAddress.empty() && !vm.isLeaving) {
            addresses.push_back(vm.peerAddress);
        }
        if (!vm.isLeaving || !intent_.activeIntent()) {
            continue;
        }
        for (const Service &service : intent_.activeIntent()->configuration.services) {
            const auto isNamed = [&vm](const BackendServer &server) { return server.name == vm.name; };
            if (std::any_of(service.backendServers.begin(), service.backendServers.end(), isNamed)) {
                hasChanged = leaving_.addSign(now, service.name, vm.name) || hasChanged;
            }
        }
    }
    membership_.addAddresses(addresses);
    if (hasChanged) {
        notifyLeavingChanged(actions);
    }
}

bool ControlShard::isWatcher() const
{
    return membership_.isRankedInZone("watch", WatchersPerZone);
}

void ControlShard::sendHeartbeats(TimePoint now, ControlActions &actions)
{
    if (now < nextHeartbeat_) {
        return;
    }
    const bool isFast = fastHeartbeatsLeft_ > 0;
    fastHeartbeatsLeft_ -= isFast ? 1 : 0;
    nextHeartbeat_ = now + (isFast ? FastHeartbeatInterval : HeartbeatInterval);
    membership_.startRound();
    for (const std::string &address : membership_.heartbeatTargets(random_)) {
        actions.emplace_back(SendHeartbeat{address, heartbeat(now, address)});
    }
}

void ControlShard::checkMembers(TimePoint now, ControlActions &actions)
{
    membership_.expireSuspects(now);
    updateFleetSize(now, actions);
}

void ControlShard::listVms(TimePoint now, ControlActions &actions)
{
    if (now >= nextVmListing_ && isWatcher()) {
        nextVmListing_ = now + VmListInterval;
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
    actions.emplace_back(UpdateFleetSize{fleetSize_, eventsHandled_});
}

} // namespace Cloverbarrow
