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
    , membership_(settings_.self, settings_.firstPeers)
    , shares_({settings_.self.id, settings_.self.peerAddress})
    , crashes_(settings_.self.id.name, settings_.self.id.nonce)
    , shutdown_(settings_.shutdownNotice, settings_.shutdownLimit)
    , unansweredPeers_(settings_.firstPeers.begin(), settings_.firstPeers.end())
{
    unansweredPeers_.erase(settings_.self.peerAddress);
}

void ControlShard::handle(TimePoint now, const ControlEvent &event, ControlActions &actions)
{
    ++eventsHandled_;
    std::visit([this, now, &actions](const auto &typed) { on(now, typed, actions); }, event);
    updateReadiness(now, actions);
    tellCrashes(now, actions);
}

Heartbeat ControlShard::heartbeat(TimePoint now, const std::string &receiverAddress)
{
    return {membership_.self(), membership_.news(receiverAddress), leaving_.signs(now)};
}

const Membership &ControlShard::membership() const
{
    return membership_;
}

const IntentKeeper &ControlShard::intent() const
{
    return intent_;
}

const MeasuringShares &ControlShard::shares() const
{
    return shares_;
}

std::vector<std::string> ControlShard::leaving(const std::string &service) const
{
    return leaving_.leaving(service);
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
        beat(now, actions);
        checkMembers(now, actions);
        listVms(now, actions);
        std::vector<IntentAction> intentActions;
        intent_.tick(now, isWatcher(), intentActions);
        carryOut(std::move(intentActions), actions);
        tickShares(now, actions);
    }
    if (leaving_.fade(now)) {
        actions.emplace_back(LeavingUpdated{});
    }
    crashes_.tick(now);
    tickShutdown(now, event.left, actions);
}

void ControlShard::on(TimePoint now, const ServerEndSuspected &event, ControlActions &)
{
    crashes_.suspected(now, event.content, event.backend);
}

void ControlShard::on(TimePoint now, const ServerEndSeen &event, ControlActions &)
{
    for (const RequestContent &fingerprint : event.contents) {
        crashes_.ended(now, fingerprint, event.backend);
    }
}

void ControlShard::on(TimePoint now, const ServerHeardAgain &event, ControlActions &)
{
    if (event.wasEnded) {
        crashes_.heardAgain(now, event.backend);
    } else {
        crashes_.cleared(now, event.backend);
    }
}

void ControlShard::on(TimePoint now, const SuspectAnswered &event, ControlActions &)
{
    crashes_.answered(now, event.content);
}

void ControlShard::on(TimePoint now, const CrashReportsTold &event, ControlActions &)
{
    if (event.order > crashReportsOrder_) {
        crashReportsOrder_ = event.order;
        crashes_.told(now, event.reports);
    }
}

void ControlShard::on(TimePoint now, const CrashNewsHeard &event, ControlActions &actions)
{
    for (const CrashNews &update : event.message.news) {
        crashes_.heard(now, update);
    }
    if (!event.message.answerTo.empty()) {
        if (auto updates = crashes_.allNews(); !updates.empty()) {
            actions.emplace_back(SendCrashNews{event.message.answerTo, std::move(updates), false});
        }
    }
}

void ControlShard::on(TimePoint, const CrashNewsWanted &event, ControlActions &actions)
{
    actions.emplace_back(SendCrashNews{event.relay, crashes_.allNews(), true});
}

void ControlShard::on(TimePoint, const WitnessingChanged &event, ControlActions &)
{
    crashes_.setWitness(event.isWitness);
}

void ControlShard::tellCrashes(TimePoint now, ControlActions &actions)
{
    if (auto verdicts = crashes_.takeVerdicts()) {
        actions.emplace_back(CrashVerdictsReached{std::move(verdicts), eventsHandled_});
    }
    if (auto report = crashes_.takeReport()) {
        actions.emplace_back(TellCrashes{std::move(*report), eventsHandled_});
    }
    if (auto broadcast = crashes_.takeSpread(now)) {
        actions.emplace_back(SpreadCrashNews{std::move(*broadcast)});
    }
}

void ControlShard::on(TimePoint now, const IntentFetched &event, ControlActions &actions)
{
    std::vector<IntentAction> intentActions;
    intent_.peerSent(now, event.address, event.version, event.value, intentActions);
    carryOut(std::move(intentActions), actions);
}

void ControlShard::on(TimePoint, const IntentFetchFailed &, ControlActions &)
{
    intent_.fetchFailed();
}

void ControlShard::on(TimePoint, const IntentAccepted &event, ControlActions &actions)
{
    std::vector<IntentAction> intentActions;
    intent_.accepted(event.version, event.value, intentActions);
    carryOut(std::move(intentActions), actions);
}

void ControlShard::on(TimePoint now, const WatchAnswered &event, ControlActions &actions)
{
    std::vector<IntentAction> intentActions;
    intent_.platformAnswered(now, event.newer, intentActions);
    carryOut(std::move(intentActions), actions);
}

void ControlShard::on(TimePoint now, const WatchFailed &, ControlActions &)
{
    intent_.platformFailed(now);
}

void ControlShard::on(TimePoint now, const StoreAnswered &event, ControlActions &)
{
    shares_.storeAnswered(now, event.object, event.result, membership_, random_);
}

void ControlShard::on(TimePoint now, const LeavingSeen &event, ControlActions &actions)
{
    if (leaving_.sign(now, event.service, event.backend)) {
        tellLeaving(actions);
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
    intent_.published(event.intent, intentActions);
    carryOut(std::move(intentActions), actions);
    const bool isNewest = event.intent->version == intent_.version();
    if (isNewest && event.intent->entryVms > 0 && event.intent->entryVms != fleetSize_) {
        fleetSize_ = event.intent->entryVms;
        actions.emplace_back(FleetResized{fleetSize_, eventsHandled_});
    }
}

void ControlShard::on(TimePoint now, const StopRequested &, ControlActions &)
{
    shutdown_.requested(now);
    membership_.setLeaving();
    shares_.startRelease();
    hurry();
}

void ControlShard::tickShares(TimePoint now, ControlActions &actions)
{
    std::vector<StoreCall> calls;
    std::vector<PermitProbe> permits;
    shares_.tick(now, membership_, random_, calls, permits);
    for (StoreCall &call : calls) {
        actions.emplace_back(AskStore{std::move(call)});
    }
    for (PermitProbe &permit : permits) {
        actions.emplace_back(std::move(permit));
    }
}

void ControlShard::tickShutdown(TimePoint now, const WorkLeft &left, ControlActions &actions)
{
    WorkLeft all = left;
    all.holdsShares = shares_.holdsAny();
    const auto phase = shutdown_.advance(now, all);
    const bool isPastNotice = phase == ShutdownSequence::Phase::Finishing || phase == ShutdownSequence::Phase::Done;
    if (isPastNotice && !hasStoppedAccepting_) {
        hasStoppedAccepting_ = true;
        actions.emplace_back(StopAccepting{});
    }
    if (phase == ShutdownSequence::Phase::Done && !hasExited_) {
        hasExited_ = true;
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

void ControlShard::carryOut(std::vector<IntentAction> intentActions, ControlActions &actions)
{
    for (IntentAction &intentAction : intentActions) {
        if (const auto *installed = std::get_if<InstallIntent>(&intentAction)) {
            install(*installed->intent);
        }
        std::visit([&actions](auto &typed) { actions.emplace_back(std::move(typed)); }, intentAction);
    }
}

void ControlShard::install(const IntentInForce &intent)
{
    membership_.setConfigurationVersion(intent.version);
    leaving_.setDrains(intent.intent.drains);
    std::vector<ServiceBudget> budgets;
    for (const Service &service : intent.configuration.services) {
        budgets.push_back({service.name, service.measuring.probes, service.measuring.window});
    }
    shares_.configure(budgets);
    hurry();
}

void ControlShard::tellLeaving(ControlActions &actions)
{
    actions.emplace_back(LeavingUpdated{});
    hurry();
}

void ControlShard::hurry()
{
    hurriedBeats_ = FastHeartbeats;
    nextBeat_ = TimePoint();
}

std::string ControlShard::unreadyReason(TimePoint now) const
{
    if (shutdown_.phase() != ShutdownSequence::Phase::Serving) {
        return "shutting down";
    }
    if (!intent_.inForce()) {
        return "no configuration yet";
    }
    if (settings_.hasDirectory) {
        return {};
    }
    if (!hasStartedSafely()) {
        return "not yet sure to have the newest configuration";
    }
    return intent_.isFresh(now) ? std::string() : "neither the platform nor a peer answers";
}

bool ControlShard::hasStartedSafely() const
{
    // While the platform is unresponsive, the newest version of all seed peers is the best available.
    return intent_.hasAskedPlatform() || (hasPeerAnswered_ && unansweredPeers_.empty());
}

} // namespace Cloverbarrow
