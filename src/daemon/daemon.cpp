/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/daemon.h"

#include "net/bootclock.h"

#include <algorithm>
#include <limits>
#include <thread>

namespace Cloverbarrow
{

namespace
{

// Interval at which server choices and hedges are checked while requests are open. A shorter one costs more processor time.
constexpr auto TickInterval = std::chrono::milliseconds(10);
constexpr int TicksPerControl = 3;
constexpr int TicksPerSweep = 6;
constexpr int TicksPerGauges = 100;
constexpr std::size_t MaxLoggedVersion = 32;

} // namespace

const ListenAddresses &Daemon::addresses() const
{
    return addresses_;
}

RemainingWork Daemon::run()
{
    int ticks = 0;
    while (true) {
        checkStall();
        handleStopRequests();
        handleReloadRequest();
        tick(ticks % TicksPerControl == 0);
        if (ticks % TicksPerControl == 0) {
            flushLog();
        }
        if (ticks % TicksPerSweep == 0) {
            checkCallers();
        }
        if (ticks % TicksPerGauges == 0) {
            updateGauges();
            // The file may also change without a reload signal.
            if (settingsFile_.hasChanged()) {
                requests_.requestReload();
            }
        }
        ++ticks;
        {
            const std::lock_guard lock(remainingWorkMutex_);
            if (remainingWork_) {
                break;
            }
        }
        std::this_thread::sleep_for(TickInterval);
    }
    // The core still refuses the requests of attempts that were not sent.
    backendClient_.stop();
    if (forwardClient_) {
        forwardClient_->stop();
    }
    return *remainingWork_;
}

void Daemon::handle(NodeEvent event)
{
    if (isStopped_) {
        return;
    }
    NodeActions actions;
    node_->handle(bootNow(), event, actions);
    for (const NodeAction &action : actions) {
        if (const auto *service = std::get_if<ActionOfService>(&action)) {
            reportLimit(*service);
            reportVersionOutcome(*service);
            reportSlowServer(*service);
            gateway_->perform(*service);
        } else {
            perform(std::get<ControlAction>(action));
        }
    }
}

void Daemon::reportLimit(const ActionOfService &action)
{
    const auto *changed = std::get_if<ServerLimitObserved>(&action.action);
    if (directory_ && changed && changed->source) {
        directory_->reportLimit({changed->backend, changed->perSecond, changed->observedAt});
    }
}

void Daemon::reportVersionOutcome(const ActionOfService &action)
{
    if (const auto *observed = std::get_if<VersionOutcomeObserved>(&action.action); directory_ && observed) {
        directory_->reportVersionOutcome(action.service, observed->outcome);
    }
}

void Daemon::reportSlowServer(const ActionOfService &action)
{
    if (const auto *observed = std::get_if<SlowServerObserved>(&action.action); directory_ && observed) {
        directory_->slowServers().observed(observed->report);
    }
}

void Daemon::perform(const ControlAction &action)
{
    struct Performer {
        Daemon &daemon;

        void operator()(const SendHeartbeat &typed) const
        {
            daemon.peerClient_->add(typed);
        }
        void operator()(const RequestIndirectContact &typed) const
        {
            daemon.peerClient_->add(typed);
        }
        void operator()(const FetchIntent &typed) const
        {
            daemon.peerClient_->add(typed);
        }
        void operator()(const CallStore &typed) const
        {
            daemon.callStore(typed);
        }
        void operator()(const WatchIntent &typed) const
        {
            daemon.watchIntent(typed);
        }
        void operator()(const ListVms &) const
        {
            daemon.listVms();
        }
        void operator()(const InstallIntent &typed) const
        {
            daemon.applyConfiguration(*typed.intent);
        }
        void operator()(const ReportInvalidIntent &typed) const
        {
            daemon.log_.error("received configuration is invalid", {{"version", typed.version}, {"peer", typed.source}, {"reason", typed.reason}});
        }
        void operator()(const ProbePermit &) const
        {
            // Handled inside the core.
        }
        void operator()(const UpdateLeavingServers &) const
        {
            // Handled inside the core.
        }
        void operator()(const UpdateFleetSize &typed) const
        {
            daemon.updateFleetSize(typed);
        }
        void operator()(const SetReady &typed) const
        {
            daemon.setReady(typed);
        }
        void operator()(const PublishCrashReport &typed) const
        {
            // Without a directory crash reports are not shared: each entry VM uses only its local observations.
            if (daemon.directory_) {
                daemon.directory_->publishCrashes(typed);
            }
        }
        void operator()(const BroadcastCrashUpdates &typed) const
        {
            if (daemon.directory_) {
                daemon.directory_->publishCrashes(typed);
            }
        }
        void operator()(const SendAllCrashUpdates &typed) const
        {
            if (daemon.directory_) {
                daemon.directory_->publishCrashes(typed);
            }
        }
        void operator()(const UpdateBlocklist &) const
        {
            // Handled inside the core.
        }
        void operator()(const AnnounceClose &) const
        {
            daemon.callerServer_->closeAfterAnswers();
        }
        void operator()(const ScheduleExit &) const
        {
            // Handled inside the core.
        }
        void operator()(const StopAccepting &) const
        {
            daemon.gateway_->stopAccepting();
            daemon.callerServer_->closeConnections();
        }
        void operator()(const RefuseUnsent &) const
        {
            // Handled inside the core.
        }
        void operator()(const Exit &typed) const
        {
            const std::lock_guard lock(daemon.remainingWorkMutex_);
            daemon.remainingWork_ = typed.remaining;
        }
    };
    std::visit(Performer{*this}, action);
}

void Daemon::callStore(const CallStore &action)
{
    platform_->call(action.call, [this, object = action.call.object](StoreResult result) { handle(ControlEvent(StoreAnswered{object, std::move(result)})); });
}

void Daemon::watchIntent(const WatchIntent &action)
{
    platform_->watch(IntentObject, action.afterVersion, action.wait, [this](WatchResult result) {
        if (result.hasAnswered) {
            handle(ControlEvent(WatchAnswered{std::move(result.newer)}));
        } else {
            handle(ControlEvent(WatchFailed{}));
        }
    });
}

void Daemon::listVms()
{
    platform_->listVms([this](VmListResult result) {
        if (result.hasAnswered) {
            handle(ControlEvent(VmsListed{std::move(result.vms)}));
        }
    });
}

void Daemon::setReady(const SetReady &action)
{
    // Reported only after the services have received the active configuration, which is later than the control shard becomes ready.
    {
        const std::lock_guard lock(latestStateMutex_);
        if (!unreadyReason_.take(action.order, action.reason)) {
            return;
        }
    }
    log_.info(action.isReady ? "ready" : "not ready", {{"reason", action.reason}});
    if (action.isReady) {
        gateway_->releaseHeld();
    }
}

void Daemon::applyConfiguration(const ActiveIntent &intent)
{
    int minConnections = std::numeric_limits<int>::max();
    for (const Service &service : intent.configuration.services) {
        minConnections = std::min(minConnections, service.limits.connectionsPerServer);
    }
    const std::lock_guard lock(latestStateMutex_);
    if (!connectionsPerServer_.take(static_cast<std::uint64_t>(intent.version), minConnections)) {
        return;
    }
    applyConnectionCap();
    std::int64_t servers = 0;
    for (const Service &service : intent.configuration.services) {
        servers += static_cast<std::int64_t>(service.backendServers.size());
    }
    log_.info("configuration in force",
              {{"version", intent.version},
               {"operators_version", intent.value.substr(0, MaxLoggedVersion)},
               {"routes", static_cast<std::int64_t>(intent.configuration.routes.size())},
               {"servers", servers},
               {"draining", static_cast<std::int64_t>(intent.intent.drains.size())}});
    callerBounds_.setConfigured(intent.configuration.callerLimits);
}

void Daemon::updateFleetSize(const UpdateFleetSize &action)
{
    const std::lock_guard lock(latestStateMutex_);
    if (entryVmCount_.take(action.order, action.entryVms)) {
        applyConnectionCap();
    }
}

void Daemon::applyConnectionCap()
{
    backendClient_.setMaxConnectionsPerAddress(std::max(1, connectionsPerServer_.value() / entryVmCount_.value()));
}

void Daemon::tick(bool isControl)
{
    if (isControl) {
        RemainingWork remaining = node_->remainingWork();
        if (handledStopRequests_ > 0) {
            // Some requests have been read and are in no service yet: they wait for a quota, or another thread is about to route them.
            remaining.requests = std::max(remaining.requests, gateway_->openRequests());
            // A request is complete only when the last byte of its answer has been sent.
            remaining.requests += callerServer_->unfinishedConnections() + (directory_ ? directory_->unfinishedConnections() : 0);
            // Crash reports that the store does not hold would be lost with this process. An entry VM that had seen a request crash three servers was once
            // stopped while the store refused calls, and the request crashed six more.
            remaining.hasUnpublishedReports = directory_ && directory_->hasUnwrittenCrashReport();
        }
        handle(ControlEvent(ControlTick{remaining}));
        if (directory_) {
            directory_->tick();
            directory_->crashUpdates().setHasUpdates(node_->withControl([](const ControlShard &control) { return control.hasCrashUpdates(); }));
        }
    } else if (gateway_->hasOpenExchanges()) {
        handle(ServicesTick{});
    }
    if (directory_) {
        directory_->quotas().tick();
        directory_->crashUpdates().tick();
    }
}

void Daemon::updateGauges()
{
    NodeGauges gauges = node_->withControl([](const ControlShard &control) {
        const Membership &membership = control.membership();
        NodeGauges current;
        current.liveEntryVms = membership.liveCount();
        current.clearedSuspicions = membership.clearedSuspicions();
        current.configurationVersion = control.intent().version();
        current.isReady = control.isReady();
        current.crashUpdates = control.crashUpdateCounts();
        return current;
    });
    gauges.heldAtStart = gateway_->heldRequests();
    gauges.memory = memory_->counts();
    gauges.callers = callerServer_->connectionCounts();
    gauges.platformCalls = directory_ ? directory_->storeCallCount() : platform_->calls();
    if (directory_) {
        gauges.crashMessages = directory_->crashUpdates().counts();
        gauges.quotas = directory_->quotas().counts();
        gauges.peers = directory_->connectionCounts();
        gauges.slowServers = directory_->slowServers().counts();
    }
    telemetry_.setGauges(gauges);
}

void Daemon::checkCallers()
{
    const TimePoint now = bootNow();
    callerServer_->checkTimeouts(now);
    operationsServer_->checkTimeouts(now);
    if (metricsServer_) {
        metricsServer_->checkTimeouts(now);
    }
    gateway_->checkCallers();
}

void Daemon::checkStall()
{
    StallGuard *guard = gateway_->stallGuard();
    if (!guard) {
        return;
    }
    const TimePoint now = bootNow();
    if (const auto stall = guard->tick(now)) {
        log_.warn("resumed after a stall", {{"stalled_ms", toMilliseconds(*stall)}});
        telemetry_.stalled(*stall);
        directory_->requestConfirmation();
    } else if (guard->isUnconfirmed(now) && directory_->isConfirmed()) {
        guard->confirmed();
    }
}

void Daemon::handleStopRequests()
{
    while (handledStopRequests_ < requests_.stops()) {
        ++handledStopRequests_;
        log_.info(handledStopRequests_ == 1 ? "stop requested" : "immediate stop requested");
        handle(ControlEvent(StopRequested{}));
        gateway_->refuseHeld();
    }
}

void Daemon::handleReloadRequest()
{
    if (requests_.takeReload()) {
        reload();
    }
}

void Daemon::reload()
{
    const auto read = settingsFile_.read();
    if (const auto *faults = std::get_if<std::vector<DocumentFault>>(&read)) {
        for (const DocumentFault &fault : *faults) {
            log_.error("reload failed, keeping the current settings", {{"fault", fault.toString("settings")}});
        }
        return;
    }
    const auto &next = std::get<Settings>(read);
    applySettings(next);
    log_.info(next == settings_ ? "settings reloaded" : "settings reloaded, some changes need a restart");
}

void Daemon::applySettings(const Settings &next)
{
    setLogLevel(next.logLevel);
    settings_.logLevel = next.logLevel;
    settings_.maxBodyBytes = next.maxBodyBytes;
    settings_.slowCallerTimeout = next.slowCallerTimeout;
    settings_.memoryBytes = next.memoryBytes;
    memory_->setMaxBytes(MemoryBudget::shareOf(next.memoryBytes));
    warnIfBodiesExceedMemory();
    callerBounds_.setSettings(callerBoundsFromSettings());
    if (directory_ && next.directory) {
        settings_.directory->budgets = next.directory->budgets;
        directory_->setBudgets(next.directory->budgets);
    }
}

std::string Daemon::unreadyReason() const
{
    const std::lock_guard lock(latestStateMutex_);
    return unreadyReason_.value();
}

} // namespace Cloverbarrow
