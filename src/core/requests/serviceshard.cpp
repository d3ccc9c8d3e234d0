/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"

#include "core/requests/retryafter.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

constexpr const char *AllServersLimited =
    "no backend server accepts a request now: they have announced limits, have just started, or have asked for no requests";

} // namespace

ServiceShard::ServiceShard(Incarnation self, Location location, std::string name, PickPolicy policy, std::uint64_t seed)
    : self_(std::move(self))
    , name_(std::move(name))
    , pool_(policy, std::move(location))
    , chooser_(self_.name)
    , payouts_(self_, name_)
    , random_(seed)
    , versions_(Random(~seed).uniform())
{
}

void ServiceShard::handle(TimePoint now, const ServiceEvent &event, ServiceActions &actions)
{
    std::visit([this, now, &actions](const auto &typed) { on(now, typed, actions); }, event);
}

std::size_t ServiceShard::openRequests() const
{
    return requests_.size();
}

std::size_t ServiceShard::openPayouts() const
{
    return payouts_.openCount();
}

const BackendPool &ServiceShard::pool() const
{
    return pool_;
}

void ServiceShard::on(TimePoint now, const RequestArrived &event, ServiceActions &actions)
{
    if (const auto problem = admissionProblem(now, event)) {
        actions.emplace_back(Refuse{event.request, *problem});
        return;
    }
    RequestArrived arrival = event;
    arrival.arrivedAt = now - event.heldFor;
    if (event.callerTimeLeft > Duration(0)) {
        arrival.priorWait = callerTimeouts_.priorWait(now, event.latencyObjective, event.callerTimeLeft);
    }
    if (auto problem = scarcityProblem(now, arrival, actions)) {
        actions.emplace_back(Refuse{event.request, *std::move(problem)});
        return;
    }
    Request &request = requests_[event.request];
    request.arrival = std::move(arrival);
    request.triedServers = request.arrival.avoidedServers;
    request.versions = versions_.next(pool_);
    lowestPriority_ = std::max(lowestPriority_, event.priority);
    if (!event.isForwarded) {
        retryBudget_.addFirstAttempt(now);
        hedgeBudget_.addFirstAttempt(now);
    }
    if (isPayout(request)) {
        payouts_.open(event, actions);
    } else {
        startOrQueue(now, request, actions);
    }
}

std::optional<Problem> ServiceShard::admissionProblem(TimePoint now, const RequestArrived &event) const
{
    if (auto problem = exitProblemOf(now, event)) {
        return problem;
    }
    const bool isRouted = event.maxAttempts > 0;
    if (!isRouted && event.kind >= service_->kinds.size()) {
        return Problem{503, ExecutionStatus::NotExecuted, "admit", name_, "the service's configuration is changing", RetryAfterWhenBusy};
    }
    if (now >= event.deadline) {
        return Problem{504, ExecutionStatus::NotExecuted, "admit", name_, "the deadline has passed", std::nullopt};
    }
    if (isBlocked(now, event.fingerprint)) {
        return blockedRequestProblem(event.fingerprint, ExecutionStatus::NotExecuted);
    }
    if (event.isForwarded && !mayAcceptForwarded(now, event.kindClass)) {
        return Problem{503, ExecutionStatus::NotExecuted, "admit", name_, "no forwarded requests are accepted now", RetryAfterAtOtherEntryVm, true};
    }
    if (!pool_.hasCandidate()) {
        return Problem{503, ExecutionStatus::NotExecuted, "choose backend server", name_, "no backend server in an allowed place", RetryAfterWithoutServer};
    }
    if (const auto wait = retryAfterIfAllLimited(now, event.latencyObjective)) {
        return Problem{503, ExecutionStatus::NotExecuted, "choose backend server", name_, AllServersLimited, *wait};
    }
    const std::size_t held = std::max(requests_.size(), payouts_.openCount());
    if (held >= static_cast<std::size_t>(service_->limits.maxInFlight)) {
        return Problem{503, ExecutionStatus::NotExecuted, "admit", name_, "too many requests in flight", RetryAfterWhenBusy};
    }
    if (!probesBeforeChoice() && requests_.size() >= maxHeldRequests(event.deadline - now)) {
        return Problem{503, ExecutionStatus::NotExecuted, "admit", name_, "more requests are waiting than can be answered in time", RetryAfterWhenBusy};
    }
    return std::nullopt;
}

std::size_t ServiceShard::maxHeldRequests(Duration timeLeft) const
{
    const std::size_t slots = pool_.servingCount() * static_cast<std::size_t>(service_->limits.slotsPerServer);
    const double latencyMs = pool_.meanLatencyMs();
    if (latencyMs == 0) {
        return static_cast<std::size_t>(service_->limits.maxInFlight);
    }
    // The latency includes queueing at the servers, so the result shrinks as they fill: with service time s and
    // deadline d, the queueing time settles near sqrt(s * d / 2), far below the deadline. All slots may always be
    // filled, which leaves capacity for bursts at one entry VM.
    constexpr double DeadlineFraction = 0.5;
    const double rounds = DeadlineFraction * toMilliseconds(timeLeft) / latencyMs;
    const double share = static_cast<double>(slots) * rounds / entryVms_.value();
    return std::max(slots, static_cast<std::size_t>(share));
}

void ServiceShard::on(TimePoint now, const CallerGone &event, ServiceActions &actions)
{
    const auto found = requests_.find(event.request);
    if (found == requests_.end()) {
        return;
    }
    Request &request = found->second;
    const bool isAtServer = !request.running.empty() || isPayout(request);
    if (kindClass(request) != KindClass::Read && isAtServer) {
        // Cancelling a write would leave its outcome unknown; it ends by its deadline.
        request.isCallerGone = true;
        return;
    }
    cancelRunning(now, request, actions);
    actions.emplace_back(DropRequest{event.request});
    requests_.erase(found);
    startQueued(now, actions);
}

void ServiceShard::on(TimePoint now, const ProbePermitted &event, ServiceActions &actions)
{
    if (const auto index = pool_.probeCandidate(now)) {
        const BackendServer &server = pool_.backends()[*index].server;
        actions.emplace_back(StartProbe{event.share, server.name, server.address, service_->probeBudget.path, std::nullopt});
    } else {
        actions.emplace_back(ReturnPermit{event.share});
    }
}

void ServiceShard::on(TimePoint now, const ProbeEnded &event, ServiceActions &actions)
{
    if (isExiting_) {
        // This process has aborted it, or no request needs its result.
        return;
    }
    // A probe does not count as an attempt in flight; only its result is used.
    recordLiveness(now, event.backend, event.liveness, actions);
    recordReachability(now, event);
    if (event.isLeaving) {
        markLeaving(event.backend, actions);
    }
    // A load report shows that the server answers, even if it reports itself as unhealthy; the results of requests show the rest.
    // While no server can be reached, ejections would only delay their use after it: requests that are refused probe more servers than requests that are sent.
    const bool isPartitioned = probesBeforeChoice() && reachability_.isPartitioned(now, pool_.servingCount());
    if (event.liveness == ServerLiveness::Answered || (!event.isStatusCheck && !isPartitioned)) {
        pool_.applyProbeResult(event.backend, event.isHealthy || (event.request && event.report), now);
        reportEjection(now, event.backend, "probe", actions);
    }
    applyServerReport(now, event.sentAt, event.backend, event.report, event.warmUp, actions);
    if (event.report) {
        recordCapacity(now, event.backend);
    }
    applyLimitNotice(now, event.sentAt, event.backend, NoticeSource::Probe, event.limit, actions);
    applyBackoffNotice(now, event.backend, event.backoff, actions);
    dispatch(now, actions);
    if (event.request) {
        const auto found = requests_.find(*event.request);
        if (found != requests_.end() && found->second.choice) {
            Choice &choice = *found->second.choice;
            choice.pendingProbes -= choice.pendingProbes > 0 ? 1 : 0;
            continueChoice(now, found->second, actions);
        }
    }
    forwardWaiting(now, actions);
    startQueued(now, actions);
}

void ServiceShard::applyServerReport(TimePoint now,
                                     TimePoint askedAt,
                                     const std::string &backend,
                                     const std::optional<LoadReport> &report,
                                     const std::optional<Duration> &warmUp,
                                     ServiceActions &actions)
{
    if (warmUp) {
        pool_.setWarmUp(backend, *warmUp, now);
    }
    if (report) {
        pool_.applyLoadReport(backend, *report, now);
        chooser_.model().recordReport(*report);
        findDroppedAttempts(now, backend, *report, askedAt, actions);
    }
}

void ServiceShard::applyLimitNotice(
    TimePoint now, TimePoint sentAt, const std::string &backend, NoticeSource source, const std::optional<LimitNotice> &notice, ServiceActions &actions)
{
    if (!notice) {
        return;
    }
    if (const auto *unreadable = std::get_if<UnreadableLimit>(&*notice)) {
        actions.emplace_back(ServerLimitUnreadable{backend, unreadable->text});
    } else if (pool_.applyLimitNotice(now, sentAt, backend, source, *notice)) {
        reportLimit(now, backend, source, true, actions);
    } else if (pool_.claimLimitConfirmation(backend)) {
        reportLimit(now, backend, source, false, actions);
    }
}

void ServiceShard::applyBackoffNotice(TimePoint now, const std::string &backend, const BackoffNotice &notice, ServiceActions &actions)
{
    if (const auto *unreadable = std::get_if<UnreadableBackoff>(&notice)) {
        actions.emplace_back(ServerBackoffUnreadable{backend, unreadable->text});
    } else if (const auto *requested = std::get_if<BackoffRequest>(&notice); requested && pool_.applyBackoff(backend, requested->duration, now)) {
        actions.emplace_back(ServerBackoffStarted{backend, requested->duration});
    }
}

void ServiceShard::reportLimit(TimePoint now, const std::string &backend, std::optional<NoticeSource> source, bool isChanged, ServiceActions &actions) const
{
    const Backend &server = *pool_.find(backend);
    actions.emplace_back(
        ServerLimitObserved{backend, server.limit.perSecond(), pool_.limitShare(server, now), source, server.limit.lastObservedAt(), isChanged});
}

void ServiceShard::on(TimePoint now, const LimitsReported &event, ServiceActions &actions)
{
    for (const LimitReport &report : event.reports) {
        if (pool_.applyLimitReport(now, report)) {
            reportLimit(now, report.server, std::nullopt, true, actions);
        }
    }
    dispatch(now, actions);
}

void ServiceShard::checkLimits(TimePoint now, ServiceActions &actions)
{
    const auto index = probesBeforeChoice() ? pool_.limitCheckCandidate(now) : std::nullopt;
    if (!index || !chooser_.takeProbe(now)) {
        return;
    }
    const BackendServer &server = pool_.backends()[*index].server;
    pool_.markLimitChecked(server.name, now);
    actions.emplace_back(StartProbe{0, server.name, server.address, service_->choiceProbes.path, std::nullopt, true});
}

void ServiceShard::on(TimePoint now, const PayoutStoreAnswered &event, ServiceActions &actions)
{
    const auto decision = payouts_.handleStoreAnswer(event, now, actions);
    const auto found = requests_.find(event.request);
    if (found == requests_.end()) {
        return;
    }
    if (decision == PayoutCoordinator::Decision::Send) {
        startOrQueue(now, found->second, actions);
    } else if (decision == PayoutCoordinator::Decision::Finished) {
        requests_.erase(found);
    }
}

void ServiceShard::on(TimePoint now, const ServiceConfigured &event, ServiceActions &actions)
{
    if (event.version <= version_) {
        return;
    }
    version_ = event.version;
    service_ = event.service;
    pool_.configure(*service_, now);
    chooser_.configure(*service_, pool_, self_.name);
    versions_.setShift(service_->versionShift);
    for (auto &[id, request] : requests_) {
        request.versions = versions_.reassign(request.versions, pool_);
    }
    if (!sharesSlowServers()) {
        chooser_.hints() = ServerHints(self_.name);
    }
    retryBudget_.setPercent(service_->retry.budgetPercent);
    retryBudget_.setBurst(service_->retry.budgetBurst, service_->retry.budgetAtStart);
    retryBudget_.setWindow(service_->retry.window);
    hedgeBudget_.setPercent(service_->retry.hedgePercent);
    applyConnectionCap();
    checkRemovedServers(now, actions);
    startQueued(now, actions);
}

void ServiceShard::on(TimePoint, const LeavingServersChanged &event, ServiceActions &)
{
    if (event.order <= leavingOrder_) {
        return;
    }
    leavingOrder_ = event.order;
    pool_.setLeaving(event.leaving);
}

void ServiceShard::on(TimePoint, const FleetSizeChanged &event, ServiceActions &)
{
    if (entryVms_.take(event.order, std::max(1, event.entryVms))) {
        applyConnectionCap();
    }
}

void ServiceShard::on(TimePoint, const PeersInFlightReported &event, ServiceActions &)
{
    pool_.setPeersInFlight(event.backend, event.count);
}

void ServiceShard::on(TimePoint now, const Tick &, ServiceActions &actions)
{
    if (isExiting_) {
        return;
    }
    cancelAbandoned(now, actions);
    refuseUnfinishable(now, actions);
    expireQueued(now, actions);
    startQueued(now, actions);
    forwardWaiting(now, actions);
    tickChoices(now, actions);
    checkReachability(now, actions);
    reportReachability(now, actions);
    confirmDrops(now);
    reportSilence(now, actions);
    findSlowServers(now, actions);
    probeSuspectedServers(now, actions);
    checkLimits(now, actions);
    if (probesBeforeChoice() && service_->retry.hedgesFromBudget) {
        hedgeUnresponsive(now, actions);
    } else if (!probesBeforeChoice() && (service_->retry.hedgesFromBudget || service_->retry.hedgePercent > 0)) {
        hedgeSlow(now, actions);
    }
    payouts_.tick(now, actions);
}

ServerFilter ServiceShard::filterOf(const Request &request) const
{
    return {request.triedServers, request.versions};
}

KindClass ServiceShard::kindClass(const Request &request) const
{
    return request.arrival.kindClass;
}

bool ServiceShard::isPayout(const Request &request) const
{
    return kindClass(request) == KindClass::Payout;
}

void ServiceShard::startOrQueue(TimePoint now, Request &request, ServiceActions &actions)
{
    if (isExiting_) {
        // Only a payout whose record has just been written gets here.
        return;
    }
    if (probesBeforeChoice()) {
        if (!tryForward(now, request, actions)) {
            beginChoice(now, request, false, actions);
        }
        return;
    }
    // A hedge may still wait for a server since choice probes were in use. It would add another attempt to the one that is started here.
    request.choice.reset();
    // Requests that are already queued are served first.
    if (!queuedRequests_.empty() || !tryStart(now, request, actions)) {
        queuedRequests_.push_back(request.arrival.request);
    }
}

bool ServiceShard::tryStart(TimePoint now, Request &request, ServiceActions &actions)
{
    const auto index = pool_.take(now, random_, filterOf(request));
    if (!index) {
        return false;
    }
    startAt(now, pool_.backends()[*index], request, actions);
    return true;
}

void ServiceShard::startAt(TimePoint now, const Backend &backend, Request &request, ServiceActions &actions)
{
    ++request.attempts;
    const Duration objective = request.arrival.latencyObjective;
    Attempt &attempt = request.running.emplace_back();
    attempt.number = request.attempts;
    attempt.backend = backend.server.name;
    attempt.address = backend.server.address;
    attempt.startedAt = now;
    attempt.serverAtStart = snapshotOf(backend, now);
    attempt.expectedTime = std::chrono::round<Duration>(std::chrono::duration<double, std::milli>(chooser_.model().expectedMs(backend, objective, now)));
    request.triedServers.push_back(backend.server.name);
    AttemptLogContext logContext;
    logContext.cause = request.running.size() > 1 ? AttemptLogContext::Cause::Hedge
        : request.attempts > 1                    ? AttemptLogContext::Cause::Retry
                                                  : AttemptLogContext::Cause::First;
    logContext.report = backend.report;
    logContext.reportAge = backend.reportedAt ? now - *backend.reportedAt : Duration(0);
    logContext.serversProbed = request.serversProbed;
    logContext.priorWait = request.arrival.priorWait;
    logContext.limit = backend.limit.perSecond();
    logContext.limitAge = now - backend.limit.lastObservedAt();
    logContext.limitShare = pool_.limitShare(backend, now).value_or(0);
    if (const auto *hint = chooser_.hints().find(now, backend.server.name)) {
        logContext.slowHintAge = now - hint->report.observedAt;
    }
    // libcurl may resend a request when a reused connection turns out to be closed, and only the echoed exchange tag
    // distinguishes the right answer from a stray one. So only reads with a tag use an existing connection.
    const bool mayReuse = !needsNewConnection(kindClass(request));
    actions.emplace_back(
        StartAttempt{request.arrival.request, request.attempts, backend.server.name, backend.server.address, request.arrival.deadline, mayReuse, logContext});
}

void ServiceShard::startQueued(TimePoint now, ServiceActions &actions)
{
    while (!queuedRequests_.empty()) {
        const RequestId next = queuedRequests_.front();
        if (!expireIfDue(now, next, actions) && !tryStart(now, requests_.at(next), actions)) {
            return;
        }
        queuedRequests_.pop_front();
    }
}

void ServiceShard::expireQueued(TimePoint now, ServiceActions &actions)
{
    std::erase_if(queuedRequests_, [this, now, &actions](RequestId id) { return expireIfDue(now, id, actions); });
}

bool ServiceShard::expireIfDue(TimePoint now, RequestId id, ServiceActions &actions)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return true;
    }
    Request &request = found->second;
    const bool hasServer = pool_.hasCandidate();
    if (hasServer && now < request.arrival.deadline) {
        return false;
    }
    const ExecutionStatus status = request.mayHaveExecuted ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted;
    const auto retryAfter = hasServer ? RetryAfterWhenBusy : RetryAfterWithoutServer;
    refuse(request, {503, status, "wait for backend server", name_, "no backend server had room before the deadline", retryAfter}, actions);
    requests_.erase(found);
    return true;
}

void ServiceShard::applyConnectionCap()
{
    pool_.setInFlightCap(service_->limits.connectionsPerServer / entryVms_.value());
}

} // namespace Cloverbarrow
