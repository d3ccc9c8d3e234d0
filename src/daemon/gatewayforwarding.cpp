/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/httpstatus.h"
#include "daemon/gateway.h"
#include "net/bootclock.h"
#include "net/forwarding.h"

#include <algorithm>
#include <utility>

// Requests that Gateway forwards to other entry VMs, and those that they forward to it.

namespace Cloverbarrow
{

namespace
{

Problem unableProblem(std::string detail)
{
    return {HttpStatus::ServiceUnavailable, ExecutionStatus::NotExecuted, "admit", "entry VM", std::move(detail), std::nullopt, true};
}

/// @return the workspace called @p name, or nullptr.
const Workspace *findWorkspace(const Configuration &configuration, std::string_view name)
{
    if (name.empty() || !configuration.workspaces) {
        return nullptr;
    }
    const auto &all = configuration.workspaces->all();
    const auto found = std::find_if(all.begin(), all.end(), [name](const Workspace &workspace) { return workspace.name == name; });
    return found == all.end() ? nullptr : &*found;
}

} // namespace

void Gateway::setForwarding(HttpClient *client, std::string region)
{
    forwardClient_ = client;
    region_ = std::move(region);
}

void Gateway::startForward(const ActionOfService &serviceAction, const StartForward &action)
{
    std::optional<HttpCall> call;
    {
        Shard &shard = shardOf(action.request);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.exchanges.find(action.request);
        if (found != shard.exchanges.end() && forwardClient_ && found->second.route.rule) {
            call = forwardCallFor(found->second, serviceAction.service, action);
            log_.forwardStarted(found->second.callerId, serviceAction.service, action);
        }
    }
    if (!call) {
        events_.handle(EventForService{serviceAction.service, ForwardEnded{action.request, action.attempt, NotSent{"the caller has gone"}}});
        return;
    }
    telemetry_.requestForwarded(serviceAction.service);
    forwardClient_->start(callId(action.request, action.attempt), std::move(*call), [this, service = serviceAction.service, action](HttpOutcome outcome) {
        forwardFinished(service, action, std::move(outcome));
    });
}

HttpCall Gateway::forwardCallFor(const Exchange &exchange, const std::string &service, const StartForward &action) const
{
    const HttpRequest &request = *exchange.request;
    const Duration timeLeft = std::max<Duration>(milliseconds(1), action.deadline - bootNow());
    ForwardedRequest forwarded;
    forwarded.service = service;
    forwarded.region = region_;
    forwarded.workspace = exchange.workspace ? exchange.workspace->name : std::string();
    RequestArrived &arrival = forwarded.arrival;
    const TrafficRoute &rule = *exchange.route.rule;
    arrival.kindClass = rule.kind.kindClass;
    arrival.deadline = TimePoint(timeLeft);
    arrival.maxAttempts = action.maxAttempts;
    arrival.latencyObjective = rule.latencyObjective;
    arrival.priority = exchange.workspace ? exchange.workspace->priority.value_or(rule.priority) : rule.priority;
    arrival.priorWait = action.priorWait;
    arrival.fingerprint = exchange.fingerprint;
    arrival.avoidedServers = action.avoidedServers;
    forwarded.takesBackoffs = true;

    const std::string tag = nonce_ + "-" + std::to_string(callId(action.request, action.attempt));
    HttpCall call;
    call.address = action.peer;
    call.request.method = request.method;
    call.request.target = request.target;
    call.request.body = request.body;
    call.request.headers = withoutHopByHop(request.headers);
    eraseForwardHeaders(call.request.headers);
    std::erase_if(call.request.headers, [](const Header &header) { return isSameName(header.name, "content-length") || isSameName(header.name, "expect"); });
    call.request.headers.push_back({ForwardHeader, encodeForwardedRequest(forwarded)});
    call.request.headers.push_back({ForwardTagHeader, tag});
    call.timeout = timeLeft;
    call.mayReuseConnection = action.mayReuseConnection;
    // Entry VMs of earlier releases reject the request without the tag.
    call.echo = {ForwardTagHeader, tag, false};
    return call;
}

void Gateway::forwardFinished(const std::string &service, const StartForward &action, HttpOutcome outcome)
{
    ForwardEnded event{action.request, action.attempt, ForwardAnswered{}};
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        event.outcome = failure->wasSent ? ForwardOutcome(LostAnswer{failure->reason, failure->isTimeout}) : ForwardOutcome(NotSent{failure->reason});
    } else {
        auto &answer = std::get<HttpAnswer>(outcome);
        event.outcome = interpretForwardedAnswer(answer);
        event.backoffs = backoffsIn(answer, service, action);
        eraseForwardHeaders(answer.headers);
        Shard &shard = shardOf(action.request);
        const std::lock_guard lock(shard.mutex);
        if (const auto found = shard.exchanges.find(action.request); found != shard.exchanges.end()) {
            found->second.answers.insert_or_assign(action.attempt, std::move(answer));
        }
    }
    log_.forwardEnded(callerIdOf(action.request), service, action, event);
    events_.handle(EventForService{service, std::move(event)});
}

std::vector<ServerBackoff> Gateway::backoffsIn(const HttpAnswer &answer, const std::string &service, const StartForward &action) const
{
    const auto text = findHeader(answer.headers, ForwardBackoffsHeader);
    auto backoffs = text ? decodeServerBackoffs(*text) : std::vector<ServerBackoff>();
    if (!backoffs) {
        log_.forwardedBackoffsInvalid(service, action, *text);
    }
    return std::move(backoffs).value_or(std::vector<ServerBackoff>());
}

void Gateway::addBackoffs(const Exchange &exchange, HttpAnswer &answer)
{
    if (exchange.backoffs.empty()) {
        return;
    }
    const TimePoint now = bootNow();
    std::vector<ServerBackoff> remaining;
    for (const RequestedBackoff &backoff : exchange.backoffs) {
        remaining.push_back({backoff.server, std::max(Duration(0), backoff.until - now)});
    }
    answer.headers.push_back({ForwardBackoffsHeader, encodeServerBackoffs(remaining)});
}

void Gateway::acceptForwarded(const std::shared_ptr<CallerConnection> &connection, HttpRequest request)
{
    const CountScope arrival(arrivals_);
    const TimePoint now = bootNow();
    const TimePoint arrivedAt = now - request.waited;
    const auto forwarded = decodeForwardedRequest(findHeader(request.headers, ForwardHeader).value_or(""));
    const std::string tag(findHeader(request.headers, ForwardTagHeader).value_or(""));
    eraseForwardHeaders(request.headers);
    const auto refuse = [&](const char *detail) {
        log_.refusedOnArrival(callerIdOf(request, 0), unableProblem(detail), nullptr, request.target);
        connection->answerTo(request.number, forwardedRefusal(unableProblem(detail), tag), request.method == "HEAD");
    };
    const auto intent = node_.intent();
    if (!forwarded) {
        refuse("a forwarded request cannot be decoded");
        return;
    }
    if (!intent || !isAccepting_) {
        refuse(isAccepting_ ? "no configuration is in force here yet" : "this entry VM is shutting down");
        return;
    }
    if (stallGuard_ && stallGuard_->isUnconfirmed(now)) {
        refuse("the configuration is not confirmed after a stall");
        return;
    }
    const Service *service = intent->configuration.findService(forwarded->service);
    const Workspace *workspace = findWorkspace(intent->configuration, forwarded->workspace);
    if (!service || forwarded->region != region_ || (!workspace && !forwarded->workspace.empty())) {
        refuse("the forwarded request cannot be served in this region or by this configuration");
        return;
    }
    const RequestId id = nextRequest_++;
    RequestArrived event = forwarded->arrival;
    event.request = id;
    event.heldFor = now - arrivedAt;
    event.deadline = arrivedAt + event.deadline.time_since_epoch();
    Route route;
    route.service = static_cast<std::size_t>(service - intent->configuration.services.data());
    std::string callerId = callerIdOf(request, id);
    log_.forwardAccepted(callerId, service->name, event.deadline - now);
    {
        Shard &shard = shardOf(id);
        const std::lock_guard lock(shard.mutex);
        ++openExchanges_;
        auto sharedRequest = std::make_shared<const HttpRequest>(std::move(request));
        shard.exchanges.emplace(id,
                                Exchange{connection,
                                         std::move(sharedRequest),
                                         intent,
                                         route,
                                         arrivedAt,
                                         event.fingerprint,
                                         std::move(callerId),
                                         1,
                                         workspace,
                                         {},
                                         tag,
                                         forwarded->takesBackoffs});
    }
    events_.handle(EventForService{service->name, std::move(event)});
}

} // namespace Cloverbarrow
