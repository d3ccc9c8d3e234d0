/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/retryafter.h"
#include "core/requests/serviceshard.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace Cloverbarrow;

namespace
{

constexpr Duration LatencyObjective = milliseconds(200);

Service probedService(int servers, double probesPerSecond = 100)
{
    Service service;
    service.name = "reclamos";
    service.echoesExchangeTag = true;
    service.choiceProbes = {probesPerSecond, "/health"};
    service.retry.hedgesFromBudget = true;
    service.retry.budgetPercent = 20;
    service.retry.budgetBurst = 3;
    service.retry.budgetAtStart = 1;
    for (int number = 1; number <= servers; ++number) {
        const std::string digits = std::to_string(number);
        service.backendServers.push_back({"b" + digits, "127.0.0.1:" + std::to_string(9000 + number), "bog-a", {}, 3});
    }
    return service;
}

/// A shard that probes servers before it chooses one, with simulated servers.
class ProbingShard
{
public:
    explicit ProbingShard(const Service &service)
    {
        handle(ServiceConfigured{1, service});
    }

    void handle(const ServiceEvent &event)
    {
        ServiceActions actions;
        shard_.handle(now_, event, actions);
        for (ServiceAction &action : actions) {
            perform(action);
        }
    }

    void arrive(RequestId id, KindClass kindClass = KindClass::Read, int priority = 0, Duration waited = Duration(0))
    {
        RequestArrived arrived;
        arrived.request = id;
        arrived.kindClass = kindClass;
        arrived.callerTimeLeft = seconds(2) - waited;
        arrived.deadline = now_ + arrived.callerTimeLeft;
        arrived.maxAttempts = 2;
        arrived.latencyObjective = LatencyObjective;
        arrived.priority = priority;
        handle(arrived);
    }

    /// A client retry: the caller has been waiting for @p waited because an earlier request was refused.
    void arriveRetry(RequestId id, Duration waited)
    {
        arrive(id, KindClass::Read, 0, waited);
    }

    /// The first attempt of the request is rejected with Retry-After.
    void reject(RequestId id, Duration backoff)
    {
        AttemptEnded ended{id, 1, CompleteAnswer{503, true}, std::nullopt};
        ended.backoff = BackoffRequest{backoff};
        handle(ended);
    }

    void advance(Duration duration)
    {
        constexpr Duration Step = milliseconds(5);
        for (const TimePoint until = now_ + duration; now_ < until;) {
            now_ += Step;
            handle(Tick{});
        }
    }

    /// Lets time pass without a tick.
    void wait(Duration duration)
    {
        now_ += duration;
    }

    /// Load reports of the servers that answer probes. Other servers are unresponsive.
    std::map<std::string, LoadReport> reports;
    std::vector<StartAttempt> started;
    std::vector<Refuse> refused;
    std::vector<ReturnAnswer> returned;
    std::vector<CancelAttempt> cancelled;
    int probes = 0;
    std::set<std::string> probedServers;
    int ejections = 0;
    int crashProbes = 0; ///< Number of probes that check whether a server has crashed.

private:
    void perform(const ServiceAction &action)
    {
        if (const auto *probe = std::get_if<StartProbe>(&action)) {
            ++probes;
            probedServers.insert(probe->backend);
            crashProbes += probe->isStatusCheck ? 1 : 0;
            if (probe->isStatusCheck && !reports.contains(probe->backend)) {
                handle(ProbeEnded{probe->backend, false, false, std::nullopt, std::nullopt, ServerLiveness::Unresponsive, true});
            }
            if (const auto found = reports.find(probe->backend); found != reports.end()) {
                handle(ProbeEnded{probe->backend, true, false, found->second, probe->request});
            }
        } else if (std::holds_alternative<ServerEjected>(action)) {
            ++ejections;
        } else if (const auto *start = std::get_if<StartAttempt>(&action)) {
            started.push_back(*start);
        } else if (const auto *refuse = std::get_if<Refuse>(&action)) {
            refused.push_back(*refuse);
        } else if (const auto *answer = std::get_if<ReturnAnswer>(&action)) {
            returned.push_back(*answer);
        } else if (const auto *cancel = std::get_if<CancelAttempt>(&action)) {
            cancelled.push_back(*cancel);
        }
    }

    TimePoint now_ = TimePoint(seconds(100));
    ServiceShard shard_{{"entry-1", "n"}, {"bog-a", {}}, "reclamos", LoadReportPick{}, 1};
};

} // namespace

TEST_CASE("A request goes to the server that reports free capacity and usual speed", "[choice]")
{
    ProbingShard shard(probedService(3));
    shard.reports = {{"b1", {0, 0, 3, 5.0}}, {"b2", {3, 2, 3, 1.0}}, {"b3", {1, 0, 3, 1.0}}};
    shard.arrive(1);
    REQUIRE(shard.started.size() == 1);
    CHECK(shard.started.front().backend == "b3");
}

TEST_CASE("A server that does not answer probes gets no request", "[choice]")
{
    ProbingShard shard(probedService(3));
    shard.reports = {{"b2", {2, 0, 3, 4.0}}};
    shard.arrive(1);
    shard.advance(milliseconds(60));
    REQUIRE(shard.started.size() == 1);
    CHECK(shard.started.front().backend == "b2");
}

TEST_CASE("Requests are still sent if no server answers probes", "[choice]")
{
    ProbingShard shard(probedService(3));
    shard.arrive(1);
    shard.advance(milliseconds(80));
    CHECK(shard.started.size() == 1);
}

TEST_CASE("If no server answers probes, each gets no more requests than a cold one, since it may have restarted", "[choice][cold]")
{
    Service service = probedService(2, 0.001);
    service.coldStartQuota = ServerQuota{3, milliseconds(1050), 3};
    service.entryVmRank = FleetRank{0, 1};
    ProbingShard shard(service);
    shard.advance(seconds(10));
    for (RequestId id = 1; id <= 20; ++id) {
        shard.arrive(id);
    }
    shard.advance(milliseconds(500));
    CHECK(shard.started.size() <= 6);
    CHECK_FALSE(shard.started.empty());
    CHECK(shard.started.size() + shard.refused.size() == 20);
}

TEST_CASE("When all servers are full, a request is refused within an eighth of its objective with a Retry-After beyond the shortage", "[choice][overload]")
{
    ProbingShard shard(probedService(3));
    const LoadReport full{3, 4, 3, 1.0};
    shard.reports = {{"b1", full}, {"b2", full}, {"b3", full}};
    shard.arrive(1);
    shard.advance(LatencyObjective / 8 + milliseconds(5));
    CHECK(shard.started.empty());
    REQUIRE(shard.refused.size() == 1);
    CHECK(shard.refused.front().problem.status == 503);
    CHECK(shard.refused.front().problem.executionStatus == ExecutionStatus::NotExecuted);
    CHECK(shard.refused.front().problem.retryAfter >= 3 * LatencyObjective);
}

TEST_CASE("With an exhausted probe budget no requests are sent to servers that were full a moment ago", "[choice][overload]")
{
    // One probe per second and server: the probe budget is exhausted after the first request.
    ProbingShard shard(probedService(3, 1));
    const LoadReport full{3, 4, 3, 1.0};
    shard.reports = {{"b1", full}, {"b2", full}, {"b3", full}};
    for (RequestId id = 1; id <= 20; ++id) {
        shard.arrive(id);
        shard.advance(milliseconds(20));
    }
    shard.advance(milliseconds(80));
    CHECK(shard.started.empty());
    CHECK(shard.refused.size() == 20);
    CHECK(shard.probes <= 3 * 2);
}

TEST_CASE("Probes stay within the probe budget of the entry VM", "[choice]")
{
    constexpr int PerSecond = 2;
    constexpr int Servers = 3;
    constexpr int Seconds = 10;
    ProbingShard shard(probedService(Servers, PerSecond));
    for (RequestId id = 1; id <= 100 * Seconds; ++id) {
        shard.arrive(id);
        shard.advance(milliseconds(10));
    }
    CHECK(shard.probes <= PerSecond * Servers * (Seconds + 1));
}

TEST_CASE("A request waits briefly instead of going to a server that would make it miss its objective", "[choice][overload]")
{
    ProbingShard shard(probedService(3));
    const LoadReport full{3, 4, 3, 1.0};
    // Five times the usual latency exceeds the objective, regardless of free capacity.
    shard.reports = {{"b1", {0, 0, 3, 5.0}}, {"b2", full}, {"b3", full}};
    shard.arrive(1);
    shard.advance(milliseconds(10));
    CHECK(shard.started.empty());
    shard.reports["b2"] = LoadReport{1, 0, 3, 1.0};
    shard.advance(milliseconds(25));
    REQUIRE(shard.started.size() == 1);
    CHECK(shard.started.front().backend == "b2");
}

TEST_CASE("A slot freed by an answer goes to a waiting request that can meet its objective before one that cannot", "[choice][overload]")
{
    ProbingShard shard(probedService(1));
    const LoadReport full{3, 0, 3, 1.0};
    shard.reports = {{"b1", {2, 0, 3, 1.0}}};
    shard.arrive(1);
    REQUIRE(shard.started.size() == 1);
    shard.reports = {{"b1", full}};
    // The second request has already missed its objective, the third has not.
    shard.arriveRetry(2, LatencyObjective * 3);
    shard.arrive(3);
    shard.advance(milliseconds(10));
    REQUIRE(shard.started.size() == 1);
    shard.handle(AttemptEnded{1, 1, CompleteAnswer{}, LoadReport{2, 0, 3, 1.0}});
    REQUIRE(shard.started.size() == 2);
    CHECK(shard.started.back().request == 3);
}

TEST_CASE("While other servers are full, no request goes to a temporarily slow server", "[choice][overload]")
{
    ProbingShard shard(probedService(4));
    const LoadReport full{3, 4, 3, 1.0};
    shard.reports = {{"b1", full}, {"b2", full}, {"b3", full}, {"b4", {0, 0, 3, 9.0}}};
    for (RequestId id = 1; id <= 5; ++id) {
        shard.arrive(id);
        shard.advance(LatencyObjective);
    }
    CHECK(shard.started.empty());
    CHECK(shard.refused.size() == 5);
}

TEST_CASE("A slow read is not hedged while its server answers probes", "[choice][hedge]")
{
    ProbingShard shard(probedService(3));
    const LoadReport idle{0, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    for (RequestId id = 100; id < 120; ++id) {
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, CompleteAnswer{}, std::nullopt});
    }
    shard.started.clear();
    shard.arrive(1);
    shard.advance(LatencyObjective * 3);
    CHECK(shard.started.size() == 1);
    CHECK(shard.cancelled.empty());
}

TEST_CASE("The first answer to a hedged read is used and the other attempt is cancelled", "[choice][hedge]")
{
    ProbingShard shard(probedService(3));
    const LoadReport idle{0, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    // Each request adds a fraction of a hedge to the retry budget.
    for (RequestId id = 100; id < 120; ++id) {
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, CompleteAnswer{}, std::nullopt});
    }
    shard.started.clear();
    shard.arrive(1);
    REQUIRE(shard.started.size() == 1);
    shard.reports.erase(shard.started.front().backend);
    shard.advance(LatencyObjective);
    REQUIRE(shard.started.size() == 2);
    CHECK(shard.started[0].backend != shard.started[1].backend);
    shard.handle(AttemptEnded{1, 2, CompleteAnswer{}, std::nullopt});
    REQUIRE(shard.cancelled.size() == 1);
    CHECK(shard.cancelled.front().attempt == 1);
    CHECK(shard.returned.size() == 121 - 100);
}

TEST_CASE("A write whose answer is lost is reported as unknown, never as not executed", "[choice][payout]")
{
    ProbingShard shard(probedService(3));
    shard.reports = {{"b1", {0, 0, 3, 1.0}}, {"b2", {0, 0, 3, 1.0}}, {"b3", {0, 0, 3, 1.0}}};
    shard.arrive(1, KindClass::Write);
    REQUIRE(shard.started.size() == 1);
    shard.handle(AttemptEnded{1, 1, LostAnswer{"reset", false}, std::nullopt});
    shard.advance(milliseconds(100));
    CHECK(shard.started.size() == 1);
    REQUIRE(shard.refused.size() == 1);
    CHECK(shard.refused.front().problem.executionStatus == ExecutionStatus::Unknown);
    CHECK(shard.refused.front().problem.status == 502);
}

TEST_CASE("A write that a backend server did not execute is sent to another one", "[choice][payout]")
{
    ProbingShard shard(probedService(3));
    shard.reports = {{"b1", {0, 0, 3, 1.0}}, {"b2", {0, 0, 3, 1.0}}, {"b3", {0, 0, 3, 1.0}}};
    shard.arrive(1, KindClass::Write);
    CompleteAnswer shed;
    shed.status = 503;
    shed.isNotExecuted = true;
    shard.handle(AttemptEnded{1, 1, shed, std::nullopt});
    REQUIRE(shard.started.size() == 2);
    CHECK(shard.started[0].backend != shard.started[1].backend);
}

TEST_CASE("A status that would misstate the execution of a write is not forwarded to the caller", "[choice][payout]")
{
    ProbingShard shard(probedService(3));
    shard.reports = {{"b1", {0, 0, 3, 1.0}}};
    shard.arrive(1, KindClass::Write);
    shard.advance(milliseconds(60));
    CompleteAnswer misleading;
    misleading.status = 503;
    misleading.isMisleading = true;
    shard.handle(AttemptEnded{1, 1, misleading, std::nullopt});
    CHECK(shard.returned.empty());
    REQUIRE(shard.refused.size() == 1);
    CHECK(shard.refused.front().problem.status == 502);
}

TEST_CASE("A write whose caller disconnects before it is sent is not sent", "[choice][gone]")
{
    ProbingShard shard(probedService(3));
    const LoadReport full{3, 4, 3, 1.0};
    shard.reports = {{"b1", full}, {"b2", full}, {"b3", full}};
    shard.arrive(1, KindClass::Write);
    shard.handle(CallerGone{1});
    shard.reports = {{"b1", {0, 0, 3, 1.0}}, {"b2", {0, 0, 3, 1.0}}, {"b3", {0, 0, 3, 1.0}}};
    shard.advance(seconds(1));
    CHECK(shard.started.empty());
}

TEST_CASE("An attempt of which no byte was sent is repeated without using the retry budget", "[choice][retry]")
{
    Service service = probedService(4);
    service.retry.budgetPercent = 0;
    service.retry.budgetAtStart = 0;
    ProbingShard shard(service);
    for (const char *name : {"b1", "b2", "b3", "b4"}) {
        shard.reports[name] = LoadReport{0, 0, 3, 1.0};
    }
    shard.arrive(1, KindClass::Write);
    shard.handle(AttemptEnded{1, 1, NotSent{"refused"}, std::nullopt});
    CHECK(shard.started.size() == 2);
}

TEST_CASE("An entry VM uses only a dozen servers of a large service while these have free capacity", "[choice][subset]")
{
    constexpr int Servers = 100;
    ProbingShard shard(probedService(Servers));
    for (int number = 1; number <= Servers; ++number) {
        shard.reports["b" + std::to_string(number)] = LoadReport{0, 0, 3, 1.0};
    }
    std::set<std::string> used;
    for (RequestId id = 1; id <= 300; ++id) {
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, CompleteAnswer{}, std::nullopt});
        shard.advance(milliseconds(100));
    }
    for (const StartAttempt &start : shard.started) {
        used.insert(start.backend);
    }
    CHECK(used.size() <= 12);
    CHECK(used.size() >= 6);
}

TEST_CASE("A read at an unresponsive server is hedged, also after its objective has passed", "[choice][hedge]")
{
    Service service = probedService(3);
    service.retry.budgetAtStart = 0;
    ProbingShard shard(service);
    const LoadReport idle{0, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    shard.arrive(1);
    REQUIRE(shard.started.size() == 1);
    const std::string first = shard.started.front().backend;
    // The server crashes; the retry budget is empty until later requests have added to it.
    shard.reports.erase(first);
    shard.advance(LatencyObjective * 2);
    CHECK(shard.started.size() == 1);
    for (RequestId id = 100; id < 106; ++id) {
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, CompleteAnswer{}, std::nullopt});
    }
    shard.advance(milliseconds(60));
    const auto isSecond = [](const StartAttempt &start) { return start.request == 1 && start.attempt == 2; };
    CHECK(std::count_if(shard.started.begin(), shard.started.end(), isSecond) == 1);
}

TEST_CASE("A request that can no longer meet its objective leaves free capacity to those that can", "[choice][late]")
{
    ProbingShard shard(probedService(2));
    shard.reports = {{"b1", {1, 0, 3, 1}}, {"b2", {1, 0, 3, 1}}};
    // The first request determines the estimated caller timeout.
    shard.arrive(1);
    CHECK(shard.started.size() == 1);
    SECTION("while servers have little free capacity")
    {
        shard.reports = {{"b1", {2, 0, 3, 1}}, {"b2", {2, 0, 3, 1}}};
        shard.advance(milliseconds(40));
        shard.arriveRetry(2, milliseconds(300));
        shard.advance(LatencyObjective / 4);
        CHECK(shard.started.size() == 1);
        REQUIRE(shard.refused.size() == 1);
        CHECK(shard.refused.front().problem.executionStatus == ExecutionStatus::NotExecuted);
        CHECK(shard.refused.front().problem.retryAfter);
        shard.arrive(3);
        CHECK(shard.started.size() == 2);
    }
    SECTION("but is served by a server with capacity to spare")
    {
        shard.arriveRetry(2, milliseconds(300));
        CHECK(shard.started.size() == 2);
    }
    SECTION("and by an idle server with any number of slots")
    {
        shard.reports = {{"b1", {0, 0, 1, 1}}, {"b2", {0, 0, 1, 1}}};
        shard.advance(milliseconds(40));
        shard.arriveRetry(2, milliseconds(300));
        CHECK(shard.started.size() == 2);
    }
}

TEST_CASE("The time that a caller has already waited is derived from the time that it has left", "[late]")
{
    CallerTimeoutEstimator estimate;
    const TimePoint now(seconds(100));
    CHECK(estimate.priorWait(now, LatencyObjective, seconds(2)) == Duration(0));
    CHECK(estimate.priorWait(now, LatencyObjective, milliseconds(1400)) == milliseconds(600));
    CHECK(estimate.priorWait(now, 2 * LatencyObjective, milliseconds(1400)) == Duration(0));
    // A shorter caller timeout is learned within a minute.
    CHECK(estimate.priorWait(now + seconds(31), LatencyObjective, milliseconds(1400)) == milliseconds(600));
    CHECK(estimate.priorWait(now + seconds(62), LatencyObjective, milliseconds(1400)) == Duration(0));
}

TEST_CASE("A read at a server that answers probes is not hedged during or after a shortage of capacity", "[choice][hedge][overload]")
{
    ProbingShard shard(probedService(3));
    const LoadReport idle{0, 0, 3, 1.0};
    const LoadReport full{3, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    for (RequestId id = 100; id < 120; ++id) {
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, CompleteAnswer{}, std::nullopt});
    }
    shard.reports = {{"b1", full}, {"b2", full}, {"b3", full}};
    shard.advance(seconds(2));
    shard.arrive(1);
    shard.advance(LatencyObjective / 4);
    REQUIRE(shard.refused.size() == 1);
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    shard.started.clear();
    SECTION("a moment later")
    {
        shard.arrive(2);
        shard.advance(LatencyObjective * 3 / 5);
        CHECK(shard.started.size() == 1);
    }
    SECTION("and some seconds later")
    {
        shard.advance(seconds(6));
        shard.arrive(2);
        shard.advance(LatencyObjective * 3 / 5);
        CHECK(shard.started.size() == 1);
    }
}

TEST_CASE("A caller rejected by servers that report free capacity gets a Retry-After within its objective", "[choice][retry]")
{
    ProbingShard shard(probedService(3));
    const LoadReport idle{0, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    shard.arrive(1);
    CompleteAnswer shed;
    shed.status = 503;
    shed.isNotExecuted = true;
    shard.handle(AttemptEnded{1, 1, shed, std::nullopt});
    shard.handle(AttemptEnded{1, 2, shed, std::nullopt});
    REQUIRE(shard.refused.size() == 1);
    CHECK(shard.refused.front().problem.executionStatus == ExecutionStatus::NotExecuted);
    REQUIRE(shard.refused.front().problem.retryAfter);
    CHECK(*shard.refused.front().problem.retryAfter <= LatencyObjective / 8);
}

TEST_CASE("Without probes requests are sent by old reports while servers have free capacity, and refused near saturation", "[choice][overload]")
{
    // One probe per ten seconds and server: nearly all requests find the probe budget exhausted.
    ProbingShard shard(probedService(3, 0.1));
    const bool isCrowded = GENERATE(false, true);
    const LoadReport usual = isCrowded ? LoadReport{3, 2, 3, 1.0} : LoadReport{1, 0, 3, 1.0};
    const LoadReport last{1, 0, 3, 1.0};
    for (const char *name : {"b1", "b2", "b3"}) {
        shard.reports[name] = usual;
        for (int report = 0; report < 50; ++report) {
            shard.handle(ProbeEnded{name, true, false, usual, std::nullopt});
        }
        shard.handle(ProbeEnded{name, true, false, last, std::nullopt});
    }
    shard.arrive(1);
    shard.advance(milliseconds(200));
    shard.started.clear();
    for (RequestId id = 2; id <= 4; ++id) {
        shard.arrive(id);
        shard.advance(milliseconds(100));
    }
    CHECK(shard.started.size() == (isCrowded ? 0 : 3));
    CHECK(shard.refused.size() == (isCrowded ? 3 : 0));
}

TEST_CASE("No attempt is started that cannot finish before the deadline", "[choice][retry]")
{
    ProbingShard shard(probedService(3));
    const LoadReport idle{0, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    // Only 20 ms of the caller's two seconds are left when the answer to the first attempt is lost.
    shard.arrive(1, KindClass::Read, 0, seconds(1));
    REQUIRE(shard.started.size() == 1);
    shard.advance(milliseconds(980));
    shard.handle(AttemptEnded{1, 1, LostAnswer{"reset", false}, std::nullopt});
    CHECK(shard.started.size() == 1);
    REQUIRE(shard.refused.size() == 1);
    CHECK(shard.refused.front().problem.executionStatus == ExecutionStatus::Unknown);
}

TEST_CASE("A write that has waited for a server until its deadline is refused as not executed instead of being sent after it", "[choice][deadline]")
{
    ProbingShard shard(probedService(3));
    // The choice of a server may take 25 ms, the caller has 18 ms left.
    shard.arrive(1, KindClass::Write, 0, milliseconds(1982));
    shard.advance(milliseconds(15));
    if (GENERATE(true, false)) {
        shard.wait(milliseconds(3));
        shard.handle(ProbeEnded{"b1", true, false, LoadReport{0, 0, 3, 1.0}, 1});
    }
    shard.advance(milliseconds(10));
    CHECK(shard.started.empty());
    REQUIRE(shard.refused.size() == 1);
    CHECK(shard.refused.front().problem.executionStatus == ExecutionStatus::NotExecuted);
}

TEST_CASE("A hedge that waits for a server adds no attempt to the retry that a configuration without choice probes starts", "[choice][hedge]")
{
    Service service = probedService(3);
    service.retry.budgetAtStart = 3;
    ProbingShard shard(service);
    shard.reports = {{"b1", {0, 0, 3, 1.0}}, {"b2", {3, 4, 3, 1.0}}, {"b3", {3, 4, 3, 1.0}}};
    shard.arrive(1);
    REQUIRE(shard.started.size() == 1);
    shard.reports.erase("b1");
    shard.advance(LatencyObjective / 2 + UnresponsiveServers::ProbeAnswerTime + milliseconds(5));
    service.choiceProbes.probesPerSecond = 0;
    shard.handle(ServiceConfigured{2, service});
    shard.handle(AttemptEnded{1, 1, LostAnswer{"reset", false}, std::nullopt});
    REQUIRE(shard.started.size() == 2);
    for (const char *name : {"b2", "b3"}) {
        shard.handle(ProbeEnded{name, true, false, LoadReport{0, 0, 3, 1.0}, 1});
    }
    CHECK(shard.started.size() == 2);
}

TEST_CASE("A server is checked for a crash even if choices use up all other probes", "[choice][crash]")
{
    // At 80 requests per second, choices alone would make 400 probes per second, of which 20 are allowed. Without probes reserved for crash detection, a
    // crash was detected only after 1.4 s, which is too late.
    ProbingShard shard(probedService(4, 5));
    for (const char *name : {"b1", "b2", "b3", "b4"}) {
        shard.reports[name] = {0, 0, 3, 1};
    }
    const auto load = [&shard](RequestId first) {
        for (RequestId id = first; id < first + 40; ++id) {
            shard.arrive(id);
            shard.advance(milliseconds(10));
        }
    };
    load(1);
    REQUIRE(!shard.started.empty());
    const StartAttempt lost = shard.started.back();
    shard.reports.erase(lost.backend);
    shard.handle(AttemptEnded{lost.request, lost.attempt, LostAnswer{"reset", false}, std::nullopt});
    load(100);
    CHECK(shard.crashProbes >= CrashDetector::RejectedProbesForCrash);
}

TEST_CASE("A request under which two servers have crashed is not retried when its answer is lost", "[choice][crash]")
{
    ProbingShard shard(probedService(4));
    for (const char *name : {"b1", "b2", "b3", "b4"}) {
        shard.reports[name] = {0, 0, 3, 1};
    }
    const RequestFingerprint fingerprint; // Requests in this test have an empty one.
    const std::vector<ServerCrash> crashes = {{fingerprint, "i-8"}, {fingerprint, "i-9"}};
    const std::size_t count = GENERATE(1, 2);
    shard.handle(BlocklistChanged{std::make_shared<const RequestBlocklist>(std::span(crashes).first(count), std::span<const ServerCrash>()), 1});
    shard.arrive(1);
    REQUIRE(shard.started.size() == 1);
    shard.handle(AttemptEnded{1, 1, LostAnswer{"reset", false}, std::nullopt});
    CHECK(shard.started.size() == (count == 1 ? 2 : 1));
    CHECK(shard.refused.size() == (count == 1 ? 0 : 1));
}

TEST_CASE("A request blocked for lost answers gets a shorter Retry-After than one blocked for crashed servers", "[choice][crash]")
{
    ProbingShard shard(probedService(4));
    for (const char *name : {"b1", "b2", "b3", "b4"}) {
        shard.reports[name] = {0, 0, 3, 1};
    }
    const RequestFingerprint fingerprint; // Requests in this test have an empty one.
    const std::vector<ServerCrash> servers = {{fingerprint, "i-7"}, {fingerprint, "i-8"}, {fingerprint, "i-9"}};
    const bool haveCrashed = GENERATE(false, true);
    const std::span<const ServerCrash> none;
    const auto blocklist = haveCrashed ? std::make_shared<const RequestBlocklist>(servers, none)
                                       : std::make_shared<const RequestBlocklist>(none, none, std::set<RequestFingerprint>{}, servers);
    shard.handle(BlocklistChanged{blocklist, 1});
    shard.arrive(1);
    REQUIRE(shard.refused.size() == 1);
    CHECK(*shard.refused.back().problem.retryAfter == (haveCrashed ? RetryAfterWhenBlocked : RetryAfterWhenSuspected));
}

TEST_CASE("Probes that check whether a server has crashed do not eject it repeatedly", "[choice][crash]")
{
    // Guards against repeated ejections by the crash probes: a server whose link was cut for a moment was ejected fifteen times within 1.5 s, finally
    // for 32 s.
    ProbingShard shard(probedService(4));
    for (const char *name : {"b1", "b2", "b3", "b4"}) {
        shard.reports[name] = {0, 0, 3, 1};
    }
    shard.arrive(1);
    REQUIRE(shard.started.size() == 1);
    shard.reports.erase(shard.started.front().backend);
    shard.handle(AttemptEnded{1, 1, LostAnswer{"reset", false}, std::nullopt});
    shard.advance(seconds(3));
    CHECK(shard.crashProbes >= CrashDetector::RejectedProbesForCrash);
    CHECK(shard.ejections <= 1);
}

TEST_CASE("A server whose limit has not been confirmed lately gets a request although others have just reported free capacity", "[choice][limit]")
{
    Service service = probedService(2);
    service.entryVmRank = FleetRank{0, 1};
    ProbingShard shard(service);
    shard.reports = {{"b1", {0, 0, 3, 1.0}}, {"b2", {1, 0, 3, 1.0}}};
    shard.advance(seconds(10));
    shard.handle(ProbeEnded{"b2", true, false, LoadReport{1, 0, 3, 1.0}, std::nullopt, ServerLiveness::Answered, true, {}, RequestLimit{2.7}});
    for (RequestId id = 1; id <= 300; ++id) {
        shard.arrive(id);
        shard.advance(milliseconds(5));
        shard.handle(AttemptEnded{id, 1, CompleteAnswer{200}, LoadReport{0, 0, 3, 1.0}});
        shard.advance(milliseconds(10));
    }
    // The first requests do not count, because the report of the limited server is still fresh then.
    const auto isLaterAtLimited = [](const StartAttempt &attempt) { return attempt.request > 20 && attempt.backend == "b2"; };
    const auto atLimited = std::count_if(shard.started.begin(), shard.started.end(), isLaterAtLimited);
    CHECK(atLimited >= 1);
}

TEST_CASE("A server that has requested a backoff gets neither requests nor probes until it is over", "[choice][backoff]")
{
    ProbingShard shard(probedService(2));
    shard.reports = {{"b1", {0, 0, 3, 1}}, {"b2", {0, 0, 3, 3}}};
    shard.arrive(1);
    REQUIRE(shard.started.back().backend == "b1");
    SECTION("once it has rejected a request")
    {
        shard.reject(1, seconds(3));
        shard.advance(milliseconds(60));
        shard.handle(AttemptEnded{1, 2, CompleteAnswer{}, std::nullopt});
    }
    SECTION("also after it has requested a shorter one")
    {
        shard.arrive(2);
        REQUIRE(shard.started.back().backend == "b1");
        shard.reject(1, seconds(3));
        shard.reject(2, milliseconds(100));
        shard.advance(milliseconds(60));
        shard.handle(AttemptEnded{1, 2, CompleteAnswer{}, std::nullopt});
    }
    SECTION("also when an answer to a probe requests it")
    {
        shard.handle(AttemptEnded{1, 1, CompleteAnswer{}, std::nullopt});
        ProbeEnded probed{"b1", false, false, std::nullopt, std::nullopt, ServerLiveness::Answered};
        probed.backoff = BackoffRequest{seconds(3)};
        shard.handle(probed);
    }
    SECTION("also when its entry is removed and added again meanwhile")
    {
        shard.reject(1, seconds(3));
        shard.advance(milliseconds(60));
        shard.handle(AttemptEnded{1, 2, CompleteAnswer{}, std::nullopt});
        Service withoutFirst = probedService(2);
        withoutFirst.backendServers.erase(withoutFirst.backendServers.begin());
        shard.handle(ServiceConfigured{2, withoutFirst});
        shard.handle(ServiceConfigured{3, probedService(2)});
    }
    shard.started.clear();
    shard.refused.clear();
    shard.probedServers.clear();
    for (RequestId id = 10; id < 30; ++id) {
        shard.advance(milliseconds(140));
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, CompleteAnswer{}, std::nullopt});
    }
    CHECK(shard.probedServers == std::set<std::string>{"b2"});
    CHECK(std::all_of(shard.started.begin(), shard.started.end(), [](const StartAttempt &start) { return start.backend == "b2"; }));
    CHECK(shard.refused.empty());
    shard.advance(milliseconds(300));
    shard.arrive(30);
    CHECK(shard.started.back().backend == "b1");
}

// Guards against cancelling an attempt whose rejection is still on its way, so that the backoff that it requests is lost.
TEST_CASE("A backoff is applied although the request was over before the rejection arrived", "[choice][backoff][gone]")
{
    ProbingShard shard(probedService(2));
    constexpr RequestId Rejected = 1;
    SECTION("because its caller had gone")
    {
        shard.reports = {{"b1", {0, 0, 3, 1}}, {"b2", {0, 0, 3, 3}}};
        shard.arrive(Rejected);
        shard.advance(milliseconds(20));
        shard.handle(CallerGone{Rejected});
    }
    SECTION("because another attempt was answered")
    {
        shard.reports = {{"b1", {0, 0, 3, 1}}, {"b2", {0, 0, 3, 1}}};
        // Each request adds a fraction of a hedge to the retry budget.
        for (RequestId id = 100; id < 120; ++id) {
            shard.arrive(id);
            shard.handle(AttemptEnded{id, 1, CompleteAnswer{}, std::nullopt});
        }
        shard.arrive(Rejected);
        shard.reports.erase(shard.started.back().backend);
        const std::size_t attempts = shard.started.size();
        for (int step = 0; step < 100 && shard.started.size() == attempts; ++step) {
            shard.advance(milliseconds(5));
        }
        REQUIRE(shard.started.size() == attempts + 1);
        shard.advance(milliseconds(20));
        shard.handle(AttemptEnded{Rejected, 1, CompleteAnswer{}, std::nullopt});
        REQUIRE(shard.returned.back().request == Rejected);
    }
    const StartAttempt rejected = shard.started.back();
    REQUIRE(rejected.request == Rejected);
    CHECK(shard.cancelled.empty());
    shard.advance(milliseconds(20));
    CompleteAnswer rejection;
    rejection.status = 503;
    rejection.isNotExecuted = true;
    AttemptEnded ended{Rejected, rejected.attempt, rejection, std::nullopt};
    ended.backoff = BackoffRequest{seconds(3)};
    shard.handle(ended);
    shard.reports = {{"b1", {0, 0, 3, 1}}, {"b2", {0, 0, 3, 1}}};
    shard.started.clear();
    for (RequestId id = 10; id < 30; ++id) {
        shard.advance(milliseconds(140));
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, CompleteAnswer{}, std::nullopt});
    }
    CHECK(shard.started.size() == 20);
    CHECK(std::none_of(shard.started.begin(), shard.started.end(), [&rejected](const StartAttempt &start) { return start.backend == rejected.backend; }));
    CHECK(shard.cancelled.empty());
}

// Guards against servers that go on working for callers that have gone.
TEST_CASE("An attempt whose caller has gone is cancelled once a rejection would have arrived", "[choice][gone]")
{
    ProbingShard shard(probedService(2));
    shard.reports = {{"b1", {0, 0, 3, 1}}, {"b2", {0, 0, 3, 1}}};
    shard.arrive(1);
    SECTION("at once if it would have arrived before")
    {
        shard.advance(milliseconds(100));
        shard.handle(CallerGone{1});
        REQUIRE(shard.cancelled.size() == 1);
    }
    SECTION("otherwise 100 ms after its start")
    {
        shard.advance(milliseconds(20));
        shard.handle(CallerGone{1});
        shard.advance(milliseconds(75));
        CHECK(shard.cancelled.empty());
        shard.advance(milliseconds(5));
        REQUIRE(shard.cancelled.size() == 1);
    }
    const StartAttempt &started = shard.started.back();
    CHECK(shard.cancelled.back().request == 1);
    CHECK(shard.cancelled.back().attempt == started.attempt);
    CHECK(shard.cancelled.back().address == started.address);
    shard.advance(seconds(1));
    CHECK(shard.cancelled.size() == 1);
}

TEST_CASE("While all servers have requested a backoff, requests are refused at once with the time until the first one is over", "[choice][backoff]")
{
    ProbingShard shard(probedService(2));
    shard.reports = {{"b1", {0, 0, 3, 1}}, {"b2", {0, 0, 3, 1}}};
    shard.arrive(1);
    shard.reject(1, milliseconds(800));
    const std::string second = shard.started.back().backend;
    AttemptEnded ended{1, 2, CompleteAnswer{503, true}, std::nullopt};
    ended.backoff = BackoffRequest{milliseconds(600)};
    shard.handle(ended);
    CHECK(shard.refused.size() == 1);
    shard.arrive(2);
    REQUIRE(shard.refused.size() == 2);
    CHECK(shard.refused.back().problem.executionStatus == ExecutionStatus::NotExecuted);
    CHECK(shard.refused.back().problem.retryAfter == milliseconds(600));
    shard.advance(milliseconds(600));
    shard.arrive(3);
    CHECK(shard.started.back().backend == second);
}
