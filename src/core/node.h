/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/controlevents.h"
#include "core/controlshard.h"
#include "core/requests/serviceevents.h"
#include "core/requests/serviceshard.h"
#include "core/servers/pickpolicy.h"
#include "core/support/latest.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// An event for the service with this name.
struct EventForService {
    std::string service;
    ServiceEvent event;
};

/// Time has passed, for the services only; sent more often than ControlTick while requests are in flight.
struct ServicesTick {
};

using NodeEvent = std::variant<EventForService, ControlEvent, ServicesTick, LimitsReported, SlowServersReported, ForwardingPeersChanged>;

/// An action of the service with this name.
struct ActionOfService {
    std::string service;
    ServiceAction action;

    bool operator==(const ActionOfService &) const = default;
};

using NodeAction = std::variant<ActionOfService, ControlAction>;
using NodeActions = std::vector<NodeAction>;

/// All decisions of one entry VM: the control shard, one shard per service, and the events that these send to each
/// other. It does no I/O, reads no clock and starts no thread, so the same events with the same seed give the same
/// actions. Thread-safe: each shard has its own lock, and no two locks are held at once.
class Node
{
public:
    Node(ControlSettings settings, PickPolicy policy);

    /// Handles an event. @param actions the actions for the adapters are appended to it, in order.
    void handle(TimePoint now, const NodeEvent &event, NodeActions &actions);

    /// @return the current intent, or nullptr.
    std::shared_ptr<const ActiveIntent> intent() const;
    /// @return the heartbeat to send to the peer at @p receiverAddress.
    Heartbeat heartbeat(TimePoint now, const std::string &receiverAddress);
    /// @return the number of unfinished requests and payouts.
    RemainingWork remainingWork() const;

    /// Calls @p inspect with the control shard while holding its lock.
    template<typename Inspect>
    auto withControl(const Inspect &inspect) const
    {
        const std::lock_guard lock(controlMutex_);
        return inspect(control_);
    }

    /// Calls @p inspect with the name and shard of each service while holding the lock of that shard.
    template<typename Inspect>
    void withServices(const Inspect &inspect) const
    {
        for (const auto &shard : shards()) {
            const std::lock_guard lock(shard->mutex);
            inspect(shard->name, shard->shard);
        }
    }

private:
    struct GuardedShard {
        GuardedShard(std::string shardName, ServiceShard initial)
            : name(std::move(shardName))
            , shard(std::move(initial))
        {
        }

        std::string name;
        mutable std::mutex mutex;
        ServiceShard shard;
    };
    using ShardPointer = std::shared_ptr<GuardedShard>;

    void handleOne(TimePoint now, const NodeEvent &event, NodeActions &actions, std::vector<NodeEvent> &internal);
    void handleService(TimePoint now, const EventForService &event, NodeActions &actions, std::vector<NodeEvent> &internal);
    void handleControl(TimePoint now, const ControlEvent &event, NodeActions &actions, std::vector<NodeEvent> &internal);
    void install(const std::shared_ptr<const ActiveIntent> &intent, std::vector<NodeEvent> &internal);
    /// Stores the reports of peers on request limits and passes them to all services.
    void recordLimitReports(const LimitsReported &limits, std::vector<NodeEvent> &internal);
    void distributePeers(const ForwardingPeersChanged &peers, std::vector<NodeEvent> &internal);
    void scheduleExit(TimePoint at, std::vector<NodeEvent> &internal);
    void resize(const UpdateFleetSize &fleet, std::vector<NodeEvent> &internal);
    void distributeBlocklist(const UpdateBlocklist &update, std::vector<NodeEvent> &internal);
    void notifyLeavingChanged(std::vector<NodeEvent> &internal) const;
    void enqueueForAllServices(const ServiceEvent &event, std::vector<NodeEvent> &internal) const;
    ShardPointer findShard(const std::string &service) const;
    std::vector<ShardPointer> shards() const;

    ControlSettings settings_;
    PickPolicy policy_;
    mutable std::mutex controlMutex_;
    ControlShard control_;
    mutable std::mutex mapMutex_; ///< Guards services_ and the members below, but not the shards.
    std::map<std::string, ShardPointer> services_;
    std::shared_ptr<const ActiveIntent> intent_;
    Latest<int> entryVms_{1};
    Latest<std::shared_ptr<const RequestBlocklist>> blocklist_{nullptr};
    Latest<PeerAddresses> forwardingPeers_{{}}; ///< Guarded by mapMutex_.
    std::optional<TimePoint> exitAt_; ///< Guarded by mapMutex_.
    std::map<std::string, LimitReport> limitReports_; ///< The newest report for each server; guarded by mapMutex_.
};

} // namespace Cloverbarrow
