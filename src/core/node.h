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

/// An event of one service.
struct ForService {
    std::string service;
    ServiceEvent event;
};

/// Time has passed for the services only; comes more often than ControlTick while requests are under way.
struct ServicesTick {
};

using NodeEvent = std::variant<ForService, ControlEvent, ServicesTick, LimitsReported>;

/// An action of one service.
struct OfService {
    std::string service;
    ServiceAction action;

    bool operator==(const OfService &) const = default;
};

using NodeAction = std::variant<OfService, ControlAction>;
using NodeActions = std::vector<NodeAction>;

/// All decisions of one entry VM: the control shard, a shard for each service, and what these tell each
/// other. It does no I/O, reads no clock and starts no thread: the same events with the same seed give the same
/// actions. Each shard stands under its own lock and no two locks are held at once, so several threads may call.
class Node
{
public:
    Node(ControlSettings settings, PickPolicy policy);

    /// Takes an event. @param actions receives what the adapters are to do, in order.
    void handle(TimePoint now, const NodeEvent &event, NodeActions &actions);

    /// @return the intent in force, or nullptr.
    std::shared_ptr<const IntentInForce> intent() const;
    /// @return what to tell a peer.
    Heartbeat heartbeat(TimePoint now, const std::string &receiverAddress);
    /// @return requests and payouts under way.
    WorkLeft workLeft() const;

    /// Calls @p look with the control shard under its lock.
    template<typename Look>
    auto withControl(const Look &look) const
    {
        const std::lock_guard lock(controlMutex_);
        return look(control_);
    }

    /// Calls @p look with each service shard under its lock.
    template<typename Look>
    void withServices(const Look &look) const
    {
        for (const auto &shard : shards()) {
            const std::lock_guard lock(shard->mutex);
            look(shard->name, shard->shard);
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
    void handleService(TimePoint now, const ForService &event, NodeActions &actions, std::vector<NodeEvent> &internal);
    void handleControl(TimePoint now, const ControlEvent &event, NodeActions &actions, std::vector<NodeEvent> &internal);
    void install(const std::shared_ptr<const IntentInForce> &intent, std::vector<NodeEvent> &internal);
    /// Takes reports of peers on request limits.
    void takeLimits(const LimitsReported &limits, std::vector<NodeEvent> &internal);
    void resize(const FleetResized &fleet, std::vector<NodeEvent> &internal);
    void spread(const CrashVerdictsReached &reached, std::vector<NodeEvent> &internal);
    void tellLeaving(std::vector<NodeEvent> &internal) const;
    void tellAll(const ServiceEvent &event, std::vector<NodeEvent> &internal) const;
    ShardPointer findShard(const std::string &service) const;
    std::vector<ShardPointer> shards() const;

    ControlSettings settings_;
    PickPolicy policy_;
    mutable std::mutex controlMutex_;
    ControlShard control_;
    mutable std::mutex mapMutex_; ///< Guards the map, not the shards.
    std::map<std::string, ShardPointer> services_;
    std::shared_ptr<const IntentInForce> intent_;
    Latest<int> entryVms_{1};
    Latest<std::shared_ptr<const CrashVerdicts>> crashVerdicts_{nullptr};
    std::map<std::string, LimitReport> limitReports_; ///< Newest of each server, guarded by the map's mutex.
};

} // namespace Cloverbarrow
