/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/node.h"

#include "core/support/stablehash.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// Maximum number of servers whose reported limits are kept, including servers that no longer exist.
constexpr std::size_t MaxLimitReports = 4096;

/// Adds the event for the control shard, if the action reports a crash or suspicion of a server or withdraws such a report.
void forwardCrashReport(const ServiceAction &action, std::vector<NodeEvent> &internal)
{
    if (const auto *suspected = std::get_if<ReportServerSuspected>(&action)) {
        internal.emplace_back(ControlEvent(ServerSuspected{suspected->backend, suspected->fingerprint}));
    } else if (const auto *crashed = std::get_if<ReportServerCrash>(&action)) {
        internal.emplace_back(ControlEvent(ServerCrashed{crashed->backend, crashed->fingerprints}));
    } else if (const auto *recovered = std::get_if<ReportServerRecovered>(&action)) {
        internal.emplace_back(ControlEvent(ServerRecovered{recovered->backend, recovered->wasCrashed}));
    } else if (const auto *answered = std::get_if<ReportSuspectAnswered>(&action)) {
        internal.emplace_back(ControlEvent(SuspectAnswered{answered->fingerprint}));
    }
}

} // namespace

Node::Node(ControlSettings settings, PickPolicy policy)
    : settings_(settings)
    , policy_(policy)
    , control_(std::move(settings))
{
}

void Node::handle(TimePoint now, const NodeEvent &event, NodeActions &actions)
{
    std::vector<NodeEvent> internal;
    handleOne(now, event, actions, internal);
    // Events that the shards send to each other are handled before handle() returns the actions. They never form a cycle.
    for (std::size_t index = 0; index < internal.size(); ++index) {
        const NodeEvent next = std::move(internal[index]);
        handleOne(now, next, actions, internal);
    }
}

std::shared_ptr<const ActiveIntent> Node::intent() const
{
    const std::lock_guard lock(mapMutex_);
    return intent_;
}

Heartbeat Node::heartbeat(TimePoint now, const std::string &receiverAddress)
{
    const std::lock_guard lock(controlMutex_);
    return control_.heartbeat(now, receiverAddress);
}

RemainingWork Node::remainingWork() const
{
    RemainingWork work;
    withServices([&work](const std::string &, const ServiceShard &shard) {
        work.requests += shard.openRequests();
        work.payouts += shard.openPayouts();
    });
    return work;
}

void Node::handleOne(TimePoint now, const NodeEvent &event, NodeActions &actions, std::vector<NodeEvent> &internal)
{
    if (const auto *service = std::get_if<EventForService>(&event)) {
        handleService(now, *service, actions, internal);
    } else if (std::holds_alternative<ServicesTick>(event)) {
        enqueueForAllServices(Tick{}, internal);
    } else if (const auto *limits = std::get_if<LimitsReported>(&event)) {
        recordLimitReports(*limits, internal);
    } else if (const auto *slow = std::get_if<SlowServersReported>(&event)) {
        enqueueForAllServices(*slow, internal);
    } else if (const auto *peers = std::get_if<ForwardingPeersChanged>(&event)) {
        distributePeers(*peers, internal);
    } else {
        handleControl(now, std::get<ControlEvent>(event), actions, internal);
    }
}

void Node::handleService(TimePoint now, const EventForService &event, NodeActions &actions, std::vector<NodeEvent> &internal)
{
    const ShardPointer shard = findShard(event.service);
    if (!shard) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event.event)) {
            const Problem problem{503, ExecutionStatus::NotExecuted, "admit", event.service, "the service is not in force here", std::nullopt};
            actions.emplace_back(ActionOfService{event.service, Refuse{arrived->request, problem}});
        }
        return;
    }
    ServiceActions serviceActions;
    {
        const std::lock_guard lock(shard->mutex);
        shard->shard.handle(now, event.event, serviceActions);
    }
    for (ServiceAction &action : serviceActions) {
        if (const auto *leaving = std::get_if<ReportServerLeaving>(&action)) {
            internal.emplace_back(ControlEvent(ServerLeaving{event.service, leaving->backend}));
        } else if (const auto *returned = std::get_if<ReturnPermit>(&action)) {
            internal.emplace_back(ControlEvent(PermitReturned{event.service, returned->share}));
        } else {
            // Crash reports are also returned as actions, so that they are logged.
            forwardCrashReport(action, internal);
            actions.emplace_back(ActionOfService{event.service, std::move(action)});
        }
    }
}

void Node::handleControl(TimePoint now, const ControlEvent &event, NodeActions &actions, std::vector<NodeEvent> &internal)
{
    ControlActions controlActions;
    {
        const std::lock_guard lock(controlMutex_);
        control_.handle(now, event, controlActions);
    }
    for (ControlAction &action : controlActions) {
        if (const auto *permit = std::get_if<ProbePermit>(&action)) {
            internal.emplace_back(EventForService{permit->service, ProbePermitted{permit->share}});
            continue;
        }
        if (std::holds_alternative<UpdateLeavingServers>(action)) {
            notifyLeavingChanged(internal);
            continue;
        }
        if (const auto *exit = std::get_if<ScheduleExit>(&action)) {
            scheduleExit(exit->at, internal);
            continue;
        }
        if (std::holds_alternative<RefuseUnsent>(action)) {
            enqueueForAllServices(ProcessExiting{}, internal);
            continue;
        }
        if (const auto *update = std::get_if<UpdateBlocklist>(&action)) {
            distributeBlocklist(*update, internal);
            continue;
        }
        if (const auto *fleet = std::get_if<UpdateFleetSize>(&action)) {
            resize(*fleet, internal);
        }
        if (const auto *installed = std::get_if<InstallIntent>(&action)) {
            install(installed->intent, internal);
            notifyLeavingChanged(internal);
        }
        actions.emplace_back(std::move(action));
    }
    if (std::holds_alternative<ControlTick>(event)) {
        enqueueForAllServices(Tick{}, internal);
    }
}

void Node::install(const std::shared_ptr<const ActiveIntent> &intent, std::vector<NodeEvent> &internal)
{
    const std::lock_guard lock(mapMutex_);
    if (intent_ && intent_->version >= intent->version) {
        return;
    }
    const auto before = std::exchange(intent_, intent);
    for (const Service &service : intent->configuration.services) {
        ShardPointer &shard = services_[service.name];
        if (!shard) {
            const std::uint64_t seed = settings_.seed ^ stableHash({service.name});
            shard = std::make_shared<GuardedShard>(service.name,
                                                   ServiceShard(settings_.self.id, {settings_.self.zone, settings_.self.region}, service.name, policy_, seed));
            internal.emplace_back(EventForService{service.name, FleetSizeChanged{entryVms_.value(), entryVms_.order()}});
            internal.emplace_back(EventForService{service.name, ForwardingPeersChanged{forwardingPeers_.value(), forwardingPeers_.order()}});
            if (exitAt_) {
                internal.emplace_back(EventForService{service.name, ExitScheduled{*exitAt_}});
            }
            if (blocklist_.value()) {
                internal.emplace_back(EventForService{service.name, BlocklistChanged{blocklist_.value(), blocklist_.order()}});
            }
        }
        const Service *former = before ? before->configuration.findService(service.name) : nullptr;
        if (!former || *former != service) {
            internal.emplace_back(EventForService{service.name, ServiceConfigured{intent->version, std::shared_ptr<const Service>(intent, &service)}});
        }
    }
    if (!limitReports_.empty()) {
        // A report may arrive before the configuration that lists its server.
        LimitsReported limits;
        for (const auto &[server, report] : limitReports_) {
            limits.reports.push_back(report);
        }
        for (const Service &service : intent->configuration.services) {
            internal.emplace_back(EventForService{service.name, limits});
        }
    }
    // A removed service keeps its shard until its requests have ended. Without servers, it accepts no new ones.
    for (const auto &[name, shard] : services_) {
        if (!intent->configuration.findService(name)) {
            internal.emplace_back(EventForService{name, ServiceConfigured{intent->version, Service{}}});
        }
    }
}

void Node::recordLimitReports(const LimitsReported &limits, std::vector<NodeEvent> &internal)
{
    {
        const std::lock_guard lock(mapMutex_);
        for (const LimitReport &report : limits.reports) {
            limitReports_.insert_or_assign(report.server, report);
        }
        const auto isOlder = [](const auto &left, const auto &right) { return left.second.observedAt < right.second.observedAt; };
        while (limitReports_.size() > MaxLimitReports) {
            limitReports_.erase(std::min_element(limitReports_.begin(), limitReports_.end(), isOlder));
        }
    }
    enqueueForAllServices(limits, internal);
}

void Node::distributePeers(const ForwardingPeersChanged &peers, std::vector<NodeEvent> &internal)
{
    {
        const std::lock_guard lock(mapMutex_);
        forwardingPeers_.take(peers.order, peers.peers);
    }
    enqueueForAllServices(peers, internal);
}

void Node::scheduleExit(TimePoint at, std::vector<NodeEvent> &internal)
{
    {
        const std::lock_guard lock(mapMutex_);
        exitAt_ = at;
    }
    enqueueForAllServices(ExitScheduled{at}, internal);
}

void Node::resize(const UpdateFleetSize &fleet, std::vector<NodeEvent> &internal)
{
    {
        const std::lock_guard lock(mapMutex_);
        entryVms_.take(fleet.order, fleet.entryVms);
    }
    enqueueForAllServices(FleetSizeChanged{fleet.entryVms, fleet.order}, internal);
}

void Node::distributeBlocklist(const UpdateBlocklist &update, std::vector<NodeEvent> &internal)
{
    {
        const std::lock_guard lock(mapMutex_);
        blocklist_.take(update.order, update.blocklist);
    }
    enqueueForAllServices(BlocklistChanged{update.blocklist, update.order}, internal);
}

void Node::notifyLeavingChanged(std::vector<NodeEvent> &internal) const
{
    for (const ShardPointer &shard : shards()) {
        const std::lock_guard lock(controlMutex_);
        internal.emplace_back(EventForService{shard->name, LeavingServersChanged{control_.leavingServers(shard->name), control_.eventsHandled()}});
    }
}

void Node::enqueueForAllServices(const ServiceEvent &event, std::vector<NodeEvent> &internal) const
{
    for (const ShardPointer &shard : shards()) {
        internal.emplace_back(EventForService{shard->name, event});
    }
}

Node::ShardPointer Node::findShard(const std::string &service) const
{
    const std::lock_guard lock(mapMutex_);
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second;
}

std::vector<Node::ShardPointer> Node::shards() const
{
    const std::lock_guard lock(mapMutex_);
    std::vector<ShardPointer> all;
    for (const auto &[name, shard] : services_) {
        all.push_back(shard);
    }
    return all;
}

} // namespace Cloverbarrow
