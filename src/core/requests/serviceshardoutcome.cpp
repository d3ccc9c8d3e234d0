/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"

#include "core/requests/comeback.h"
#include "core/requests/overloadpolicy.h"
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
    if (const auto *answer = std::get_if<AnsweredWhole>(&outcome)) {
        if (answer->isNotRun) {
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

    Fate executionStatus(bool isNotExecuted) const
    {
        return isNotExecuted && !mayHaveExecuted ? Fate::NotRun : Fate::Unknown;
    }

    Problem operator()(const AnsweredWhole &answer) const
    {
        return {HttpStatus::Unavailable, executionStatus(answer.isNotRun), "run request", peer, "the backend server did not run the request", retryAfter};
    }

    Problem operator()(const NeverLeft &failure) const
    {
        return {HttpStatus::Unavailable, executionStatus(true), "connect", peer, failure.reason, retryAfter};
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
    const auto attempt = takeRunning(event.request, event.attempt);
    if (!attempt) {
        return;
    }
    Request &request = requests_.at(event.request);
    learn(now, *attempt, event, actions);
    watchForEnd(now, *attempt, event, actions);
    const Verdict disposition = judge(request, event.outcome);
    const bool isGood = disposition == Verdict::Pass;
    const auto *answer = std::get_if<AnsweredWhole>(&event.outcome);
    const bool isNotExecuted = std::holds_alternative<NeverLeft>(event.outcome) || (answer && answer->isNotRun);
    const bool isUnsent = std::holds_alternative<NeverLeft>(event.outcome);
    request.mayHaveRun = request.mayHaveRun || !isNotExecuted;
    request.unsent += isUnsent ? 1 : 0;
    // Another attempt in flight may still get a good answer.
    const bool isLast = isGood || request.running.empty();
    const bool wantsRetry = !isGood && disposition != Verdict::Refuse;
    if (isLast && wantsRetry && mayRetry(now, request, isUnsent)) {
        start(now, request, actions);
    } else if (isLast) {
        conclude(now, request, *attempt, event, disposition, actions);
        requests_.erase(event.request);
    }
    // The answer has freed a slot, and its load report is the server's newest.
    dispatch(now, actions);
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
    // Some servers reset connections when they are full; that is not a fault of the server.
    const bool isShed = probesFirst() && lost && !lost->isTimeout && attempt.start.hadToWait();
    return isShed ? AttemptQuality::Neutral : Cloverbarrow::qualityOf(outcome);
}

void ServiceShard::learn(TimePoint now, const Attempt &attempt, const AttemptEnded &event, ServiceActions &actions)
{
    pool_.release(attempt.backend, qualityOf(attempt, event.outcome), now - attempt.startedAt, now);
    reportEjection(now, attempt.backend, "attempt", actions);
    const auto *answer = std::get_if<AnsweredWhole>(&event.outcome);
    if (!answer || !answer->isByAnother) {
        // A report by another server does not apply: that server may belong to another service, with other slots and speed.
        takeTold(now, attempt.backend, event.report, event.warmUp);
        takeLimitNotice(
            now, attempt.startedAt, attempt.backend, answer && answer->isNotRun ? NoticeSource::Rejection : NoticeSource::Run, event.limit, actions);
    }
    if (answer && answer->isLeaving) {
        noteLeaving(attempt.backend, actions);
    }
    if (Cloverbarrow::qualityOf(event.outcome) == AttemptQuality::Good) {
        chooser_.model().answered(requests_.at(event.request).arrival.latencyObjective, now - attempt.startedAt, attempt.start);
    }
}

void ServiceShard::reportEjection(TimePoint now, const std::string &backend, const char *after, ServiceActions &actions)
{
    const Backend *server = pool_.find(backend);
    if (server && server->ejectedAt == now && server->ejectedUntil > now) {
        actions.emplace_back(ServerEjected{backend, server->ejectedUntil - now, std::string(after) + ", ejection " + std::to_string(server->ejections)});
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
    // If each level of a deep call retried what the level below has already retried, the attempts would multiply.
    return isFreelyRetried && isRetriedStatus && !answer.isRetriedBelow ? Verdict::RetryOrPass : Verdict::Pass;
}

int ServiceShard::maxAttempts(const Request &request) const
{
    const int limit = request.arrival.maxAttempts > 0 ? request.arrival.maxAttempts : service_.retry.maxAttempts;
    return probesFirst() ? limit + std::min(request.unsent, MaxUnsentReplaced) : limit;
}

bool ServiceShard::mayRetry(TimePoint now, const Request &request, bool isUnsent)
{
    const bool hasAttempts = request.attempts < maxAttempts(request);
    const bool isWanted = !request.isCallerGone || isPayout(request);
    const bool isTolerated = !mayEndTooMany(now, request);
    const bool isPossible = hasAttempts && isWanted && isTolerated && hasTimeForAttempt(now, request) && pool_.hasCandidate();
    const bool isFree = isUnsent && probesFirst();
    return isPossible && (isFree || retryBudget_.take(now));
}

bool ServiceShard::hasTimeForAttempt(TimePoint now, const Request &request) const
{
    const Duration left = request.arrival.deadline - now;
    return probesFirst() ? mayStillEnd(left, chooser_.model().workMs(request.arrival.latencyObjective)) : left > Duration(0);
}

void ServiceShard::conclude(TimePoint now, Request &request, const Attempt &attempt, const AttemptEnded &event, Verdict disposition, ServiceActions &actions)
{
    const RequestId id = request.arrival.request;
    cancelRunning(now, request, actions);
    if (disposition == Verdict::Pass || disposition == Verdict::RetryOrPass) {
        if (isPayout(request)) {
            ledger_.settled(id, event.attempt, std::get<AnsweredWhole>(event.outcome), actions);
        } else {
            actions.emplace_back(PassAnswer{id, event.attempt});
        }
        return;
    }
    refuse(request, std::visit(RefusalBuilder{attempt.backend, request.mayHaveRun, comeBackAfter(attempt, request)}, event.outcome), actions);
}

Duration ServiceShard::comeBackAfter(const Attempt &attempt, const Request &request) const
{
    const Duration objective = request.arrival.latencyObjective;
    return probesFirst() && !attempt.start.hadToWait() ? comeBackAfterFalseReport(objective) : ComeBackWhenBusy;
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
    if (problem.fate == Fate::Unknown && problem.status == HttpStatus::Unavailable) {
        // To callers, 503 means that the request was not executed.
        problem.status = HttpStatus::BadGateway;
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

} // namespace Cloverbarrow
