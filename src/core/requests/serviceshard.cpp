/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

constexpr Duration ComeBackWhenBusy = seconds(1);
constexpr Duration ComeBackWithoutServer = seconds(5);
constexpr int ServerError = 500;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
// Attempts that never left may be made up for this often.
constexpr int MaxUnsent = 3;
AttemptQuality qualityOf(const AttemptOutcome &outcome)
{
    if (const auto *answer = std::get_if<AnsweredWhole>(&outcome)) {
        if (answer->isNotRun) {
            return AttemptQuality::Neutral;
        }
        return answer->status < ServerError ? AttemptQuality::Good : AttemptQuality::Failed;
    }
    return AttemptQuality::Failed;
}

/// Visitor that words the refusal for an attempt that ended without an answer to pass.
struct ProblemOf {
    std::string peer;
    bool mayHaveRun;

    Fate fate(bool isNotRun) const
    {
        return isNotRun && !mayHaveRun ? Fate::NotRun : Fate::Unknown;
    }

    Problem operator()(const AnsweredWhole &answer) const
    {
        return {503, fate(answer.isNotRun), "run request", peer, "the backend server did not run the request", ComeBackWhenBusy};
    }

    Problem operator()(const NeverLeft &failure) const
    {
        return {503, fate(true), "connect", peer, failure.reason, ComeBackWhenBusy};
    }

    Problem operator()(const LostAnswer &failure) const
    {
        return {failure.isTimeout ? 504 : 502, fate(false), "await answer", peer, failure.reason, std::nullopt};
    }
};

} // namespace

ServiceShard::ServiceShard(Incarnation self, Location own, std::string name, PickPolicy policy, std::uint64_t seed)
    : self_(std::move(self))
    , name_(std::move(name))
    , pool_(policy, std::move(own))
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
    if (!pool_.hasCandidate()) {
        return Problem{503, Fate::NotRun, "choose backend server", name_, "no backend server in an allowed place", ComeBackWithoutServer};
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
    // The latency has the waiting at the servers in it, so the room shrinks as they fill: with service time s and
    // deadline d the waiting settles near the root of s * d / 2, far below the deadline. All slots may always be
    // filled, which leaves bursts of one entry VM their room.
    constexpr double PartOfDeadline = 0.5;
    const double rounds = PartOfDeadline * toMilliseconds(timeLeft) / latencyMs;
    const double share = static_cast<double>(slots) * rounds / entryVms_;
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
        // Cutting a write short would leave it half known; it ends by its deadline.
        request.isCallerGone = true;
        return;
    }
    cancelRunning(now, request, actions);
    actions.emplace_back(DropRequest{event.request});
    requests_.erase(found);
    startWaiting(now, actions);
}

void ServiceShard::on(TimePoint now, const AttemptEnded &event, ServiceActions &actions)
{
    const auto attempt = takeRunning(event.request, event.attempt);
    if (!attempt) {
        return;
    }
    Request &request = requests_.at(event.request);
    learn(now, *attempt, event, actions);
    const Verdict verdict = judge(request, event.outcome);
    const bool isGood = verdict == Verdict::Pass;
    const auto *answer = std::get_if<AnsweredWhole>(&event.outcome);
    const bool isNotRun = std::holds_alternative<NeverLeft>(event.outcome) || (answer && answer->isNotRun);
    const bool isUnsent = std::holds_alternative<NeverLeft>(event.outcome);
    request.mayHaveRun = request.mayHaveRun || !isNotRun;
    request.unsent += isUnsent ? 1 : 0;
    // While another attempt is under way, it may still bring a good answer.
    const bool isLast = isGood || request.running.empty();
    const bool wantsRetry = !isGood && verdict != Verdict::Refuse;
    if (isLast && wantsRetry && mayRetry(now, request, isUnsent)) {
        start(now, request, actions);
    } else if (isLast) {
        conclude(now, request, *attempt, event, verdict, actions);
        requests_.erase(event.request);
    }
    startWaiting(now, actions);
}

std::optional<ServiceShard::Attempt> ServiceShard::takeRunning(RequestId request, int number)
{
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
        return std::nullopt;
    }
    auto &running = found->second.running;
    const auto attempt = std::find_if(running.begin(), running.end(), [number](const Attempt &item) { return item.number == number; });
    if (attempt == running.end()) {
        return std::nullopt;
    }
    Attempt taken = std::move(*attempt);
    running.erase(attempt);
    return taken;
}

AttemptQuality ServiceShard::qualityOf(const Attempt &attempt, const AttemptOutcome &outcome) const
{
    const auto *lost = std::get_if<LostAnswer>(&outcome);
    // Some servers reset connections when they are full; that is no sign of illness.
    const bool isShed = probesFirst() && lost && !lost->isTimeout && attempt.crowding == Crowding::HadToWait;
    return isShed ? AttemptQuality::Neutral : Cloverbarrow::qualityOf(outcome);
}

void ServiceShard::learn(TimePoint now, const Attempt &attempt, const AttemptEnded &event, ServiceActions &actions)
{
    pool_.release(attempt.backend, qualityOf(attempt, event.outcome), now - attempt.startedAt, now);
    if (event.report) {
        pool_.report(attempt.backend, *event.report, now);
        chooser_.model().toldSlowness(event.report->slowness);
    }
    const auto *answer = std::get_if<AnsweredWhole>(&event.outcome);
    if (answer && answer->isLeaving) {
        noteLeaving(attempt.backend, actions);
    }
    if (Cloverbarrow::qualityOf(event.outcome) == AttemptQuality::Good) {
        chooser_.model().answered(requests_.at(event.request).arrival.latencyObjective, now - attempt.startedAt, attempt.crowding);
    }
}

void ServiceShard::noteLeaving(const std::string &backend, ServiceActions &actions)
{
    pool_.markLeaving(backend);
    actions.emplace_back(TellLeaving{backend});
}

ServiceShard::Verdict ServiceShard::judge(const Request &request, const AttemptOutcome &outcome) const
{
    const bool isFreelyRetried = kindClass(request) == KindClass::Read && !request.arrival.isRetryAbove;
    if (std::holds_alternative<NeverLeft>(outcome)) {
        return Verdict::RetryOrRefuse;
    }
    if (std::holds_alternative<LostAnswer>(outcome)) {
        return isFreelyRetried ? Verdict::RetryOrRefuse : Verdict::Refuse;
    }
    const auto &answer = std::get<AnsweredWhole>(outcome);
    if (answer.isNotRun) {
        return request.arrival.isRetryAbove ? Verdict::Refuse : Verdict::RetryOrRefuse;
    }
    if (answer.isMisleading) {
        return isFreelyRetried ? Verdict::RetryOrRefuse : Verdict::Refuse;
    }
    const auto &statuses = service_.retry.statuses;
    const bool isRetriedStatus = std::find(statuses.begin(), statuses.end(), answer.status) != statuses.end();
    // Were each level of a deep call to retry what the next has retried, the attempts would multiply.
    return isFreelyRetried && isRetriedStatus && !answer.isRetriedBelow ? Verdict::RetryOrPass : Verdict::Pass;
}

int ServiceShard::maxAttempts(const Request &request) const
{
    const int limit = request.arrival.maxAttempts > 0 ? request.arrival.maxAttempts : service_.retry.maxAttempts;
    return probesFirst() ? limit + std::min(request.unsent, MaxUnsent) : limit;
}

bool ServiceShard::mayRetry(TimePoint now, const Request &request, bool isUnsent)
{
    const bool hasAttempts = request.attempts < maxAttempts(request);
    const bool isWanted = !request.isCallerGone || isPayout(request);
    const bool isPossible = hasAttempts && isWanted && now < request.arrival.deadline && pool_.hasCandidate();
    const bool isFree = isUnsent && probesFirst();
    return isPossible && (isFree || retryBudget_.take(now));
}

void ServiceShard::conclude(TimePoint now, Request &request, const Attempt &attempt, const AttemptEnded &event, Verdict verdict, ServiceActions &actions)
{
    const RequestId id = request.arrival.request;
    cancelRunning(now, request, actions);
    if (verdict == Verdict::Pass || verdict == Verdict::RetryOrPass) {
        if (isPayout(request)) {
            ledger_.settled(id, event.attempt, std::get<AnsweredWhole>(event.outcome), actions);
        } else {
            actions.emplace_back(PassAnswer{id, event.attempt});
        }
        return;
    }
    refuse(request, std::visit(ProblemOf{attempt.backend, request.mayHaveRun}, event.outcome), actions);
}

void ServiceShard::cancelRunning(TimePoint now, Request &request, ServiceActions &actions)
{
    for (const Attempt &attempt : request.running) {
        actions.emplace_back(CancelAttempt{request.arrival.request, attempt.number, attempt.address});
        pool_.release(attempt.backend, AttemptQuality::Neutral, now - attempt.startedAt, now);
    }
    request.running.clear();
}

void ServiceShard::refuse(const Request &request, Problem problem, ServiceActions &actions)
{
    const RequestId id = request.arrival.request;
    if (problem.fate == Fate::Unknown && problem.status == Unavailable) {
        // To callers, 503 says that a request was not run.
        problem.status = BadGateway;
        problem.retryAfter.reset();
    }
    if (!isPayout(request)) {
        actions.emplace_back(Refuse{id, std::move(problem)});
    } else if (problem.fate == Fate::NotRun) {
        ledger_.notSent(id, problem, actions);
    } else {
        ledger_.lost(id, problem, actions);
    }
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
    // A probe takes no slot in the count of attempts; only its news is used.
    if (event.isLeaving) {
        noteLeaving(event.backend, actions);
    }
    // A load report from a server that calls itself ill still tells that it answers; requests show the rest.
    pool_.probed(event.backend, event.isHealthy || (event.request && event.report), now);
    if (event.report) {
        pool_.report(event.backend, *event.report, now);
        chooser_.model().toldSlowness(event.report->slowness);
    }
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
    startWaiting(now, actions);
}

void ServiceShard::on(TimePoint, const LeavingChanged &event, ServiceActions &)
{
    pool_.setLeaving(event.leaving);
}

void ServiceShard::on(TimePoint, const FleetSizeChanged &event, ServiceActions &)
{
    entryVms_ = std::max(1, event.entryVms);
    applyCap();
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
    hedge(now, actions);
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
    // Those that wait already go first.
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
    // The server has been taken: this attempt is among those that it holds.
    const Crowding crowding = crowdingAt(heldBy(backend) - 1, slotsOf(backend));
    request.running.push_back({request.attempts, backend.server.name, backend.server.address, now, crowding, std::nullopt});
    request.tried.push_back(backend.server.name);
    // The C library's HTTP client may resend on a connection that turns out dead, and only the echoed tag
    // tells an answer from a stray one; so only tagged reads go on a used connection.
    ChoiceNote note;
    note.cause = request.running.size() > 1 ? ChoiceNote::Cause::Hedge : request.attempts > 1 ? ChoiceNote::Cause::Retry : ChoiceNote::Cause::First;
    note.report = backend.report;
    note.reportAge = backend.reportedAt ? now - *backend.reportedAt : Duration(0);
    note.probes = request.probes;
    const bool mayReuse = service_.echoesExchangeTag && kindClass(request) == KindClass::Read;
    actions.emplace_back(
        StartAttempt{request.arrival.request, request.attempts, backend.server.name, backend.server.address, request.arrival.deadline, mayReuse, note});
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
    const auto comeBack = hasServer ? ComeBackWhenBusy : ComeBackWithoutServer;
    refuse(request, {503, fate, "wait for backend server", name_, "no backend server had room before the deadline", comeBack}, actions);
    requests_.erase(found);
    return true;
}

void ServiceShard::applyCap()
{
    pool_.setInFlightCap(service_.limits.connectionsPerServer / entryVms_);
}

} // namespace Cloverbarrow
