/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/gateway.h"

#include "core/support/httpstatus.h"
#include "net/bootclock.h"
#include "net/forwarding.h"
#include "net/problemjson.h"

#include <utility>

// Final answers of Gateway to callers.

namespace Cloverbarrow
{

void Gateway::dropRequest(const DropRequest &action)
{
    if (const auto exchange = takeExchange(action.request)) {
        log_.callerGone(exchange->callerId, bootNow() - exchange->arrivedAt);
        exchange->connection->callerGone();
    }
}

void Gateway::returnAnswer(const ReturnAnswer &action)
{
    auto exchange = takeExchange(action.request);
    if (!exchange) {
        return;
    }
    const auto found = exchange->answers.find(action.attempt);
    if (found == exchange->answers.end()) {
        const Problem problem{502, ExecutionStatus::Unknown, "pass answer", "entry VM", "the answer was not kept", std::nullopt};
        sendFinalAnswer(*exchange, protocol_.refusalAnswer(problem), CallerOutcome::Unknown);
        return;
    }
    HttpAnswer answer = std::move(found->second);
    answer.headers = protocol_.headersForCaller(answer.headers);
    if (action.attempt > 1 && answer.status >= HttpStatus::ServerError) {
        protocol_.markRetried(answer);
    }
    if (exchange->forwardTag) {
        markForwardedAnswer(answer, *exchange->forwardTag);
        addBackoffs(*exchange, answer);
    }
    const auto outcome = answer.status < HttpStatus::ServerError ? CallerOutcome::Answered : CallerOutcome::ServerError;
    log_.answered(exchange->callerId, action.attempt, answer.status, bootNow() - exchange->arrivedAt);
    sendFinalAnswer(*exchange, answer, outcome);
}

void Gateway::replayAnswer(const ReplayAnswer &action)
{
    if (const auto exchange = takeExchange(action.request)) {
        HttpAnswer answer;
        answer.status = action.status;
        if (!action.contentType.empty()) {
            answer.headers.push_back({"Content-Type", action.contentType});
        }
        answer.headers.push_back({ReplayedHeader, "true"});
        answer.body = action.body;
        sendFinalAnswer(*exchange, answer, CallerOutcome::Answered);
    }
}

void Gateway::refuseRequest(const Refuse &action)
{
    if (const auto exchange = takeExchange(action.request)) {
        const auto outcome = action.problem.executionStatus == ExecutionStatus::NotExecuted ? CallerOutcome::NotExecuted : CallerOutcome::Unknown;
        log_.refused(exchange->callerId, action.problem, bootNow() - exchange->arrivedAt);
        if (action.problem.cause != RefusalCause::Other) {
            telemetry_.scarcityRefusal(exchange->intent->configuration.services[exchange->route.service].name, action.problem.cause);
        }
        HttpAnswer answer = exchange->forwardTag ? forwardedRefusal(action.problem, *exchange->forwardTag) : protocol_.refusalAnswer(action.problem);
        addBackoffs(*exchange, answer);
        sendFinalAnswer(*exchange, answer, outcome);
    }
}

HttpAnswer Gateway::refuseForMemory(const HttpRequest &head, const MemoryCounts &counts) const
{
    const Problem problem = memoryProblem(counts);
    log_.refusedOnArrival(callerIdOf(head, 0), problem, node_.intent().get(), head.target);
    return protocol_.refusalAnswer(problem);
}

std::optional<Gateway::Exchange> Gateway::takeExchange(RequestId request)
{
    Shard &shard = shardOf(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.exchanges.find(request);
    if (found == shard.exchanges.end()) {
        return std::nullopt;
    }
    Exchange exchange = std::move(found->second);
    shard.exchanges.erase(found);
    --openExchanges_;
    return exchange;
}

void Gateway::sendFinalAnswer(const Exchange &exchange, const HttpAnswer &answer, CallerOutcome outcome)
{
    if (exchange.forwardTag) {
        // Metrics count it at the entry VM that has forwarded it.
        exchange.connection->answerTo(exchange.request->number, answer, exchange.request->method == "HEAD");
        return;
    }
    const TimePoint now = bootNow();
    const Service &service = exchange.intent->configuration.services[exchange.route.service];
    const RequestKind &kind = exchange.route.rule ? exchange.route.rule->kind : service.kinds[exchange.route.kind];
    telemetry_.requestFinished(now, service, kind, outcome, now - exchange.arrivedAt);
    exchange.connection->answerTo(exchange.request->number, answer, exchange.request->method == "HEAD");
}

} // namespace Cloverbarrow
