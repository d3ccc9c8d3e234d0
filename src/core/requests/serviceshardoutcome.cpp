/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"

#include "core/requests/overloadpolicy.h"
#include "core/requests/retryafter.h"
#include "core/support/httpstatus.h"

#include <algorithm>

// The part of ServiceShard that evaluates the outcomes of attempts: return the answer, retry or refuse.

namespace Cloverbarrow
{

namespace
{

// Attempts that were never sent may be replaced this often without counting towards the limit on attempts.
constexpr int MaxUnsentReplaced = 3;

AttemptQuality qualityOf(const AttemptOutcome &outcome)
{
    if (const auto *answer = std::get_if<CompleteAnswer>(&outcome)) {
        if (answer->isNotExecuted) {
            return AttemptQuality::Neutral;
        }
        return answer->status < HttpStatus::ServerError ? AttemptQuality::Good : AttemptQuality::Failed;
    }
    return AttemptQuality::Failed;
}

/// Visitor that builds the refusal for an attempt that ended without an answer to return.
struct RefusalBuilder {
    std::string peer;
    bool mayHaveExecuted;
    Duration retryAfter; ///< Delay after which a client retry may succeed at another server.

    ExecutionStatus executionStatus(bool isNotExecuted) const
    {
        return isNotExecuted && !mayHaveExecuted ? ExecutionStatus::NotExecuted : ExecutionStatus::Unknown;
    }

    Problem operator()(const CompleteAnswer &answer) const
    {
        return {HttpStatus::ServiceUnavailable,
                executionStatus(answer.isNotExecuted),
                "run request",
                peer,
                "the backend server did not run the request",
                retryAfter};
    }

    Problem operator()(const NotSent &failure) const
    {
        return {HttpStatus::ServiceUnavailable, executionStatus(true), "connect", peer, failure.reason, retryAfter};
    }

    Problem operator()(const LostAnswer &failure) const
    {
        return {failure.isTimeout ? HttpStatus::GatewayTimeout : HttpStatus::BadGateway,
                executionStatus(false),
                "await answer",
                peer,
                failure.reason,
                std::nullopt};
    }
};

} // namespace

void ServiceShard::on(TimePoint now, const AttemptEnded &event, ServiceActions &actions)
{
    if (isExiting_ && !std::holds_alternative<CompleteAnswer>(event.outcome)) {
        endAborted(event.request, event.attempt, std::holds_alternative<LostAnswer>(event.outcome), actions);
        return;
    }
    auto attempt = takeRunning(event.request, event.attempt);
    if (!attempt) {
        if (const auto abandoned = abandonedAttempts_.take(event.request, event.attempt)) {
            applyAnnouncements(now, abandoned->startedAt, abandoned->backend, event, actions);
        }
        return;
    }
    Request &request = requests_.at(event.request);
    reportVersionOutcome(now, *attempt, event, actions);
    recordOutcome(now, *attempt, event, actions);
    if (attempt->reportedDroppedAt && std::holds_alternative<LostAnswer>(event.outcome)) {
        silence_.dropConfirmed(now);
    }
    recordReachability(now, *attempt, request, event);
    watchForCrash(now, *attempt, event, actions);
    const Disposition disposition = dispositionOf(request, event.outcome);
    const bool isGood = disposition == Disposition::Return;
    const auto *answer = std::get_if<CompleteAnswer>(&event.outcome);
    const bool isNotExecuted = std::holds_alternative<NotSent>(event.outcome) || (answer && answer->isNotExecuted);
    const bool isUnsent = std::holds_alternative<NotSent>(event.outcome);
    request.mayHaveExecuted = request.mayHaveExecuted || !isNotExecuted;
    request.unsentAttempts += isUnsent ? 1 : 0;
    // Another attempt in flight may still get a good answer.
    const bool isLast = isGood || request.running.empty();
    const bool wantsRetry = !isGood && disposition != Disposition::Refuse;
    if (isLast && wantsRetry && mayRetry(now, request, isUnsent)) {
        request.versions = versions_.forRetry(pool_);
        startOrQueue(now, request, actions);
    } else if (isLast) {
        finishRequest(now, request, *attempt, event, disposition, actions);
        requests_.erase(event.request);
    }
    // The answer has freed a slot, and its load report is the server's newest.
    dispatch(now, actions);
    startQueued(now, actions);
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
    // Some servers reset connections when they are full; that is not a fault of the server.
    const bool isShed = probesBeforeChoice() && lost && !lost->isTimeout && attempt.serverAtStart.wasQueued();
    const bool isDropped = lost && attempt.reportedDroppedAt;
    return isShed || isDropped ? AttemptQuality::Neutral : Cloverbarrow::qualityOf(outcome);
}

void ServiceShard::recordOutcome(TimePoint now, Attempt &attempt, const AttemptEnded &event, ServiceActions &actions)
{
    pool_.release(attempt.backend, qualityOf(attempt, event.outcome), now - attempt.startedAt, now);
    if (const auto *answer = std::get_if<CompleteAnswer>(&event.outcome);
        !std::holds_alternative<NotSent>(event.outcome) && !(answer && answer->isNotExecuted)) {
        longestResponses_.record(now, requests_.at(event.request).arrival.latencyObjective, now - attempt.startedAt);
    }
    reportEjection(now, attempt.backend, "attempt", actions);
    applyAnnouncements(now, attempt.startedAt, attempt.backend, event, actions);
    if (Cloverbarrow::qualityOf(event.outcome) == AttemptQuality::Good) {
        chooser_.model().recordResponse(requests_.at(event.request).arrival.latencyObjective, now - attempt.startedAt, attempt.serverAtStart);
    }
    recordSpeed(now, attempt, event, actions);
}

void ServiceShard::applyAnnouncements(TimePoint now, TimePoint sentAt, const std::string &backend, const AttemptEnded &event, ServiceActions &actions)
{
    const auto *answer = std::get_if<CompleteAnswer>(&event.outcome);
    if (!answer || !answer->isFromAnotherServer) {
        // A report by another server does not apply: that server may belong to another service, with other slots and speed.
        applyServerReport(now, sentAt, backend, event.report, event.warmUp, actions);
        applyLimitNotice(now, sentAt, backend, answer && answer->isNotExecuted ? NoticeSource::Rejection : NoticeSource::Executed, event.limit, actions);
        applyBackoffNotice(now, backend, event.backoff, actions);
    }
    if (answer && answer->isLeaving) {
        markLeaving(backend, actions);
    }
}

void ServiceShard::reportVersionOutcome(TimePoint now, const Attempt &attempt, const AttemptEnded &event, ServiceActions &actions) const
{
    const Backend *backend = pool_.find(attempt.backend);
    const AttemptQuality quality = qualityOf(attempt, event.outcome);
    // Servers of either version are slow after their start.
    if (!service_->versionShift || !backend || now < backend->warmAt || quality == AttemptQuality::Neutral) {
        return;
    }
    // Several times the latency without contention; contention alone seldom causes it.
    constexpr double SlowFactor = 3;
    const Duration objective = requests_.at(event.request).arrival.latencyObjective;
    VersionOutcome outcome{backend->isTargetVersion, objective, quality == AttemptQuality::Failed, false};
    outcome.isSlow = !outcome.isFailure && toMilliseconds(now - attempt.startedAt) > SlowFactor * chooser_.model().unloadedLatencyMs(objective);
    actions.emplace_back(VersionOutcomeObserved{outcome});
}

void ServiceShard::reportEjection(TimePoint now, const std::string &backend, const char *after, ServiceActions &actions)
{
    const Backend *server = pool_.find(backend);
    if (server && server->ejectedAt == now && server->ejectedUntil > now) {
        actions.emplace_back(ServerEjected{backend, server->ejectedUntil - now, std::string(after) + ", ejection " + std::to_string(server->ejections)});
    }
}

void ServiceShard::markLeaving(const std::string &backend, ServiceActions &actions)
{
    pool_.markLeaving(backend);
    actions.emplace_back(ReportServerLeaving{backend});
}

ServiceShard::Disposition ServiceShard::dispositionOf(const Request &request, const AttemptOutcome &outcome) const
{
    const bool isFreelyRetried = kindClass(request) == KindClass::Read && !request.arrival.isPartOfRetry;
    if (std::holds_alternative<NotSent>(outcome)) {
        return Disposition::RetryOrRefuse;
    }
    if (std::holds_alternative<LostAnswer>(outcome)) {
        return isFreelyRetried ? Disposition::RetryOrRefuse : Disposition::Refuse;
    }
    const auto &answer = std::get<CompleteAnswer>(outcome);
    if (answer.isNotExecuted) {
        return request.arrival.isPartOfRetry ? Disposition::Refuse : Disposition::RetryOrRefuse;
    }
    if (answer.isMisleading) {
        return isFreelyRetried ? Disposition::RetryOrRefuse : Disposition::Refuse;
    }
    const auto &statuses = service_->retry.statuses;
    const bool isRetriedStatus = std::find(statuses.begin(), statuses.end(), answer.status) != statuses.end();
    // If each level of a deep call retried what the level below has already retried, the attempts would multiply.
    return isFreelyRetried && isRetriedStatus && !answer.wasRetriedBelow ? Disposition::RetryOrReturn : Disposition::Return;
}

int ServiceShard::maxAttempts(const Request &request) const
{
    const int limit = request.arrival.maxAttempts > 0 ? request.arrival.maxAttempts : service_->retry.maxAttempts;
    return probesBeforeChoice() ? limit + std::min(request.unsentAttempts, MaxUnsentReplaced) : limit;
}

bool ServiceShard::mayRetry(TimePoint now, const Request &request, bool isUnsent)
{
    const bool hasAttempts = request.attempts < maxAttempts(request);
    const bool isWanted = !request.isCallerGone || isPayout(request);
    const bool isTolerated = !mayCrashTooManyServers(now, request);
    const bool isPossible = !isExiting_ && canFinishBeforeExit(now, request.arrival) && hasAttempts && !request.isHandedOver && isWanted && isTolerated
        && hasTimeForAttempt(now, request) && pool_.hasCandidate();
    const bool isFree = isUnsent && probesBeforeChoice();
    return isPossible && (isFree || retryBudget_.take(now));
}

bool ServiceShard::hasTimeForAttempt(TimePoint now, const Request &request) const
{
    const Duration left = request.arrival.deadline - now;
    return probesBeforeChoice() ? canFinishInTime(left, chooser_.model().unloadedLatencyMs(request.arrival.latencyObjective)) : left > Duration(0);
}

void ServiceShard::finishRequest(
    TimePoint now, Request &request, const Attempt &attempt, const AttemptEnded &event, Disposition disposition, ServiceActions &actions)
{
    const RequestId id = request.arrival.request;
    cancelRunning(now, request, actions);
    if (disposition == Disposition::Return || disposition == Disposition::RetryOrReturn) {
        if (isPayout(request)) {
            payouts_.handleAnswer(id, event.attempt, std::get<CompleteAnswer>(event.outcome), actions);
        } else {
            actions.emplace_back(ReturnAnswer{id, event.attempt});
        }
        return;
    }
    refuse(request, std::visit(RefusalBuilder{attempt.backend, request.mayHaveExecuted, clientRetryDelay(attempt, request)}, event.outcome), actions);
}

Duration ServiceShard::clientRetryDelay(const Attempt &attempt, const Request &request) const
{
    const Duration objective = request.arrival.latencyObjective;
    return probesBeforeChoice() && !attempt.serverAtStart.wasQueued() ? retryAfterFalseReport(objective) : RetryAfterWhenBusy;
}

void ServiceShard::cancelRunning(TimePoint now, Request &request, ServiceActions &actions)
{
    for (const Attempt &attempt : request.running) {
        if (probesBeforeChoice() && !attempt.isForward && AbandonedAttempts::mayBeRejected(now, attempt.startedAt)) {
            abandonedAttempts_.add({request.arrival.request, attempt.number, attempt.backend, attempt.address, attempt.startedAt});
        } else {
            actions.emplace_back(CancelAttempt{request.arrival.request, attempt.number, attempt.address});
        }
        pool_.release(attempt.backend, AttemptQuality::Neutral, now - attempt.startedAt, now);
    }
    request.running.clear();
}

void ServiceShard::cancelAbandoned(TimePoint now, ServiceActions &actions)
{
    for (AbandonedAttempt &attempt : abandonedAttempts_.takeDue(now)) {
        actions.emplace_back(CancelAttempt{attempt.request, attempt.number, std::move(attempt.address)});
    }
}

void ServiceShard::refuse(const Request &request, Problem problem, ServiceActions &actions)
{
    const RequestId id = request.arrival.request;
    if (problem.executionStatus == ExecutionStatus::Unknown && problem.status == HttpStatus::ServiceUnavailable) {
        // To callers, 503 means that the request was not executed.
        problem.status = HttpStatus::BadGateway;
        problem.retryAfter.reset();
    }
    if (!isPayout(request)) {
        actions.emplace_back(Refuse{id, std::move(problem)});
    } else if (problem.executionStatus == ExecutionStatus::NotExecuted) {
        payouts_.handleNotSent(id, problem, actions);
    } else {
        payouts_.handleLostAnswer(id, problem, actions);
    }
}

} // namespace Cloverbarrow
