/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"

#include "core/requests/comeback.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

constexpr const char *AllServersLimited = "all backend servers have got the requests that their limits, or their starts, allow";

} // namespace

ServiceShard::ServiceShard(Incarnation self, Location location, std::string name, PickPolicy policy, std::uint64_t seed)
    : self_(std::move(self))
    , name_(std::move(name))
    , pool_(policy, std::move(location))
    , ledger_(self_, name_)
    , random_(seed)
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
    return ledger_.openCount();
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
    Request &request = requests_[event.request];
    request.arrival = event;
    request.arrival.arrivedAt = now;
    if (event.callerTimeLeft > Duration(0)) {
        request.arrival.waitedBefore = patience_.waitedBefore(now, event.latencyObjective, event.callerTimeLeft);
    }
    lowestPriority_ = std::max(lowestPriority_, event.priority);
    retryBudget_.addFirstAttempt(now);
    hedgeBudget_.addFirstAttempt(now);
    if (isPayout(request)) {
        ledger_.open(event, actions);
    } else {
        start(now, request, actions);
    }
}

std::optional<Problem> ServiceShard::admissionProblem(TimePoint now, const RequestArrived &event) const
{
    const bool isRouted = event.maxAttempts > 0;
    if (!isRouted && event.kind >= service_.kinds.size()) {
        return Problem{503, Fate::NotRun, "admit", name_, "the service's configuration is changing", ComeBackWhenBusy};
    }
    if (now >= event.deadline) {
        return Problem{504, Fate::NotRun, "admit", name_, "the deadline has passed", std::nullopt};
    }
    if (isRefusedForEnds(now, event.content)) {
        return crashProblem(event.content, Fate::NotRun);
    }
    if (!pool_.hasCandidate()) {
        return Problem{503, Fate::NotRun, "choose backend server", name_, "no backend server in an allowed place", ComeBackWithoutServer};
    }
    if (const auto wait = boundedFor(now, event.latencyObjective)) {
        return Problem{503, Fate::NotRun, "choose backend server", name_, AllServersLimited, *wait};
    }
    const std::size_t held = std::max(requests_.size(), ledger_.openCount());
    if (held >= static_cast<std::size_t>(service_.limits.maxInFlight)) {
        return Problem{503, Fate::NotRun, "admit", name_, "too many requests in flight", ComeBackWhenBusy};
    }
    if (!probesFirst() && requests_.size() >= room(event.deadline - now)) {
        return Problem{503, Fate::NotRun, "admit", name_, "more requests are waiting than can be answered in time", ComeBackWhenBusy};
    }
    return std::nullopt;
}

std::size_t ServiceShard::room(Duration timeLeft) const
{
    const std::size_t slots = pool_.servingCount() * static_cast<std::size_t>(service_.limits.slotsPerServer);
    const double latencyMs = pool_.meanLatencyMs();
    if (latencyMs == 0) {
        return static_cast<std::size_t>(service_.limits.maxInFlight);
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
    startWaiting(now, actions);
}

void ServiceShard::on(TimePoint now, const ProbePermitted &event, ServiceActions &actions)
{
    if (const auto index = pool_.wantsProbe(now)) {
        const BackendServer &server = pool_.backends()[*index].server;
        actions.emplace_back(StartProbe{event.share, server.name, server.address, service_.measuring.path, std::nullopt});
    } else {
        actions.emplace_back(ReturnPermit{event.share});
    }
}

void ServiceShard::on(TimePoint now, const ProbeEnded &event, ServiceActions &actions)
{
    // A probe does not count as an attempt in flight; only its result is used.
    noteLifeSign(now, event.backend, event.sign, actions);
    if (event.isLeaving) {
        noteLeaving(event.backend, actions);
    }
    // A load report shows that the server answers, even if it reports itself as unhealthy; the results of requests show the rest.
    if (!event.isExtra || event.sign == LifeSign::Answered) {
        pool_.probed(event.backend, event.isHealthy || (event.request && event.report), now);
        reportEjection(now, event.backend, "probe", actions);
    }
    takeTold(now, event.backend, event.report, event.warmUp);
    takeLimitNotice(now, event.askedAt, event.backend, NoticeSource::Probe, event.limit, actions);
    dispatch(now, actions);
    if (event.request) {
        const auto found = requests_.find(*event.request);
        if (found != requests_.end() && found->second.choice) {
            Choice &choice = *found->second.choice;
            choice.pending -= choice.pending > 0 ? 1 : 0;
            proceedWithChoice(now, found->second, actions);
        }
    }
    startWaiting(now, actions);
}

void ServiceShard::takeTold(TimePoint now, const std::string &backend, const std::optional<LoadReport> &report, const std::optional<Duration> &warmUp)
{
    if (warmUp) {
        pool_.warmUpTold(backend, *warmUp, now);
    }
    if (report) {
        pool_.report(backend, *report, now);
        chooser_.model().told(*report);
    }
}

void ServiceShard::takeLimitNotice(
    TimePoint now, TimePoint sentAt, const std::string &backend, NoticeSource source, const std::optional<LimitNotice> &notice, ServiceActions &actions)
{
    if (!notice) {
        return;
    }
    if (const auto *unreadable = std::get_if<UnreadableLimit>(&*notice)) {
        actions.emplace_back(ServerLimitUnreadable{backend, unreadable->text});
    } else if (pool_.takeLimitNotice(now, sentAt, backend, source, *notice)) {
        reportLimit(now, backend, source, true, actions);
    } else if (pool_.takeLimitConfirmation(backend)) {
        reportLimit(now, backend, source, false, actions);
    }
}

void ServiceShard::reportLimit(TimePoint now, const std::string &backend, std::optional<NoticeSource> source, bool isChanged, ServiceActions &actions) const
{
    const Backend &server = *pool_.find(backend);
    actions.emplace_back(ServerLimitHeard{backend, server.limit.perSecond(), pool_.limitShare(server, now), source, server.limit.heardAt(), isChanged});
}

void ServiceShard::on(TimePoint now, const LimitsReported &event, ServiceActions &actions)
{
    for (const LimitReport &report : event.reports) {
        if (pool_.takeLimitReport(now, report)) {
            reportLimit(now, report.server, std::nullopt, true, actions);
        }
    }
    dispatch(now, actions);
}

void ServiceShard::checkLimits(TimePoint now, ServiceActions &actions)
{
    const auto index = probesFirst() ? pool_.wantsLimitCheck(now) : std::nullopt;
    if (!index || !chooser_.takeProbe(now)) {
        return;
    }
    const BackendServer &server = pool_.backends()[*index].server;
    pool_.limitChecked(server.name, now);
    actions.emplace_back(StartProbe{0, server.name, server.address, service_.choiceProbes.path, std::nullopt, true});
}

void ServiceShard::on(TimePoint now, const PayoutStoreAnswered &event, ServiceActions &actions)
{
    const auto decision = ledger_.storeAnswered(event, now, actions);
    const auto found = requests_.find(event.request);
    if (found == requests_.end()) {
        return;
    }
    if (decision == PayoutLedger::Decision::Send) {
        start(now, found->second, actions);
    } else if (decision == PayoutLedger::Decision::Finished) {
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
    pool_.configure(service_, now);
    chooser_.configure(service_, pool_, self_.name);
    retryBudget_.setPercent(service_.retry.budgetPercent);
    retryBudget_.setBurst(service_.retry.budgetBurst, service_.retry.budgetAtStart);
    retryBudget_.setWindow(service_.retry.window);
    hedgeBudget_.setPercent(service_.retry.hedgePercent);
    applyCap();
    watchEntries(now, actions);
    startWaiting(now, actions);
}

void ServiceShard::on(TimePoint, const LeavingChanged &event, ServiceActions &)
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
        applyCap();
    }
}

void ServiceShard::on(TimePoint, const PeersInFlightTold &event, ServiceActions &)
{
    pool_.setPeersInFlight(event.backend, event.count);
}

void ServiceShard::on(TimePoint now, const Tick &, ServiceActions &actions)
{
    expireWaiting(now, actions);
    startWaiting(now, actions);
    tickChoices(now, actions);
    probeWatched(now, actions);
    checkLimits(now, actions);
    if (probesFirst() && service_.retry.hedgesFromBudget) {
        rescue(now, actions);
    } else if (!probesFirst() && (service_.retry.hedgesFromBudget || service_.retry.hedgePercent > 0)) {
        hedge(now, actions);
    }
    ledger_.tick(now, actions);
}

KindClass ServiceShard::kindClass(const Request &request) const
{
    return request.arrival.kindClass;
}

bool ServiceShard::isPayout(const Request &request) const
{
    return kindClass(request) == KindClass::Payout;
}

void ServiceShard::start(TimePoint now, Request &request, ServiceActions &actions)
{
    if (probesFirst()) {
        beginChoice(now, request, false, actions);
        return;
    }
    // Requests that are already queued are served first.
    if (!waiting_.empty() || !tryStart(now, request, actions)) {
        waiting_.push_back(request.arrival.request);
    }
}

bool ServiceShard::tryStart(TimePoint now, Request &request, ServiceActions &actions)
{
    const auto index = pool_.take(now, random_, request.tried);
    if (!index) {
        return false;
    }
    startAt(now, pool_.backends()[*index], request, actions);
    return true;
}

void ServiceShard::startAt(TimePoint now, const Backend &backend, Request &request, ServiceActions &actions)
{
    ++request.attempts;
    request.running.push_back({request.attempts, backend.server.name, backend.server.address, now, startStateOf(backend, now), std::nullopt});
    request.tried.push_back(backend.server.name);
    // libcurl may resend a request when a reused connection turns out to be closed, and only the echoed exchange tag
    // distinguishes the right answer from a stray one. So only reads with a tag use an existing connection.
    ChoiceNote logContext;
    logContext.cause = request.running.size() > 1 ? ChoiceNote::Cause::Hedge : request.attempts > 1 ? ChoiceNote::Cause::Retry : ChoiceNote::Cause::First;
    logContext.report = backend.report;
    logContext.reportAge = backend.reportedAt ? now - *backend.reportedAt : Duration(0);
    logContext.probes = request.probes;
    logContext.waitedBefore = request.arrival.waitedBefore;
    logContext.limit = backend.limit.perSecond();
    logContext.limitAge = now - backend.limit.heardAt();
    logContext.limitShare = pool_.limitShare(backend, now).value_or(0);
    const bool mayReuse = service_.echoesExchangeTag && kindClass(request) == KindClass::Read;
    actions.emplace_back(
        StartAttempt{request.arrival.request, request.attempts, backend.server.name, backend.server.address, request.arrival.deadline, mayReuse, logContext});
}

void ServiceShard::startWaiting(TimePoint now, ServiceActions &actions)
{
    while (!waiting_.empty()) {
        const RequestId next = waiting_.front();
        if (!expire(now, next, actions) && !tryStart(now, requests_.at(next), actions)) {
            return;
        }
        waiting_.pop_front();
    }
}

void ServiceShard::expireWaiting(TimePoint now, ServiceActions &actions)
{
    std::erase_if(waiting_, [this, now, &actions](RequestId id) { return expire(now, id, actions); });
}

bool ServiceShard::expire(TimePoint now, RequestId id, ServiceActions &actions)
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
    const Fate fate = request.mayHaveRun ? Fate::Unknown : Fate::NotRun;
    const auto retryAfter = hasServer ? ComeBackWhenBusy : ComeBackWithoutServer;
    refuse(request, {503, fate, "wait for backend server", name_, "no backend server had room before the deadline", retryAfter}, actions);
    requests_.erase(found);
    return true;
}

void ServiceShard::applyCap()
{
    pool_.setInFlightCap(service_.limits.connectionsPerServer / entryVms_.value());
}

} // namespace Cloverbarrow
