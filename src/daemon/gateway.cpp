/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/gateway.h"

#include "core/requests/retryafter.h"
#include "core/support/httpstatus.h"
#include "core/support/stablehash.h"
#include "net/bootclock.h"
#include "net/digest.h"
#include "net/httpfingerprint.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Cloverbarrow
{

namespace
{

constexpr Duration ProbeTimeout = seconds(1);
// The server has been chosen by then, so a later result is of no use.
constexpr Duration ChoiceProbeTimeout = milliseconds(300);
// Probes use the upper half of the range of call ids.
constexpr HttpCallId FirstProbeCall = HttpCallId(1) << 63U;
// Only the head of the answer is used.
constexpr std::size_t MaxProbeAnswerBytes = 64 * 1024;
constexpr std::size_t MaxLoggedText = 64;

AttemptOutcome attemptOutcome(const HttpOutcome &outcome, const ExchangeProtocol &protocol)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        if (!failure->wasSent) {
            return NotSent{failure->reason};
        }
        return LostAnswer{failure->reason, failure->isTimeout};
    }
    return protocol.interpretAnswer(std::get<HttpAnswer>(outcome));
}

} // namespace

Gateway::Gateway(Node &node,
                 EventHandler &events,
                 HttpClient &backendClient,
                 PlatformClient *platform,
                 const ExchangeProtocol &protocol,
                 Telemetry &telemetry,
                 std::string nonce)
    : node_(node)
    , events_(events)
    , backendClient_(backendClient)
    , platform_(platform)
    , protocol_(protocol)
    , telemetry_(telemetry)
    , nonce_(std::move(nonce))
    , nextProbeCall_(FirstProbeCall)
    , splitter_(stableHash({nonce_}))
{
}

void Gateway::accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request)
{
    const CountScope arrival(arrivals_);
    const TimePoint now = bootNow();
    if (isAccepting_ && (node_.intent() ? holdAfterStall(now, connection, request) : holdUntilReady(now, connection, request))) {
        return;
    }
    const TimePoint arrivedAt = now - request.waited;
    serve(connection, std::move(request), arrivedAt);
}

void Gateway::serve(const std::shared_ptr<CallerConnection> &connection, HttpRequest request, TimePoint arrivedAt)
{
    const auto intent = node_.intent();
    if (!intent || !isAccepting_) {
        const char *detail = isAccepting_ ? "no configuration is in force here yet" : "this entry VM is shutting down";
        refuseOnArrival(connection, request, 0, {503, ExecutionStatus::NotExecuted, "admit", "entry VM", detail, RetryAfterAtOtherEntryVm}, intent.get());
        return;
    }
    const TimePoint now = bootNow();
    const RequestId id = nextRequest_++;
    auto checked = routeAndCheck(request, intent->configuration, id, arrivedAt);
    if (const auto *problem = std::get_if<Problem>(&checked)) {
        refuseOnArrival(connection, request, id, *problem, intent.get());
        return;
    }
    std::string callerId = callerIdOf(request, id);
    auto &[route, event, incomingAttemptNumber, workspace] = std::get<CheckedRequest>(checked);
    event.heldFor = now - arrivedAt;
    event.fingerprint = Cloverbarrow::fingerprintOf(request, connection->caller());
    const Service &service = intent->configuration.services[route.service];
    log_.routed(callerId, service.name, route.rule ? route.rule->kind : service.kinds[route.kind], *intent, event.deadline - now);
    {
        Shard &shard = shardOf(id);
        const std::lock_guard lock(shard.mutex);
        ++openExchanges_;
        auto sharedRequest = std::make_shared<const HttpRequest>(std::move(request));
        shard.exchanges.emplace(
            id,
            Exchange{
                connection, std::move(sharedRequest), intent, route, arrivedAt, event.fingerprint, std::move(callerId), incomingAttemptNumber, workspace, {}});
    }
    if (workspace && workspace->quota && quotas_) {
        admit(std::move(event), service.name, *workspace, intent->configuration.workspaces->version());
    } else {
        events_.handle(EventForService{service.name, std::move(event)});
    }
}

void Gateway::refuseOnArrival(
    const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, RequestId id, const Problem &problem, const ActiveIntent *intent)
{
    log_.refusedOnArrival(callerIdOf(request, id), problem, intent, request.target);
    connection->answerTo(request.number, protocol_.refusalAnswer(problem), request.method == "HEAD");
}

HttpCallId Gateway::callId(RequestId request, int attempt)
{
    // More than the attempts of one request (at most 100), with those that were never sent or were forwarded.
    constexpr HttpCallId AttemptsPerRequest = 128;
    return request * AttemptsPerRequest + static_cast<HttpCallId>(attempt);
}

void Gateway::setQuotas(QuotaRunner *quotas)
{
    quotas_ = quotas;
}

void Gateway::admit(RequestArrived event, const std::string &service, const Workspace &workspace, std::int64_t version)
{
    const RequestId request = event.request;
    quotas_->admit(
        request, workspace, version, [this, event = std::move(event), service](const QuotaVerdict &verdict) { handleQuotaVerdict(event, service, verdict); });
}

void Gateway::handleQuotaVerdict(const RequestArrived &event, const std::string &service, const QuotaVerdict &verdict)
{
    struct Handler {
        Gateway &gateway;
        const RequestArrived &event;
        const std::string &service;

        void operator()(const QuotaAdmitted &admitted) const
        {
            if (gateway.isCallerGone(event.request)) {
                gateway.dropRequest({event.request});
            } else {
                RequestArrived admittedEvent = event;
                admittedEvent.quotaUse = admitted.quotaUse;
                gateway.events_.handle(EventForService{service, std::move(admittedEvent)});
            }
        }
        void operator()(const QuotaExhausted &exhausted) const
        {
            gateway.refuseRequest({event.request,
                                   {HttpStatus::TooManyRequests,
                                    ExecutionStatus::NotExecuted,
                                    "check quota",
                                    "caller",
                                    "workspace " + gateway.workspaceOf(event.request) + " has used up its quota",
                                    exhausted.retryAfter}});
        }
        void operator()(const QuotaUnknown &) const
        {
            // A retry reaches another entry VM, which may know.
            gateway.refuseRequest({event.request,
                                   {HttpStatus::ServiceUnavailable,
                                    ExecutionStatus::NotExecuted,
                                    "check quota",
                                    "entry VM",
                                    "no entry VM that counts the requests of the workspace answers",
                                    RetryAfterAtOtherEntryVm}});
        }
    };
    std::visit(Handler{*this, event, service}, verdict);
}

std::string Gateway::workspaceOf(RequestId request)
{
    Shard &shard = shardOf(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.exchanges.find(request);
    return found == shard.exchanges.end() || !found->second.workspace ? std::string() : found->second.workspace->name;
}

bool Gateway::isCallerGone(RequestId request)
{
    Shard &shard = shardOf(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.exchanges.find(request);
    return found == shard.exchanges.end() || found->second.connection->isGone();
}

std::variant<CheckedRequest, Problem> Gateway::routeAndCheck(HttpRequest &request, const Configuration &configuration, RequestId id, TimePoint now)
{
    if (configuration.routes.empty()) {
        return checkRequest(request, configuration, id, now);
    }
    const std::string_view host = findHeader(request.headers, "host").value_or("");
    Route route;
    route.rule = findTrafficRoute(configuration, host, request.target);
    if (!route.rule) {
        return Problem{404, ExecutionStatus::NotExecuted, "find route", "caller", "no route for this host and path", std::nullopt};
    }
    const Access access = checkAccess(request, configuration, *route.rule);
    if (std::holds_alternative<AccessDenied>(access)) {
        return Problem{HttpStatus::Unauthorized, ExecutionStatus::NotExecuted, "check key", "caller", "no key of a workspace", std::nullopt};
    }
    {
        const std::lock_guard lock(splitterMutex_);
        const std::string &name = splitter_.nextDestination(*route.rule).service;
        const auto &services = configuration.services;
        const auto found = std::find_if(services.begin(), services.end(), [&name](const Service &service) { return service.name == name; });
        if (found == services.end()) {
            return Problem{503, ExecutionStatus::NotExecuted, "find route", name, "the route's service does not exist", RetryAfterAtOtherEntryVm};
        }
        route.service = static_cast<std::size_t>(found - services.begin());
    }
    auto checked = checkRoutedRequest(request, route, protocol_.deadlineHeader(), id, now);
    if (auto *valid = std::get_if<CheckedRequest>(&checked)) {
        valid->workspace = std::get<AccessGranted>(access).workspace;
        if (valid->workspace) {
            valid->event.priority = valid->workspace->priority.value_or(valid->event.priority);
            valid->event.workspace = stableHash({valid->workspace->name});
        }
    }
    return checked;
}

Access Gateway::checkAccess(HttpRequest &request, const Configuration &configuration, const TrafficRoute &route) const
{
    if (!configuration.workspaces) {
        return AccessGranted{};
    }
    const auto key = protocol_.takeApiKey(request.headers);
    const auto digest = key ? std::optional(digestOfKey(*key)) : std::nullopt;
    return Cloverbarrow::checkAccess(configuration.workspaces.get(), route.isAnonymousAllowed, digest);
}

void Gateway::perform(const ActionOfService &action)
{
    struct Performer {
        Gateway &gateway;
        const ActionOfService &serviceAction;

        void operator()(const StartAttempt &typed) const
        {
            gateway.startAttempt(serviceAction, typed);
        }
        void operator()(const StartForward &typed) const
        {
            gateway.startForward(serviceAction, typed);
        }
        void operator()(const ServerReachabilityChanged &typed) const
        {
            gateway.log_.serverReachabilityChanged(serviceAction.service, typed);
        }
        void operator()(const ServerDroppedRequest &typed) const
        {
            gateway.log_.serverDroppedRequest(gateway.callerIdOf(typed.request), serviceAction.service, typed);
            gateway.telemetry_.requestDropped(serviceAction.service);
        }
        void operator()(const SilentServersChanged &typed) const
        {
            gateway.log_.silentServersChanged(serviceAction.service, typed);
        }
        void operator()(const CancelAttempt &typed) const
        {
            gateway.cancelAttempt(typed);
        }
        void operator()(const DropRequest &typed) const
        {
            gateway.dropRequest(typed);
        }
        void operator()(const ReturnAnswer &typed) const
        {
            gateway.returnAnswer(typed);
        }
        void operator()(const ReplayAnswer &typed) const
        {
            gateway.replayAnswer(typed);
        }
        void operator()(const Refuse &typed) const
        {
            gateway.refuseRequest(typed);
        }
        void operator()(const CallPayoutStore &typed) const
        {
            gateway.callPayoutStore(serviceAction, typed);
        }
        void operator()(const StartProbe &typed) const
        {
            gateway.startProbe(serviceAction, typed);
        }
        void operator()(const ReturnPermit &) const
        {
            // Handled inside the core.
        }
        void operator()(const ReportServerLeaving &) const
        {
            // Handled inside the core.
        }
        void operator()(const ReportServerSuspected &) const
        {
            // The lost answer has already been logged with the attempt.
        }
        void operator()(const ReportServerCrash &typed) const
        {
            gateway.log_.serverCrashed(serviceAction.service, typed);
        }
        void operator()(const ReportServerRecovered &typed) const
        {
            if (typed.wasCrashed) {
                gateway.log_.serverRecovered(serviceAction.service, typed);
            }
        }
        void operator()(const ReportSuspectAnswered &typed) const
        {
            gateway.log_.requestExonerated(serviceAction.service, typed);
        }
        void operator()(const ServerEjected &typed) const
        {
            gateway.log_.serverEjected(serviceAction.service, typed);
        }
        void operator()(const ServerLimitObserved &typed) const
        {
            if (typed.isChanged) {
                gateway.log_.serverLimitChanged(serviceAction.service, typed);
                gateway.telemetry_.limitChanged(serviceAction.service, typed.backend, typed.perSecond);
            }
        }
        void operator()(const ServerLimitUnreadable &typed) const
        {
            gateway.log_.serverLimitUnreadable(serviceAction.service, typed);
            gateway.telemetry_.limitUnreadable(serviceAction.service);
        }
        void operator()(const ServerBackoffStarted &typed) const
        {
            gateway.log_.serverBackoffStarted(serviceAction.service, typed);
            gateway.telemetry_.backoffStarted(serviceAction.service);
        }
        void operator()(const SlowServerObserved &typed) const
        {
            gateway.log_.slowServerObserved(gateway.callerIdOf(typed.request), serviceAction.service, typed);
            gateway.telemetry_.slowServerHint(serviceAction.service, SlowServerHintChange::Observed, typed.hints);
        }
        void operator()(const SlowServerHintAdded &typed) const
        {
            gateway.log_.slowServerHintAdded(serviceAction.service, typed);
            gateway.telemetry_.slowServerHint(serviceAction.service, SlowServerHintChange::Received, typed.hints);
        }
        void operator()(const SlowServerHintOverridden &typed) const
        {
            gateway.log_.slowServerHintOverridden(gateway.callerIdOf(typed.request), serviceAction.service, typed);
            gateway.telemetry_.slowServerHint(serviceAction.service, SlowServerHintChange::Overridden, typed.hints);
        }
        void operator()(const SlowServerHintsUpdated &typed) const
        {
            gateway.log_.slowServerHintsUpdated(serviceAction.service, typed);
            gateway.telemetry_.slowServerHintsExpired(serviceAction.service, typed.expired, typed.hints);
        }
        void operator()(const ServerBackoffUnreadable &typed) const
        {
            gateway.log_.serverBackoffUnreadable(serviceAction.service, typed);
            gateway.telemetry_.backoffUnreadable(serviceAction.service);
        }
        void operator()(const VersionOutcomeObserved &) const
        {
            // Counted by the directory, which compares versions.
        }
    };
    std::visit(Performer{*this, action}, action.action);
}

void Gateway::stopAccepting()
{
    isAccepting_ = false;
}

void Gateway::checkCallers()
{
    releaseHeld();
    if (startup_) {
        startup_->tick(bootNow());
    }
    if (stallGuard_) {
        stallGuard_->expire(bootNow());
    }
    std::vector<std::pair<std::string, RequestId>> abandoned;
    for (Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[id, exchange] : shard.exchanges) {
            if (exchange.connection->isGone()) {
                abandoned.emplace_back(exchange.intent->configuration.services[exchange.route.service].name, id);
            }
        }
    }
    for (const auto &[service, id] : abandoned) {
        events_.handle(EventForService{service, CallerGone{id}});
    }
}

bool Gateway::hasOpenExchanges() const
{
    return openExchanges_ > 0;
}

std::size_t Gateway::openRequests() const
{
    // In this order, as a request counts as an arrival until it is an open exchange.
    const auto arrivals = static_cast<std::size_t>(arrivals_.load());
    return arrivals + static_cast<std::size_t>(openExchanges_.load());
}

void Gateway::startAttempt(const ActionOfService &serviceAction, const StartAttempt &action)
{
    std::optional<HttpCall> call;
    {
        Shard &shard = shardOf(action.request);
        const std::lock_guard lock(shard.mutex);
        if (const auto found = shard.exchanges.find(action.request); found != shard.exchanges.end()) {
            call = callFor(found->second, action);
            log_.attemptStarted(found->second.callerId, serviceAction.service, action);
        }
    }
    if (!call) {
        events_.handle(EventForService{serviceAction.service, AttemptEnded{action.request, action.attempt, NotSent{"the caller has gone"}, std::nullopt}});
        return;
    }
    telemetry_.attemptStarted(serviceAction.service, action.attempt > 1);
    if (action.logContext.slowHintAge) {
        telemetry_.attemptAtSlowServer(serviceAction.service);
    }
    auto onAnswer = [this, service = serviceAction.service, action](HttpOutcome outcome) { attemptFinished(service, action, std::move(outcome)); };
    backendClient_.start(callId(action.request, action.attempt), std::move(*call), std::move(onAnswer));
}

HttpCall Gateway::callFor(const Exchange &exchange, const StartAttempt &action) const
{
    const Duration timeLeft = std::max<Duration>(milliseconds(1), action.deadline - bootNow());
    const int number = std::max(exchange.incomingAttemptNumber, action.attempt);
    const std::string tag = nonce_ + "-" + std::to_string(callId(action.request, action.attempt));
    HttpCall call = protocol_.attemptCall(
        {*exchange.request, action, number, timeLeft, tag, exchange.workspace ? std::string_view(exchange.workspace->name) : std::string_view()});
    call.address = action.address;
    call.timeout = timeLeft;
    call.mayReuseConnection = action.mayReuseConnection;
    return call;
}

std::string Gateway::callerIdOf(const HttpRequest &request, RequestId id) const
{
    const char *name = protocol_.requestIdHeader();
    const auto sentId = name ? findHeader(request.headers, name) : std::nullopt;
    return sentId ? std::string(sentId->substr(0, MaxLoggedText)) : nonce_ + "-" + std::to_string(id);
}

std::string Gateway::callerIdOf(RequestId request)
{
    Shard &shard = shardOf(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.exchanges.find(request);
    return found == shard.exchanges.end() ? std::string() : found->second.callerId;
}

RequestFingerprint Gateway::fingerprintOf(RequestId request)
{
    Shard &shard = shardOf(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.exchanges.find(request);
    return found == shard.exchanges.end() ? RequestFingerprint{} : found->second.fingerprint;
}

void Gateway::attemptFinished(const std::string &service, const StartAttempt &action, HttpOutcome outcome)
{
    const RequestId request = action.request;
    const int attempt = action.attempt;
    AttemptEnded event{request, attempt, attemptOutcome(outcome, protocol_), std::nullopt};
    log_.attemptEnded(callerIdOf(request), fingerprintOf(request), service, outcome, event);
    event.usedNewConnection = std::visit([](const auto &ended) { return ended.usedNewConnection; }, outcome);
    if (const auto *failure = std::get_if<HttpFailure>(&outcome); failure && failure->wasSent) {
        telemetry_.requestUnanswered(service,
                                     failure->isCancelled     ? UnansweredEnd::Cancelled
                                         : failure->isTimeout ? UnansweredEnd::Timeout
                                                              : UnansweredEnd::Closed);
    }
    if (auto *answer = std::get_if<HttpAnswer>(&outcome)) {
        event.report = protocol_.loadReport(answer->headers);
        event.warmUp = protocol_.remainingWarmUp(answer->headers);
        event.limit = protocol_.limitNotice(answer->headers);
        event.backoff = protocol_.backoffNotice(*answer);
        Shard &shard = shardOf(request);
        const std::lock_guard lock(shard.mutex);
        if (const auto found = shard.exchanges.find(request); found != shard.exchanges.end()) {
            found->second.answers.insert_or_assign(attempt, std::move(*answer));
            if (const auto *requested = std::get_if<BackoffRequest>(&event.backoff); requested && found->second.reportsBackoffs) {
                found->second.backoffs.push_back({action.backend, bootNow() + requested->duration});
            }
        }
    }
    events_.handle(EventForService{service, std::move(event)});
}

void Gateway::cancelAttempt(const CancelAttempt &action)
{
    log_.attemptCancelled(callerIdOf(action.request), action);
    backendClient_.cancel(callId(action.request, action.attempt), action.address);
    if (forwardClient_) {
        forwardClient_->cancel(callId(action.request, action.attempt), action.address);
    }
}

void Gateway::callPayoutStore(const ActionOfService &serviceAction, const CallPayoutStore &action)
{
    platform_->call(action.call, [this, service = serviceAction.service, request = action.request](StoreResult result) {
        events_.handle(EventForService{service, PayoutStoreAnswered{request, std::move(result)}});
    });
}

void Gateway::startProbe(const ActionOfService &serviceAction, const StartProbe &action)
{
    telemetry_.probeStarted(serviceAction.service);
    HttpCall call = protocol_.probeCall(action);
    call.address = action.address;
    call.timeout = action.request || action.isStatusCheck ? ChoiceProbeTimeout : ProbeTimeout;
    call.mayReuseConnection = action.request.has_value();
    call.maxAnswerBytes = MaxProbeAnswerBytes;
    backendClient_.start(nextProbeCall_++, std::move(call), [this, service = serviceAction.service, action, sentAt = bootNow()](const HttpOutcome &outcome) {
        ProbeEnded ended;
        ended.backend = action.backend;
        ended.request = action.request;
        ended.isStatusCheck = action.isStatusCheck;
        ended.sentAt = sentAt;
        ended.usedNewConnection = std::visit([](const auto &result) { return result.usedNewConnection; }, outcome);
        if (const auto *answer = std::get_if<HttpAnswer>(&outcome)) {
            ended.isHealthy = answer->status < HttpStatus::ServerError;
            ended.isLeaving = protocol_.isLeaving(answer->headers);
            ended.liveness = ServerLiveness::Answered;
            ended.report = protocol_.loadReport(answer->headers);
            ended.warmUp = protocol_.remainingWarmUp(answer->headers);
            ended.limit = protocol_.limitNotice(answer->headers);
            ended.backoff = protocol_.backoffNotice(*answer);
        } else {
            const auto &failure = std::get<HttpFailure>(outcome);
            ended.liveness = failure.isRejected ? ServerLiveness::Rejected : ServerLiveness::Unresponsive;
            ended.isConnected = failure.wasSent;
        }
        events_.handle(EventForService{service, ended});
        if (!action.request && !action.isStatusCheck) {
            events_.handle(ControlEvent(ProbeFinished{service, action.share}));
        }
    });
}

Gateway::Shard &Gateway::shardOf(RequestId request)
{
    return shards_[request % ShardCount];
}

} // namespace Cloverbarrow
