/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/gateway.h"

#include "core/text.h"
#include "daemon/requestcheck.h"
#include "net/bootclock.h"
#include "net/problemjson.h"

#include <utility>
#include <vector>

namespace Cloverbarrow
{

namespace
{

constexpr std::size_t MaxShortResult = 16 * 1024;
constexpr Duration ProbeTimeout = seconds(1);
constexpr Duration ComeBackElsewhere = seconds(1);
constexpr int MaxReportedLoad = 1'000'000;
// Call numbers of attempts hold the request and the attempt; probes use the other half of the range.
constexpr HttpCallId AttemptsPerRequest = 16;
constexpr HttpCallId FirstProbeCall = HttpCallId(1) << 63U;
constexpr int ServerError = 500;

HttpCallId callId(RequestId request, int attempt)
{
    return request * AttemptsPerRequest + static_cast<HttpCallId>(attempt);
}

bool isSet(const Headers &headers, const char *name, std::string_view value)
{
    const auto found = findHeader(headers, name);
    return found && isSameName(*found, value);
}

std::optional<int> loadIn(const Headers &headers)
{
    const auto text = findHeader(headers, LoadHeader);
    return text ? parseNumber(*text, MaxReportedLoad) : std::nullopt;
}

AttemptOutcome attemptOutcome(const HttpOutcome &outcome)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        if (!failure->hasLeft) {
            return NeverLeft{failure->reason};
        }
        return LostAnswer{failure->reason, failure->isTimeout};
    }
    const auto &answer = std::get<HttpAnswer>(outcome);
    AnsweredWhole whole;
    whole.status = answer.status;
    whole.isNotRun = isSet(answer.headers, OutcomeHeader, "not-run");
    whole.isLeaving = isSet(answer.headers, LeavingHeader, "true");
    whole.isRetriedBelow = isSet(answer.headers, RetriedHeader, "true");
    whole.contentType = std::string(findHeader(answer.headers, "content-type").value_or(""));
    whole.isResultWhole = answer.body.size() <= MaxShortResult;
    if (whole.isResultWhole) {
        whole.shortResult = answer.body;
    }
    return whole;
}

/// Headers between cloverbarrow and backend servers that a caller has no use for.
Headers forCaller(const Headers &headers)
{
    Headers kept = withoutHopByHop(headers);
    std::erase_if(kept, [](const Header &header) {
        return isSameName(header.name, ExchangeTagHeader) || isSameName(header.name, LoadHeader) || isSameName(header.name, LeavingHeader);
    });
    return kept;
}

Headers forBackend(const Headers &headers, int attempt, Duration timeLeft)
{
    Headers kept = withoutHopByHop(headers);
    std::erase_if(kept, [](const Header &header) {
        // A caller's own must not pass for this system's; the length is written anew.
        return isSameName(header.name, ExchangeTagHeader) || isSameName(header.name, AttemptHeader) || isSameName(header.name, DeadlineHeader)
            || isSameName(header.name, "content-length") || isSameName(header.name, "expect");
    });
    kept.push_back({AttemptHeader, std::to_string(attempt)});
    kept.push_back({DeadlineHeader, std::to_string(std::chrono::floor<milliseconds>(timeLeft).count())});
    return kept;
}

} // namespace

Gateway::Gateway(Node &node, EventHandler &events, HttpClient &backends, PlatformClient &platform, Telemetry &telemetry, std::string nonce)
    : node_(node)
    , events_(events)
    , backends_(backends)
    , platform_(platform)
    , telemetry_(telemetry)
    , nonce_(std::move(nonce))
    , nextProbe_(FirstProbeCall)
{
}

void Gateway::accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request)
{
    const TimePoint now = bootNow();
    const bool isHead = request.method == "HEAD";
    const auto intent = node_.intent();
    if (!intent || !isAccepting_) {
        const char *detail = isAccepting_ ? "no configuration is in force here yet" : "this entry VM is shutting down";
        connection->answer(problemAnswer({503, Fate::NotRun, "admit", "entry VM", detail, ComeBackElsewhere}), isHead);
        return;
    }
    const RequestId id = nextRequest_++;
    auto checked = checkRequest(request, intent->configuration, id, now);
    if (const auto *problem = std::get_if<Problem>(&checked)) {
        connection->answer(problemAnswer(*problem), isHead);
        return;
    }
    auto &[route, event, attemptAbove] = std::get<CheckedRequest>(checked);
    {
        Shard &shard = shardOf(id);
        const std::lock_guard lock(shard.mutex);
        ++openExchanges_;
        auto kept = std::make_shared<const HttpRequest>(std::move(request));
        shard.exchanges.emplace(id, Exchange{connection, std::move(kept), intent, route, now, attemptAbove, {}});
    }
    events_.handle(ForService{intent->configuration.services[route.service].name, std::move(event)});
}

void Gateway::perform(const OfService &action)
{
    struct Performer {
        Gateway &gateway;
        const OfService &of;

        void operator()(const StartAttempt &typed) const
        {
            gateway.start(of, typed);
        }
        void operator()(const CancelAttempt &typed) const
        {
            gateway.cancel(typed);
        }
        void operator()(const DropRequest &typed) const
        {
            gateway.drop(typed);
        }
        void operator()(const PassAnswer &typed) const
        {
            gateway.pass(typed);
        }
        void operator()(const ReplayAnswer &typed) const
        {
            gateway.replay(typed);
        }
        void operator()(const Refuse &typed) const
        {
            gateway.refuse(typed);
        }
        void operator()(const AskPayoutStore &typed) const
        {
            gateway.askStore(of, typed);
        }
        void operator()(const StartProbe &typed) const
        {
            gateway.probe(of, typed);
        }
        void operator()(const ReturnPermit &) const
        {
            // Handled inside the core.
        }
        void operator()(const TellLeaving &) const
        {
            // Handled inside the core.
        }
    };
    std::visit(Performer{*this, action}, action.action);
}

void Gateway::stopAccepting()
{
    isAccepting_ = false;
}

void Gateway::sweep()
{
    std::vector<std::pair<std::string, RequestId>> gone;
    for (Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[id, exchange] : shard.exchanges) {
            if (exchange.connection->isReset()) {
                gone.emplace_back(exchange.intent->configuration.services[exchange.route.service].name, id);
            }
        }
    }
    for (const auto &[service, id] : gone) {
        events_.handle(ForService{service, CallerGone{id}});
    }
}

bool Gateway::hasOpenExchanges() const
{
    return openExchanges_ > 0;
}

void Gateway::start(const OfService &of, const StartAttempt &action)
{
    std::optional<HttpCall> call;
    {
        Shard &shard = shardOf(action.request);
        const std::lock_guard lock(shard.mutex);
        if (const auto found = shard.exchanges.find(action.request); found != shard.exchanges.end()) {
            call = callFor(found->second, action);
        }
    }
    if (!call) {
        events_.handle(ForService{of.service, AttemptEnded{action.request, action.attempt, NeverLeft{"the caller has gone"}, std::nullopt}});
        return;
    }
    telemetry_.attemptStarted(of.service, action.attempt > 1);
    auto done = [this, service = of.service, request = action.request, attempt = action.attempt](HttpOutcome outcome) {
        attemptDone(service, request, attempt, std::move(outcome));
    };
    backends_.start(callId(action.request, action.attempt), std::move(*call), std::move(done));
}

HttpCall Gateway::callFor(const Exchange &exchange, const StartAttempt &action) const
{
    const Duration timeLeft = std::max<Duration>(milliseconds(1), action.deadline - bootNow());
    const int attempt = std::max(exchange.attemptAbove, action.attempt);
    HttpCall call;
    call.address = action.address;
    call.request.method = exchange.request->method;
    call.request.target = exchange.request->target;
    call.request.headers = forBackend(exchange.request->headers, attempt, timeLeft);
    call.request.body = exchange.request->body;
    call.timeout = timeLeft;
    call.mayReuseConnection = action.mayReuseConnection;
    if (action.mayReuseConnection) {
        call.tag = nonce_ + "-" + std::to_string(callId(action.request, action.attempt));
    }
    return call;
}

void Gateway::attemptDone(const std::string &service, RequestId request, int attempt, HttpOutcome outcome)
{
    AttemptEnded event{request, attempt, attemptOutcome(outcome), std::nullopt};
    if (auto *answer = std::get_if<HttpAnswer>(&outcome)) {
        event.reportedLoad = loadIn(answer->headers);
        Shard &shard = shardOf(request);
        const std::lock_guard lock(shard.mutex);
        if (const auto found = shard.exchanges.find(request); found != shard.exchanges.end()) {
            found->second.answers.insert_or_assign(attempt, std::move(*answer));
        }
    }
    events_.handle(ForService{service, std::move(event)});
}

void Gateway::cancel(const CancelAttempt &action)
{
    backends_.cancel(callId(action.request, action.attempt), action.address);
}

void Gateway::drop(const DropRequest &action)
{
    takeExchange(action.request);
}

void Gateway::pass(const PassAnswer &action)
{
    auto exchange = takeExchange(action.request);
    if (!exchange) {
        return;
    }
    const auto found = exchange->answers.find(action.attempt);
    if (found == exchange->answers.end()) {
        const Problem problem{502, Fate::Unknown, "pass answer", "entry VM", "the answer was not kept", std::nullopt};
        finish(*exchange, problemAnswer(problem), CallerOutcome::Unknown);
        return;
    }
    HttpAnswer answer = std::move(found->second);
    answer.headers = forCaller(answer.headers);
    if (action.attempt > 1 && answer.status >= ServerError && !findHeader(answer.headers, RetriedHeader)) {
        answer.headers.push_back({RetriedHeader, "true"});
    }
    const auto outcome = answer.status < ServerError ? CallerOutcome::Answered : CallerOutcome::ServerError;
    finish(*exchange, answer, outcome);
}

void Gateway::replay(const ReplayAnswer &action)
{
    if (const auto exchange = takeExchange(action.request)) {
        HttpAnswer answer;
        answer.status = action.status;
        if (!action.contentType.empty()) {
            answer.headers.push_back({"Content-Type", action.contentType});
        }
        answer.headers.push_back({ReplayedHeader, "true"});
        answer.body = action.body;
        finish(*exchange, answer, CallerOutcome::Answered);
    }
}

void Gateway::refuse(const Refuse &action)
{
    if (const auto exchange = takeExchange(action.request)) {
        const auto outcome = action.problem.fate == Fate::NotRun ? CallerOutcome::NotRun : CallerOutcome::Unknown;
        finish(*exchange, problemAnswer(action.problem), outcome);
    }
}

void Gateway::askStore(const OfService &of, const AskPayoutStore &action)
{
    platform_.call(action.call, [this, service = of.service, request = action.request](StoreResult result) {
        events_.handle(ForService{service, PayoutStoreAnswered{request, std::move(result)}});
    });
}

void Gateway::probe(const OfService &of, const StartProbe &action)
{
    telemetry_.probeStarted(of.service);
    HttpCall call;
    call.address = action.address;
    call.request.method = "GET";
    call.request.target = action.path;
    call.request.headers = {{"Host", action.address}};
    call.timeout = ProbeTimeout;
    backends_.start(nextProbe_++, std::move(call), [this, service = of.service, share = action.share, backend = action.backend](const HttpOutcome &outcome) {
        ProbeEnded ended;
        ended.backend = backend;
        if (const auto *answer = std::get_if<HttpAnswer>(&outcome)) {
            ended.isHealthy = answer->status < ServerError;
            ended.isLeaving = isSet(answer->headers, LeavingHeader, "true");
            ended.reportedLoad = loadIn(answer->headers);
        }
        events_.handle(ForService{service, ended});
        events_.handle(ControlEvent(ProbeFinished{service, share}));
    });
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

void Gateway::finish(const Exchange &exchange, const HttpAnswer &answer, CallerOutcome outcome)
{
    const TimePoint now = bootNow();
    const Service &service = exchange.intent->configuration.services[exchange.route.service];
    telemetry_.requestEnded(now, service, service.kinds[exchange.route.kind], outcome, now - exchange.arrivedAt);
    exchange.connection->answer(answer, exchange.request->method == "HEAD");
}

Gateway::Shard &Gateway::shardOf(RequestId request)
{
    return shards_[request % ShardCount];
}

} // namespace Cloverbarrow
