/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/controlshard.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// Each heartbeat round doubles the number of entry VMs that have an update, so a few fast rounds spread it through a fleet of hundreds.
constexpr int FastHeartbeats = 4;

} // namespace

ControlShard::ControlShard(ControlSettings settings)
    : settings_(std::move(settings))
    , random_(settings_.seed)
    , membership_(settings_.self, settings_.seedPeers)
    , shares_({settings_.self.id, settings_.self.peerAddress})
    , crashTracker_(settings_.self.id.name, settings_.self.id.nonce)
    , shutdown_(settings_.shutdownNotice, settings_.shutdownLimit)
    , pendingSeedPeers_(settings_.seedPeers.begin(), settings_.seedPeers.end())
{
    pendingSeedPeers_.erase(settings_.self.peerAddress);
}

void ControlShard::handle(TimePoint now, const ControlEvent &event, ControlActions &actions)
{
    ++eventsHandled_;
    std::visit([this, now, &actions](const auto &typed) { on(now, typed, actions); }, event);
    updateReadiness(now, actions);
    publishCrashes(now, actions);
}

Heartbeat ControlShard::heartbeat(TimePoint now, const std::string &receiverAddress)
{
    return {membership_.self(), membership_.updatesFor(receiverAddress), leaving_.signs(now)};
}

const Membership &ControlShard::membership() const
{
    return membership_;
}

const IntentManager &ControlShard::intent() const
{
    return intent_;
}

const ProbeShares &ControlShard::shares() const
{
    return shares_;
}

std::vector<std::string> ControlShard::leavingServers(const std::string &service) const
{
    return leaving_.leavingServers(service);
}

bool ControlShard::hasCrashUpdates() const
{
    return !crashTracker_.pendingUpdates().empty();
}

const CrashUpdateCounts &ControlShard::crashUpdateCounts() const
{
    return crashTracker_.updateCounts();
}

bool ControlShard::isReady() const
{
    return isReady_;
}

const std::string &ControlShard::reason() const
{
    return reason_;
}

ShutdownSequence::Phase ControlShard::phase() const
{
    return shutdown_.phase();
}

std::uint64_t ControlShard::eventsHandled() const
{
    return eventsHandled_;
}

void ControlShard::on(TimePoint now, const ControlTick &event, ControlActions &actions)
{
    if (!settings_.hasDirectory) {
        sendHeartbeats(now, actions);
        checkMembers(now, actions);
        listVms(now, actions);
        std::vector<IntentAction> intentActions;
        intent_.tick(now, isWatcher(), intentActions);
        applyIntentActions(std::move(intentActions), actions);
        tickShares(now, actions);
    }
    if (leaving_.expireSigns(now)) {
        actions.emplace_back(UpdateLeavingServers{});
    }
    crashTracker_.tick(now);
    tickShutdown(now, event.remaining, actions);
}

void ControlShard::on(TimePoint now, const ServerSuspected &event, ControlActions &)
{
    crashTracker_.serverSuspected(now, event.fingerprint, event.backend);
}

void ControlShard::on(TimePoint now, const ServerCrashed &event, ControlActions &)
{
    for (const RequestFingerprint &fingerprint : event.fingerprints) {
        crashTracker_.serverCrashed(now, fingerprint, event.backend);
    }
}

void ControlShard::on(TimePoint now, const ServerRecovered &event, ControlActions &)
{
    if (event.wasCrashed) {
        crashTracker_.serverRecovered(now, event.backend);
    } else {
        crashTracker_.suspicionCleared(now, event.backend);
    }
}

void ControlShard::on(TimePoint now, const SuspectAnswered &event, ControlActions &)
{
    crashTracker_.requestAnswered(now, event.fingerprint);
}

void ControlShard::on(TimePoint now, const CrashReportsReceived &event, ControlActions &)
{
    if (event.order > crashReportsOrder_) {
        crashReportsOrder_ = event.order;
        crashTracker_.reportsReceived(now, event.reports);
    }
}

void ControlShard::on(TimePoint now, const CrashUpdatesReceived &event, ControlActions &actions)
{
    if (event.wereOthersRefused) {
        crashTracker_.updatesRefused(now);
    }
    for (const CrashUpdate &update : event.message.updates) {
        crashTracker_.updateReceived(now, update);
    }
    if (!event.message.replyTo.empty()) {
        if (auto updates = updatesMissingIn(event.message, crashTracker_.pendingUpdates()); !updates.empty()) {
            actions.emplace_back(SendAllCrashUpdates{event.message.replyTo, std::move(updates), false});
        }
    }
}

void ControlShard::on(TimePoint now, const CrashUpdatesRequested &event, ControlActions &actions)
{
    std::vector<CrashUpdate> updates = crashTracker_.pendingUpdates();
    std::vector<CrashUpdateVersion> held = versionsOf(updates);
    actions.emplace_back(SendAllCrashUpdates{event.relay, sentCrashUpdates_.takeUnsent(now, event.relay, std::move(updates)), true, std::move(held)});
}

void ControlShard::on(TimePoint, const ProxyReporterChanged &event, ControlActions &)
{
    crashTracker_.setProxyReporter(event.isProxyReporter);
}

void ControlShard::publishCrashes(TimePoint now, ControlActions &actions)
{
    if (auto blocklist = crashTracker_.takeBlocklist()) {
        actions.emplace_back(UpdateBlocklist{std::move(blocklist), eventsHandled_});
    }
    if (auto report = crashTracker_.takeReport()) {
        actions.emplace_back(PublishCrashReport{std::move(*report), eventsHandled_});
    }
    if (auto broadcast = crashTracker_.takeBroadcast(now)) {
        actions.emplace_back(BroadcastCrashUpdates{std::move(*broadcast)});
    }
}

void ControlShard::on(TimePoint now, const IntentFetched &event, ControlActions &actions)
{
    std::vector<IntentAction> intentActions;
    intent_.peerIntentReceived(now, event.address, event.version, event.value, intentActions);
    applyIntentActions(std::move(intentActions), actions);
}

void ControlShard::on(TimePoint, const IntentFetchFailed &, ControlActions &)
{
    intent_.fetchFailed();
}

void ControlShard::on(TimePoint, const IntentAccepted &event, ControlActions &actions)
{
    std::vector<IntentAction> intentActions;
    intent_.changeAccepted(event.version, event.value, intentActions);
    applyIntentActions(std::move(intentActions), actions);
}

void ControlShard::on(TimePoint now, const WatchAnswered &event, ControlActions &actions)
{
    std::vector<IntentAction> intentActions;
    intent_.platformAnswered(now, event.newer, intentActions);
    applyIntentActions(std::move(intentActions), actions);
}

void ControlShard::on(TimePoint now, const WatchFailed &, ControlActions &)
{
    intent_.platformFailed(now);
}

void ControlShard::on(TimePoint now, const StoreAnswered &event, ControlActions &)
{
    shares_.handleStoreResult(now, event.object, event.result, membership_, random_);
}

void ControlShard::on(TimePoint now, const ServerLeaving &event, ControlActions &actions)
{
    if (leaving_.addSign(now, event.service, event.backend)) {
        notifyLeavingChanged(actions);
    }
}

void ControlShard::on(TimePoint now, const ProbeFinished &event, ControlActions &)
{
    shares_.probeFinished(now, event.service, event.share);
}

void ControlShard::on(TimePoint now, const PermitReturned &event, ControlActions &)
{
    shares_.permitReturned(now, event.service, event.share);
}

void ControlShard::on(TimePoint, const DirectoryPublished &event, ControlActions &actions)
{
    std::vector<IntentAction> intentActions;
    intent_.intentPublished(event.intent, intentActions);
    applyIntentActions(std::move(intentActions), actions);
    const bool isNewest = event.intent->version == intent_.version();
    if (isNewest && event.intent->entryVmCount > 0 && event.intent->entryVmCount != fleetSize_) {
        fleetSize_ = event.intent->entryVmCount;
        actions.emplace_back(UpdateFleetSize{fleetSize_, eventsHandled_});
    }
}

void ControlShard::on(TimePoint now, const StopRequested &, ControlActions &actions)
{
    const bool isFirst = shutdown_.phase() == ShutdownSequence::Phase::Serving;
    shutdown_.requestStop(now);
    if (isFirst) {
        // Callers that learn of the end with an answer do not send a request on a connection that is about to be closed.
        actions.emplace_back(AnnounceClose{});
        actions.emplace_back(ScheduleExit{*shutdown_.abandonsAt()});
    }
    membership_.setLeaving();
    shares_.startRelease();
    speedUpHeartbeats();
}

void ControlShard::tickShares(TimePoint now, ControlActions &actions)
{
    std::vector<StoreCall> calls;
    std::vector<ProbePermit> permits;
    shares_.tick(now, membership_, random_, calls, permits);
    for (StoreCall &call : calls) {
        actions.emplace_back(CallStore{std::move(call)});
    }
    for (ProbePermit &permit : permits) {
        actions.emplace_back(std::move(permit));
    }
}

void ControlShard::tickShutdown(TimePoint now, const RemainingWork &remaining, ControlActions &actions)
{
    RemainingWork all = remaining;
    all.holdsShares = shares_.holdsAny();
    const auto phase = shutdown_.advance(now, all);
    const bool isPastNotice = phase == ShutdownSequence::Phase::Finishing || phase == ShutdownSequence::Phase::Done;
    if (isPastNotice && !hasStoppedAccepting_) {
        hasStoppedAccepting_ = true;
        actions.emplace_back(StopAccepting{});
    }
    if (phase == ShutdownSequence::Phase::Done && !hasExited_) {
        hasExited_ = true;
        actions.emplace_back(RefuseUnsent{});
        actions.emplace_back(Exit{all});
    }
}

void ControlShard::updateReadiness(TimePoint now, ControlActions &actions)
{
    std::string reason = unreadyReason(now);
    const bool isReady = reason.empty();
    if (isReady == isReady_ && reason == reason_) {
        return;
    }
    isReady_ = isReady;
    reason_ = std::move(reason);
    actions.emplace_back(SetReady{isReady_, reason_, eventsHandled_});
}

void ControlShard::applyIntentActions(std::vector<IntentAction> intentActions, ControlActions &actions)
{
    for (IntentAction &intentAction : intentActions) {
        if (const auto *installed = std::get_if<InstallIntent>(&intentAction)) {
            install(*installed->intent);
        }
        std::visit([&actions](auto &typed) { actions.emplace_back(std::move(typed)); }, intentAction);
    }
}

void ControlShard::install(const ActiveIntent &intent)
{
    membership_.setConfigurationVersion(intent.version);
    leaving_.setDrains(intent.intent.drains);
    std::vector<ServiceProbeBudget> budgets;
    for (const Service &service : intent.configuration.services) {
        budgets.push_back({service.name, service.probeBudget.probes, service.probeBudget.window});
    }
    shares_.configure(budgets);
    speedUpHeartbeats();
}

void ControlShard::notifyLeavingChanged(ControlActions &actions)
{
    actions.emplace_back(UpdateLeavingServers{});
    speedUpHeartbeats();
}

void ControlShard::speedUpHeartbeats()
{
    fastHeartbeatsLeft_ = FastHeartbeats;
    nextHeartbeat_ = TimePoint();
}

std::string ControlShard::unreadyReason(TimePoint now) const
{
    if (shutdown_.phase() != ShutdownSequence::Phase::Serving) {
        return "shutting down";
    }
    if (!intent_.activeIntent()) {
        return "no configuration yet";
    }
    if (settings_.hasDirectory) {
        return {};
    }
    if (!hasCheckedForNewestIntent()) {
        return "not yet sure to have the newest configuration";
    }
    return intent_.isFresh(now) ? std::string() : "neither the platform nor a peer answers";
}

bool ControlShard::hasCheckedForNewestIntent() const
{
    // While the platform is unresponsive, the newest version of all seed peers is the best available.
    return intent_.hasPlatformAnswered() || (hasPeerAnswered_ && pendingSeedPeers_.empty());
}

} // namespace Cloverbarrow
