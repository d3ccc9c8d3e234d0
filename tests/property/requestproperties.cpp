/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/node.h"
#include "generate.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr int Steps = 150;
// As in the daemon.
constexpr Duration TickInterval = milliseconds(10);
constexpr int TicksPerControl = 3;
constexpr Duration ChoiceProbeTimeout = milliseconds(300);
constexpr Duration MinTimeout = milliseconds(1);
constexpr Duration LongestDeadline = seconds(2);

/// How often each kind of event occurred.
using Counts = std::map<std::string, int>;

bool chance(int oneIn)
{
    return pick(0, oneIn) == 0;
}

/// Simulates one entry VM whose configuration changes while requests are open, and its adapters: servers and peers answer late or never, calls end at their
/// timeouts, and callers disconnect.
class RequestModel
{
public:
    explicit RequestModel(Counts &counts)
        : node_({{{"entry-1", "n"}, "127.0.0.1:7001", {}, "bog-a", {}}, {}, seconds(2), seconds(60), 1, true}, LoadReportPick{})
        , counts_(counts)
    {
        handle(ForwardingPeersChanged{{{"127.0.0.1:7002", "127.0.0.1:7003"}, {"127.0.0.1:7004"}}, 1});
        configure();
    }

    void step()
    {
        advance(microseconds(pick(0, 60'000)));
        switch (*rc::gen::weightedElement<int>({{12, 0}, {2, 1}, {2, 2}, {1, 3}})) {
        case 0:
            for (int left = pick(1, 5); left > 0; --left) {
                arrive();
            }
            break;
        case 1:
            configure();
            break;
        case 2:
            disconnectCaller();
            break;
        default:
            isPartitioned_ = !isPartitioned_ && chance(2);
        }
    }

    /// Lets all deadlines pass and checks that nothing remains.
    void finish()
    {
        advance(LongestDeadline + seconds(1));
        RC_ASSERT(open_.empty());
        RC_ASSERT(node_.remainingWork().requests == 0);
        node_.withServices([](const std::string &, const ServiceShard &shard) {
            const auto servers = shard.pool().backends();
            RC_ASSERT(std::all_of(servers.begin(), servers.end(), [](const Backend &server) { return server.inFlight == 0; }));
        });
    }

private:
    /// Events that will occur, by time.
    using Agenda = std::multimap<TimePoint, NodeEvent>;

    struct OpenRequest {
        RequestArrived arrival;
        std::string service;
        int inFlight = 0; ///< Attempts and forwards.
        int sent = 0; ///< The same, and those that have ended, except if they certainly were not sent.
        bool mayHaveExecuted = false;
        bool isCallerGone = false;
    };

    /// An attempt or forward in flight.
    struct Call {
        std::string service;
        std::string address;
        Agenda::iterator end;
    };

    void advance(Duration time)
    {
        const TimePoint end = now_ + time;
        while (std::min(nextTick_, agenda_.empty() ? nextTick_ : agenda_.begin()->first) <= end) {
            if (!agenda_.empty() && agenda_.begin()->first <= nextTick_) {
                now_ = std::max(now_, agenda_.begin()->first);
                deliver(agenda_.extract(agenda_.begin()).mapped());
                continue;
            }
            now_ = nextTick_;
            nextTick_ += TickInterval;
            if (++ticks_ % TicksPerControl == 0) {
                handle(ControlEvent(ControlTick{}));
            } else {
                handle(ServicesTick{});
            }
            for (const auto &[id, request] : open_) {
                RC_ASSERT(now_ < request.arrival.deadline + TickInterval);
            }
        }
        now_ = end;
    }

    Service randomService(const std::string &name)
    {
        Service service = sampleService(4);
        service.name = name;
        std::erase_if(service.backendServers, [](const BackendServer &) { return chance(4); });
        for (BackendServer &server : service.backendServers) {
            server.address += chance(5) ? "0" : "";
            server.slots = pick(0, 3);
            server.version = chance(2) ? "2" : "1";
        }
        service.evacuatedZones = chance(6) ? std::vector<std::string>{"bog-b"} : std::vector<std::string>{};
        service.echoesExchangeTag = chance(2);
        service.choiceProbes = {*rc::gen::element(0.0, 0.0, 1.0, 50.0), "/health"};
        service.retry.maxAttempts = pick(1, 5);
        service.retry.hedgePercent = *rc::gen::element(0, 50);
        service.retry.hedgesFromBudget = chance(2);
        service.retry.budgetPercent = *rc::gen::element(0, 20, 100);
        service.limits = {pick(1, 4), pick(1, 8), *rc::gen::element(4, 1000)};
        service.versionShift = chance(5) ? std::optional(VersionShift{"2", 0.5}) : std::nullopt;
        service.sharesScarceCapacity = chance(3);
        service.sharesSlowServers = chance(3);
        service.entryVmRank = chance(3) ? std::nullopt : std::optional(FleetRank{0, 1});
        return service;
    }

    void configure()
    {
        auto intent = std::make_shared<ActiveIntent>();
        intent->version = ++version_;
        intent->entryVmCount = pick(1, 4);
        for (const std::string name : {"liquidacion", "reclamos"}) {
            if (!chance(4)) {
                intent->configuration.services.push_back(randomService(name));
            }
            for (int number = 1; number <= 4; ++number) {
                if (chance(8)) {
                    intent->intent.drains.push_back(name + "/b" + std::to_string(number));
                }
            }
        }
        countChanges(intent->configuration);
        configuration_ = intent->configuration;
        handle(ControlEvent(DirectoryPublished{intent}));
    }

    void countChanges(const Configuration &next)
    {
        ++counts_["configurations"];
        const auto probes = [](const Service *service) { return service && service->choiceProbes.probesPerSecond > 0; };
        for (const auto &[id, request] : open_) {
            const Service *former = configuration_.findService(request.service);
            const Service *service = next.findService(request.service);
            const std::string state = request.inFlight > 0 ? "request in flight" : "request waiting";
            counts_["service removed, " + state] += former && !service ? 1 : 0;
            counts_["choice probes off, " + state] += probes(former) && service && !probes(service) ? 1 : 0;
            counts_["choice probes on, " + state] += former && !probes(former) && probes(service) ? 1 : 0;
        }
        for (const auto &[id, call] : calls_) {
            const Service *service = next.findService(call.service);
            const bool isListed = service && std::any_of(service->backendServers.begin(), service->backendServers.end(), [&call = call](const auto &server) {
                                      return server.address == call.address;
                                  });
            counts_["attempt at a server removed or moved"] += isListed ? 0 : 1;
        }
    }

    void arrive()
    {
        RequestArrived event;
        event.request = ++lastRequest_;
        event.kind = *rc::gen::element(ReadKind, ReadKind, WriteKind);
        event.kindClass = event.kind == ReadKind ? KindClass::Read : KindClass::Write;
        event.deadline = now_ + *rc::gen::element<Duration>(microseconds(30'500), milliseconds(200), milliseconds(800), LongestDeadline);
        event.isPartOfRetry = chance(6);
        event.maxAttempts = pick(0, 4);
        event.latencyObjective = *rc::gen::element<Duration>(Duration(0), milliseconds(50), milliseconds(400), seconds(3));
        event.priority = pick(0, 3);
        event.callerTimeLeft = chance(2) ? event.deadline - now_ : Duration(0);
        event.heldFor = chance(6) ? milliseconds(20) : Duration(0);
        event.isForwarded = chance(10);
        event.fingerprint = {std::to_string(pick(0, 30)), std::to_string(pick(0, 3))};
        const std::string service = chance(2) ? "liquidacion" : "reclamos";
        open_[event.request] = {event, service};
        handle(EventForService{service, event});
    }

    void disconnectCaller()
    {
        if (!open_.empty()) {
            auto &[id, request] = *std::next(open_.begin(), pick<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(open_.size())));
            request.isCallerGone = true;
            handle(EventForService{request.service, CallerGone{id}});
        }
    }

    void handle(const NodeEvent &event)
    {
        NodeActions actions;
        node_.handle(now_, event, actions);
        for (const NodeAction &action : actions) {
            if (const auto *ofService = std::get_if<ActionOfService>(&action)) {
                std::visit([this, ofService](const auto &typed) { perform(ofService->service, typed); }, ofService->action);
            }
        }
    }

    /// Records what the event means for its request, and passes it to the node.
    void deliver(const NodeEvent &event)
    {
        const auto &serviceEvent = std::get<EventForService>(event).event;
        if (const auto *attempt = std::get_if<AttemptEnded>(&serviceEvent)) {
            const auto *answer = std::get_if<CompleteAnswer>(&attempt->outcome);
            const bool isUnsent = std::holds_alternative<NotSent>(attempt->outcome);
            endCall(attempt->request, attempt->attempt, answer != nullptr, isUnsent, isUnsent || (answer && answer->isNotExecuted));
        } else if (const auto *forward = std::get_if<ForwardEnded>(&serviceEvent)) {
            const auto *refused = std::get_if<ForwardRefused>(&forward->outcome);
            const bool isNotExecuted =
                std::holds_alternative<NotSent>(forward->outcome) || (refused && refused->problem.executionStatus == ExecutionStatus::NotExecuted);
            endCall(forward->request, forward->attempt, std::holds_alternative<ForwardAnswered>(forward->outcome), isNotExecuted, isNotExecuted);
        }
        handle(event);
    }

    void endCall(RequestId id, int attempt, bool isAnswered, bool isUnsent, bool isNotExecuted)
    {
        calls_.erase({id, attempt});
        if (const auto found = open_.find(id); found != open_.end()) {
            --found->second.inFlight;
            found->second.sent -= isUnsent ? 1 : 0;
            found->second.mayHaveExecuted = found->second.mayHaveExecuted || !isNotExecuted;
            if (isAnswered) {
                answers_.insert({id, attempt});
            }
        }
    }

    /// Starts an attempt or forward. @return whether it gets an answer, and when it ends: at the latest at its timeout, in whole milliseconds.
    std::pair<bool, TimePoint> drawEnd(TimePoint deadline)
    {
        const TimePoint timeout = now_ + std::max<Duration>(MinTimeout, std::chrono::floor<milliseconds>(deadline - now_));
        const TimePoint end = now_ + microseconds(pick(200, *rc::gen::element(20'000, 300'000, 4'000'000)));
        return {end < timeout && !isPartitioned_, std::min(end, timeout)};
    }

    void startCall(const std::string &service, RequestId id, int attempt, const std::string &address, TimePoint end, ServiceEvent event)
    {
        RC_ASSERT(open_.contains(id));
        OpenRequest &request = open_[id];
        RC_ASSERT(now_ < request.arrival.deadline);
        if (request.arrival.kindClass != KindClass::Read || request.arrival.isPartOfRetry) {
            RC_ASSERT(request.inFlight == 0);
            RC_ASSERT(!request.mayHaveExecuted);
        }
        ++request.inFlight;
        ++request.sent;
        RC_ASSERT(request.arrival.maxAttempts == 0 || request.sent <= request.arrival.maxAttempts);
        const auto position = agenda_.emplace(end, EventForService{service, std::move(event)});
        RC_ASSERT(calls_.insert({{id, attempt}, Call{service, address, position}}).second);
    }

    void perform(const std::string &service, const StartAttempt &start)
    {
        const Service *configured = configuration_.findService(service);
        RC_ASSERT(configured);
        RC_ASSERT(std::any_of(configured->backendServers.begin(), configured->backendServers.end(), [&start](const BackendServer &server) {
            return server.name == start.backend && server.address == start.address;
        }));
        ++counts_[start.logContext.cause == AttemptLogContext::Cause::Hedge ? "hedges" : start.attempt > 1 ? "retries" : "first attempts"];
        const auto [isAnswered, end] = drawEnd(start.deadline);
        AttemptEnded ended{start.request, start.attempt, LostAnswer{"timeout", true}, std::nullopt};
        const int outcome = pick(0, 14);
        if (isAnswered && outcome > 1) {
            const bool isRejected = outcome < 4;
            ended.outcome = CompleteAnswer{isRejected || outcome == 4 ? 503 : 200, isRejected, chance(30), chance(10), {}, {}, true, outcome == 5, chance(30)};
            ended.report = chance(2) ? std::optional(LoadReport{pick(0, 3), pick(0, 2), 2}) : std::nullopt;
            ended.limit = chance(30) ? LimitNotice(RequestLimit{static_cast<double>(pick(1, 20))}) : LimitNotice(NoRequestLimit{});
            ended.backoff = isRejected && chance(3) ? BackoffNotice(BackoffRequest{milliseconds(pick(1, 500))}) : BackoffNotice(NoBackoff{});
        } else if (isAnswered || (isPartitioned_ && outcome < 7)) {
            ended.outcome = outcome == 0 ? AttemptOutcome(LostAnswer{"cut", false}) : AttemptOutcome(NotSent{"refused"});
        }
        startCall(service, start.request, start.attempt, start.address, end, ended);
    }

    void perform(const std::string &service, const StartForward &start)
    {
        ++counts_["forwards"];
        const auto [isAnswered, end] = drawEnd(start.deadline);
        const int outcome = pick(0, 4);
        ForwardEnded ended{start.request, start.attempt, LostAnswer{"timeout", true}};
        if (outcome == 0) {
            ended.outcome = NotSent{"refused"};
        } else if (outcome == 1) {
            ended.outcome = ForwardRefused{{503, chance(3) ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted, "", "", "", std::nullopt, chance(2)}};
        } else if (end < start.deadline - MinTimeout) {
            ended.outcome = ForwardAnswered{};
        }
        startCall(service, start.request, start.attempt, start.peer, end, ended);
    }

    void perform(const std::string &service, const StartProbe &start)
    {
        ++counts_["probes"];
        ProbeEnded ended{start.backend, !isPartitioned_ && !chance(8), chance(40), std::nullopt, start.request};
        ended.isStatusCheck = start.isStatusCheck;
        ended.sentAt = now_;
        if (ended.isHealthy) {
            ended.liveness = ServerLiveness::Answered;
            ended.report = LoadReport{pick(0, 3), pick(0, 2), 2};
        } else {
            ended.liveness = chance(2) ? ServerLiveness::Rejected : ServerLiveness::Unresponsive;
            ended.isConnected = chance(2);
        }
        const Duration time = ended.liveness == ServerLiveness::Unresponsive ? ChoiceProbeTimeout : microseconds(pick(200, 60'000));
        agenda_.emplace(now_ + time, EventForService{service, ended});
    }

    void perform(const std::string &service, const CancelAttempt &cancel)
    {
        // The client finds the call by its address, as it was when the call was started.
        const auto found = calls_.find({cancel.request, cancel.attempt});
        RC_ASSERT(found != calls_.end());
        RC_ASSERT(found->second.address == cancel.address);
        ++counts_["cancelled attempts"];
        const bool isForward = std::holds_alternative<ForwardEnded>(std::get<EventForService>(found->second.end->second).event);
        agenda_.erase(found->second.end);
        const LostAnswer outcome{"cancelled", false};
        const ServiceEvent ended = isForward ? ServiceEvent(ForwardEnded{cancel.request, cancel.attempt, outcome})
                                             : ServiceEvent(AttemptEnded{cancel.request, cancel.attempt, outcome, std::nullopt});
        found->second.end = agenda_.emplace(now_ + microseconds(pick(0, 2'000)), EventForService{service, ended});
    }

    void perform(const std::string &, const ReturnAnswer &answer)
    {
        RC_ASSERT(answers_.contains({answer.request, answer.attempt}));
        endRequest(answer.request, "answered");
    }

    void perform(const std::string &, const Refuse &refusal)
    {
        const OpenRequest request = endRequest(refusal.request, "refused");
        if (refusal.problem.executionStatus == ExecutionStatus::NotExecuted) {
            RC_ASSERT(request.inFlight == 0);
            RC_ASSERT(!request.mayHaveExecuted);
        }
    }

    void perform(const std::string &, const DropRequest &drop)
    {
        RC_ASSERT(endRequest(drop.request, "dropped").isCallerGone);
    }

    void perform(const std::string &, const ReplayAnswer &)
    {
        RC_FAIL("no payouts are sent");
    }

    template<typename Other>
    void perform(const std::string &, const Other &)
    {
    }

    /// Checks that the request ends for the first time and in time.
    OpenRequest endRequest(RequestId id, const std::string &end)
    {
        RC_ASSERT(open_.contains(id));
        OpenRequest request = open_.extract(id).mapped();
        RC_ASSERT(now_ <= request.arrival.deadline + TickInterval);
        ++counts_[end];
        return request;
    }

    TimePoint now_ = TimePoint(seconds(100));
    TimePoint nextTick_ = now_;
    int ticks_ = 0;
    Node node_;
    Counts &counts_;
    Configuration configuration_;
    std::int64_t version_ = 0;
    bool isPartitioned_ = false;
    RequestId lastRequest_ = 0;
    std::map<RequestId, OpenRequest> open_;
    std::map<std::pair<RequestId, int>, Call> calls_;
    std::set<std::pair<RequestId, int>> answers_;
    Agenda agenda_;
};

} // namespace

TEST_CASE("Each request ends exactly once and by its deadline whatever configurations do meanwhile", "[requests][property]")
{
    Counts counts;
    CHECK(rc::check("one end each, in time, no repeated writes, true not-run refusals, no slot kept", [&counts] {
        RequestModel model(counts);
        for (int step = 0; step < Steps; ++step) {
            model.step();
        }
        model.finish();
    }));
    std::string distribution;
    for (const auto &[event, count] : counts) {
        distribution += event + ": " + std::to_string(count) + "\n";
    }
    INFO(distribution);
    for (const char *event : {"service removed, request waiting",
                              "choice probes off, request waiting",
                              "choice probes on, request waiting",
                              "attempt at a server removed or moved",
                              "hedges",
                              "forwards",
                              "cancelled attempts",
                              "dropped"}) {
        CAPTURE(event);
        CHECK(counts[event] > 0);
    }
}
