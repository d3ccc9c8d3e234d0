/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/comeback.h"
#include "core/requests/serviceshard.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace Cloverbarrow;

namespace
{

constexpr Duration AimedLatency = milliseconds(200);

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

/// A shard that probes before it chooses, with servers that answer as told.
class Probing
{
public:
    explicit Probing(const Service &service)
    {
        handle(ServiceConfigured{1, service});
    }

    void handle(const ServiceEvent &event)
    {
        ServiceActions actions;
        shard_.handle(now_, event, actions);
        for (ServiceAction &action : actions) {
            take(action);
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
        arrived.latencyObjective = AimedLatency;
        arrived.priority = priority;
        handle(arrived);
    }

    /// The caller has been waiting for @p waited, since an earlier request of it was refused.
    void arriveAgain(RequestId id, Duration waited)
    {
        arrive(id, KindClass::Read, 0, waited);
    }

    void pass(Duration duration)
    {
        constexpr Duration Step = milliseconds(5);
        for (const TimePoint until = now_ + duration; now_ < until;) {
            now_ += Step;
            handle(Tick{});
        }
    }

    /// Servers that answer probes, with what they tell. Others stay silent.
    std::map<std::string, LoadReport> reports;
    std::vector<StartAttempt> started;
    std::vector<Refuse> refused;
    std::vector<PassAnswer> passed;
    std::vector<CancelAttempt> cancelled;
    int probes = 0;
    int ejections = 0;
    int endProbes = 0; ///< Of these, the ones that ask whether a server has ended.

private:
    void take(const ServiceAction &action)
    {
        if (const auto *probe = std::get_if<StartProbe>(&action)) {
            ++probes;
            endProbes += probe->isExtra ? 1 : 0;
            if (probe->isExtra && !reports.contains(probe->backend)) {
                handle(ProbeEnded{probe->backend, false, false, std::nullopt, std::nullopt, LifeSign::Silent, true});
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
        } else if (const auto *answer = std::get_if<PassAnswer>(&action)) {
            passed.push_back(*answer);
        } else if (const auto *cancel = std::get_if<CancelAttempt>(&action)) {
            cancelled.push_back(*cancel);
        }
    }

    TimePoint now_ = TimePoint(seconds(100));
    ServiceShard shard_{{"entry-1", "n"}, {"bog-a", {}}, "reclamos", LoadReportPick{}, 1};
};

} // namespace

TEST_CASE("A request goes to the server that tells of room and usual speed", "[choice]")
{
    Probing shard(probedService(3));
    shard.reports = {{"b1", {0, 0, 3, 5.0}}, {"b2", {3, 2, 3, 1.0}}, {"b3", {1, 0, 3, 1.0}}};
    shard.arrive(1);
    REQUIRE(shard.started.size() == 1);
    CHECK(shard.started.front().backend == "b3");
}

TEST_CASE("A server that does not answer probes gets no request", "[choice]")
{
    Probing shard(probedService(3));
    shard.reports = {{"b2", {2, 0, 3, 4.0}}};
    shard.arrive(1);
    shard.pass(milliseconds(60));
    REQUIRE(shard.started.size() == 1);
    CHECK(shard.started.front().backend == "b2");
}

TEST_CASE("Where no server answers probes, requests are still sent", "[choice]")
{
    Probing shard(probedService(3));
    shard.arrive(1);
    shard.pass(milliseconds(80));
    CHECK(shard.started.size() == 1);
}

TEST_CASE("Where no server answers probes, none gets more than the bound of a cold one, which it may be", "[choice][cold]")
{
    Service service = probedService(2, 0.001);
    service.coldStart = FleetAllowance{3, milliseconds(1050), 3};
    service.place = FleetPlace{0, 1};
    Probing shard(service);
    shard.pass(seconds(10));
    for (RequestId id = 1; id <= 20; ++id) {
        shard.arrive(id);
    }
    shard.pass(milliseconds(500));
    CHECK(shard.started.size() <= 6);
    CHECK_FALSE(shard.started.empty());
    CHECK(shard.started.size() + shard.refused.size() == 20);
}

TEST_CASE("When all servers are full, a request is refused within an eighth of its objective and told to come back after the shortage", "[choice][overload]")
{
    Probing shard(probedService(3));
    const LoadReport full{3, 4, 3, 1.0};
    shard.reports = {{"b1", full}, {"b2", full}, {"b3", full}};
    shard.arrive(1);
    shard.pass(AimedLatency / 8 + milliseconds(5));
    CHECK(shard.started.empty());
    REQUIRE(shard.refused.size() == 1);
    CHECK(shard.refused.front().problem.status == 503);
    CHECK(shard.refused.front().problem.fate == Fate::NotRun);
    CHECK(shard.refused.front().problem.retryAfter >= 3 * AimedLatency);
}

TEST_CASE("An empty probe allowance does not send requests to servers that were full a moment ago", "[choice][overload]")
{
    // One probe a second and server: the allowance is empty after the first request.
    Probing shard(probedService(3, 1));
    const LoadReport full{3, 4, 3, 1.0};
    shard.reports = {{"b1", full}, {"b2", full}, {"b3", full}};
    for (RequestId id = 1; id <= 20; ++id) {
        shard.arrive(id);
        shard.pass(milliseconds(20));
    }
    shard.pass(milliseconds(80));
    CHECK(shard.started.empty());
    CHECK(shard.refused.size() == 20);
    CHECK(shard.probes <= 3 * 2);
}

TEST_CASE("Probes stay within the allowance of the entry VM", "[choice]")
{
    constexpr int PerSecond = 2;
    constexpr int Servers = 3;
    constexpr int Seconds = 10;
    Probing shard(probedService(Servers, PerSecond));
    for (RequestId id = 1; id <= 100 * Seconds; ++id) {
        shard.arrive(id);
        shard.pass(milliseconds(10));
    }
    CHECK(shard.probes <= PerSecond * Servers * (Seconds + 1));
}

TEST_CASE("A request rather waits a moment than goes to a server that would make it late", "[choice][overload]")
{
    Probing shard(probedService(3));
    const LoadReport full{3, 4, 3, 1.0};
    // Five times the usual work passes the objective, whatever room there is.
    shard.reports = {{"b1", {0, 0, 3, 5.0}}, {"b2", full}, {"b3", full}};
    shard.arrive(1);
    shard.pass(milliseconds(10));
    CHECK(shard.started.empty());
    shard.reports["b2"] = LoadReport{1, 0, 3, 1.0};
    shard.pass(milliseconds(25));
    REQUIRE(shard.started.size() == 1);
    CHECK(shard.started.front().backend == "b2");
}

TEST_CASE("A slot that an answer has freed goes to the request that waits for one, in time before late", "[choice][overload]")
{
    Probing shard(probedService(1));
    const LoadReport full{3, 0, 3, 1.0};
    shard.reports = {{"b1", {2, 0, 3, 1.0}}};
    shard.arrive(1);
    REQUIRE(shard.started.size() == 1);
    shard.reports = {{"b1", full}};
    // So the objective of the second is missed already, and that of the third is not.
    shard.arriveAgain(2, AimedLatency * 3);
    shard.arrive(3);
    shard.pass(milliseconds(10));
    REQUIRE(shard.started.size() == 1);
    shard.handle(AttemptEnded{1, 1, AnsweredWhole{}, LoadReport{2, 0, 3, 1.0}});
    REQUIRE(shard.started.size() == 2);
    CHECK(shard.started.back().request == 3);
}

TEST_CASE("Under shortage no slot goes to a request on a server that is slow for the moment", "[choice][overload]")
{
    Probing shard(probedService(4));
    const LoadReport full{3, 4, 3, 1.0};
    shard.reports = {{"b1", full}, {"b2", full}, {"b3", full}, {"b4", {0, 0, 3, 9.0}}};
    for (RequestId id = 1; id <= 5; ++id) {
        shard.arrive(id);
        shard.pass(AimedLatency);
    }
    CHECK(shard.started.empty());
    CHECK(shard.refused.size() == 5);
}

TEST_CASE("A slow read stays where it is while its server answers probes", "[choice][hedge]")
{
    Probing shard(probedService(3));
    const LoadReport idle{0, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    for (RequestId id = 100; id < 120; ++id) {
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, AnsweredWhole{}, std::nullopt});
    }
    shard.started.clear();
    shard.arrive(1);
    shard.pass(AimedLatency * 3);
    CHECK(shard.started.size() == 1);
    CHECK(shard.cancelled.empty());
}

TEST_CASE("Of two attempts of a read the one that answers first counts and the other is cancelled", "[choice][hedge]")
{
    Probing shard(probedService(3));
    const LoadReport idle{0, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    // Each request earns a part of a second attempt.
    for (RequestId id = 100; id < 120; ++id) {
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, AnsweredWhole{}, std::nullopt});
    }
    shard.started.clear();
    shard.arrive(1);
    REQUIRE(shard.started.size() == 1);
    shard.reports.erase(shard.started.front().backend);
    shard.pass(AimedLatency);
    REQUIRE(shard.started.size() == 2);
    CHECK(shard.started[0].backend != shard.started[1].backend);
    shard.handle(AttemptEnded{1, 2, AnsweredWhole{}, std::nullopt});
    REQUIRE(shard.cancelled.size() == 1);
    CHECK(shard.cancelled.front().attempt == 1);
    CHECK(shard.passed.size() == 121 - 100);
}

TEST_CASE("A write whose answer is lost is told as unknown, never as not run", "[choice][payout]")
{
    Probing shard(probedService(3));
    shard.reports = {{"b1", {0, 0, 3, 1.0}}, {"b2", {0, 0, 3, 1.0}}, {"b3", {0, 0, 3, 1.0}}};
    shard.arrive(1, KindClass::Write);
    REQUIRE(shard.started.size() == 1);
    shard.handle(AttemptEnded{1, 1, LostAnswer{"reset", false}, std::nullopt});
    shard.pass(milliseconds(100));
    CHECK(shard.started.size() == 1);
    REQUIRE(shard.refused.size() == 1);
    CHECK(shard.refused.front().problem.fate == Fate::Unknown);
    CHECK(shard.refused.front().problem.status == 502);
}

TEST_CASE("A write that a backend server did not run is sent to another one", "[choice][payout]")
{
    Probing shard(probedService(3));
    shard.reports = {{"b1", {0, 0, 3, 1.0}}, {"b2", {0, 0, 3, 1.0}}, {"b3", {0, 0, 3, 1.0}}};
    shard.arrive(1, KindClass::Write);
    AnsweredWhole shed;
    shed.status = 503;
    shed.isNotRun = true;
    shard.handle(AttemptEnded{1, 1, shed, std::nullopt});
    REQUIRE(shard.started.size() == 2);
    CHECK(shard.started[0].backend != shard.started[1].backend);
}

TEST_CASE("A status that would promise too much is not passed on for a write", "[choice][payout]")
{
    Probing shard(probedService(3));
    shard.reports = {{"b1", {0, 0, 3, 1.0}}};
    shard.arrive(1, KindClass::Write);
    shard.pass(milliseconds(60));
    AnsweredWhole misleading;
    misleading.status = 503;
    misleading.isMisleading = true;
    shard.handle(AttemptEnded{1, 1, misleading, std::nullopt});
    CHECK(shard.passed.empty());
    REQUIRE(shard.refused.size() == 1);
    CHECK(shard.refused.front().problem.status == 502);
}

TEST_CASE("A write whose caller leaves before it is sent is not sent any more", "[choice][gone]")
{
    Probing shard(probedService(3));
    const LoadReport full{3, 4, 3, 1.0};
    shard.reports = {{"b1", full}, {"b2", full}, {"b3", full}};
    shard.arrive(1, KindClass::Write);
    shard.handle(CallerGone{1});
    shard.reports = {{"b1", {0, 0, 3, 1.0}}, {"b2", {0, 0, 3, 1.0}}, {"b3", {0, 0, 3, 1.0}}};
    shard.pass(seconds(1));
    CHECK(shard.started.empty());
}

TEST_CASE("An attempt of which nothing left is made up for without the budget", "[choice][retry]")
{
    Service service = probedService(4);
    service.retry.budgetPercent = 0;
    service.retry.budgetAtStart = 0;
    Probing shard(service);
    for (const char *name : {"b1", "b2", "b3", "b4"}) {
        shard.reports[name] = LoadReport{0, 0, 3, 1.0};
    }
    shard.arrive(1, KindClass::Write);
    shard.handle(AttemptEnded{1, 1, NeverLeft{"refused"}, std::nullopt});
    CHECK(shard.started.size() == 2);
}

TEST_CASE("An entry VM keeps to a dozen servers of a large service while these have room", "[choice][subset]")
{
    constexpr int Servers = 100;
    Probing shard(probedService(Servers));
    for (int number = 1; number <= Servers; ++number) {
        shard.reports["b" + std::to_string(number)] = LoadReport{0, 0, 3, 1.0};
    }
    std::set<std::string> used;
    for (RequestId id = 1; id <= 300; ++id) {
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, AnsweredWhole{}, std::nullopt});
        shard.pass(milliseconds(100));
    }
    for (const StartAttempt &start : shard.started) {
        used.insert(start.backend);
    }
    CHECK(used.size() <= 12);
    CHECK(used.size() >= 6);
}

TEST_CASE("A read at a server that has fallen silent gets a second attempt, also after its objective", "[choice][hedge]")
{
    Service service = probedService(3);
    service.retry.budgetAtStart = 0;
    Probing shard(service);
    const LoadReport idle{0, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    shard.arrive(1);
    REQUIRE(shard.started.size() == 1);
    const std::string first = shard.started.front().backend;
    // The server dies; the budget is empty until later requests have paid into it.
    shard.reports.erase(first);
    shard.pass(AimedLatency * 2);
    CHECK(shard.started.size() == 1);
    for (RequestId id = 100; id < 106; ++id) {
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, AnsweredWhole{}, std::nullopt});
    }
    shard.pass(milliseconds(60));
    const auto isSecond = [](const StartAttempt &start) { return start.request == 1 && start.attempt == 2; };
    CHECK(std::count_if(shard.started.begin(), shard.started.end(), isSecond) == 1);
}

TEST_CASE("A request that can no longer meet its objective leaves the room to those that can", "[choice][late]")
{
    Probing probing(probedService(2));
    probing.reports = {{"b1", {1, 0, 3, 1}}, {"b2", {1, 0, 3, 1}}};
    // A first request shows how long callers wait in all.
    probing.arrive(1);
    CHECK(probing.started.size() == 1);
    SECTION("while servers have little room")
    {
        probing.reports = {{"b1", {2, 0, 3, 1}}, {"b2", {2, 0, 3, 1}}};
        probing.pass(milliseconds(40));
        probing.arriveAgain(2, milliseconds(300));
        probing.pass(AimedLatency / 4);
        CHECK(probing.started.size() == 1);
        REQUIRE(probing.refused.size() == 1);
        CHECK(probing.refused.front().problem.fate == Fate::NotRun);
        CHECK(probing.refused.front().problem.retryAfter);
        probing.arrive(3);
        CHECK(probing.started.size() == 2);
    }
    SECTION("but is served where there is room to spare")
    {
        probing.arriveAgain(2, milliseconds(300));
        CHECK(probing.started.size() == 2);
    }
    SECTION("and by an idle server, however few its slots")
    {
        probing.reports = {{"b1", {0, 0, 1, 1}}, {"b2", {0, 0, 1, 1}}};
        probing.pass(milliseconds(40));
        probing.arriveAgain(2, milliseconds(300));
        CHECK(probing.started.size() == 2);
    }
}

TEST_CASE("How long a caller has waited is told by the time that it has left", "[late]")
{
    CallerPatience patience;
    const TimePoint now(seconds(100));
    CHECK(patience.waitedBefore(now, AimedLatency, seconds(2)) == Duration(0));
    CHECK(patience.waitedBefore(now, AimedLatency, milliseconds(1400)) == milliseconds(600));
    CHECK(patience.waitedBefore(now, 2 * AimedLatency, milliseconds(1400)) == Duration(0));
    // Callers that now wait less are learnt within a minute.
    CHECK(patience.waitedBefore(now + seconds(31), AimedLatency, milliseconds(1400)) == milliseconds(600));
    CHECK(patience.waitedBefore(now + seconds(62), AimedLatency, milliseconds(1400)) == Duration(0));
}

TEST_CASE("There are no second attempts beside a server that answers probes, in a shortage or after it", "[choice][hedge][overload]")
{
    Probing shard(probedService(3));
    const LoadReport idle{0, 0, 3, 1.0};
    const LoadReport full{3, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    for (RequestId id = 100; id < 120; ++id) {
        shard.arrive(id);
        shard.handle(AttemptEnded{id, 1, AnsweredWhole{}, std::nullopt});
    }
    shard.reports = {{"b1", full}, {"b2", full}, {"b3", full}};
    shard.pass(seconds(2));
    shard.arrive(1);
    shard.pass(AimedLatency / 4);
    REQUIRE(shard.refused.size() == 1);
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    shard.started.clear();
    SECTION("a moment later")
    {
        shard.arrive(2);
        shard.pass(AimedLatency * 3 / 5);
        CHECK(shard.started.size() == 1);
    }
    SECTION("and some seconds later")
    {
        shard.pass(seconds(6));
        shard.arrive(2);
        shard.pass(AimedLatency * 3 / 5);
        CHECK(shard.started.size() == 1);
    }
}

TEST_CASE("A caller turned away by servers that tell of room comes back in time for its objective", "[choice][retry]")
{
    Probing shard(probedService(3));
    const LoadReport idle{0, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    shard.arrive(1);
    AnsweredWhole shed;
    shed.status = 503;
    shed.isNotRun = true;
    shard.handle(AttemptEnded{1, 1, shed, std::nullopt});
    shard.handle(AttemptEnded{1, 2, shed, std::nullopt});
    REQUIRE(shard.refused.size() == 1);
    CHECK(shard.refused.front().problem.fate == Fate::NotRun);
    REQUIRE(shard.refused.front().problem.retryAfter);
    CHECK(*shard.refused.front().problem.retryAfter <= AimedLatency / 8);
}

TEST_CASE("Without probes requests go by old reports while servers have room, and nowhere while they are crowded", "[choice][overload]")
{
    // One probe in ten seconds and server: nearly all requests find the allowance empty.
    Probing shard(probedService(3, 0.1));
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
    shard.pass(milliseconds(200));
    shard.started.clear();
    for (RequestId id = 2; id <= 4; ++id) {
        shard.arrive(id);
        shard.pass(milliseconds(100));
    }
    CHECK(shard.started.size() == (isCrowded ? 0 : 3));
    CHECK(shard.refused.size() == (isCrowded ? 3 : 0));
}

TEST_CASE("No attempt is begun that cannot end before the deadline", "[choice][retry]")
{
    Probing shard(probedService(3));
    const LoadReport idle{0, 0, 3, 1.0};
    shard.reports = {{"b1", idle}, {"b2", idle}, {"b3", idle}};
    // The caller's two seconds are used up but for 20 ms when the first attempt is lost.
    shard.arrive(1, KindClass::Read, 0, seconds(1));
    REQUIRE(shard.started.size() == 1);
    shard.pass(milliseconds(980));
    shard.handle(AttemptEnded{1, 1, LostAnswer{"reset", false}, std::nullopt});
    CHECK(shard.started.size() == 1);
    REQUIRE(shard.refused.size() == 1);
    CHECK(shard.refused.front().problem.fate == Fate::Unknown);
}

TEST_CASE("Whether a server has ended is asked also when choices use up all other probes", "[choice][crash]")
{
    // Requests come 80 times a second, of which choices alone would probe 400 times; 20 are allowed. An end that was asked for after 1.4 s only was known too
    // late.
    Probing probing(probedService(4, 5));
    for (const char *name : {"b1", "b2", "b3", "b4"}) {
        probing.reports[name] = {0, 0, 3, 1};
    }
    const auto load = [&probing](RequestId first) {
        for (RequestId id = first; id < first + 40; ++id) {
            probing.arrive(id);
            probing.pass(milliseconds(10));
        }
    };
    load(1);
    REQUIRE(!probing.started.empty());
    const StartAttempt lost = probing.started.back();
    probing.reports.erase(lost.backend);
    probing.handle(AttemptEnded{lost.request, lost.attempt, LostAnswer{"reset", false}, std::nullopt});
    load(100);
    CHECK(probing.endProbes >= ServerEndWatch::TurnsToEnd);
}

TEST_CASE("A request under which two servers have ended is not retried when its answer is lost", "[choice][crash]")
{
    Probing probing(probedService(4));
    for (const char *name : {"b1", "b2", "b3", "b4"}) {
        probing.reports[name] = {0, 0, 3, 1};
    }
    const RequestContent none; // Of arrivals here.
    const std::vector<ServerEnd> ends = {{none, "i-8"}, {none, "i-9"}};
    const std::size_t known = GENERATE(1, 2);
    probing.handle(CrashVerdictsChanged{std::make_shared<const CrashVerdicts>(std::span(ends).first(known), std::span<const ServerEnd>()), 1});
    probing.arrive(1);
    REQUIRE(probing.started.size() == 1);
    probing.handle(AttemptEnded{1, 1, LostAnswer{"reset", false}, std::nullopt});
    CHECK(probing.started.size() == (known == 1 ? 2 : 1));
    CHECK(probing.refused.size() == (known == 1 ? 0 : 1));
}

TEST_CASE("A request that is refused for lost answers comes back sooner than one for servers that have ended", "[choice][crash]")
{
    Probing probing(probedService(4));
    for (const char *name : {"b1", "b2", "b3", "b4"}) {
        probing.reports[name] = {0, 0, 3, 1};
    }
    const RequestContent none; // Of arrivals here.
    const std::vector<ServerEnd> servers = {{none, "i-7"}, {none, "i-8"}, {none, "i-9"}};
    const bool haveEnded = GENERATE(false, true);
    const std::span<const ServerEnd> nothing;
    const auto verdicts = haveEnded ? std::make_shared<const CrashVerdicts>(servers, nothing)
                                    : std::make_shared<const CrashVerdicts>(nothing, nothing, std::set<RequestContent>{}, servers);
    probing.handle(CrashVerdictsChanged{verdicts, 1});
    probing.arrive(1);
    REQUIRE(probing.refused.size() == 1);
    CHECK(*probing.refused.back().problem.retryAfter == (haveEnded ? ComeBackAfterCrashes : ComeBackAfterSuspicion));
}

TEST_CASE("Probes that ask whether a server has ended do not eject it again and again", "[choice][crash]")
{
    // Seen in a soak: fifteen ejections in 1.5 s, the last ones for 32 s, of a server whose link was cut for a moment.
    Probing probing(probedService(4));
    for (const char *name : {"b1", "b2", "b3", "b4"}) {
        probing.reports[name] = {0, 0, 3, 1};
    }
    probing.arrive(1);
    REQUIRE(probing.started.size() == 1);
    probing.reports.erase(probing.started.front().backend);
    probing.handle(AttemptEnded{1, 1, LostAnswer{"reset", false}, std::nullopt});
    probing.pass(seconds(3));
    CHECK(probing.endProbes >= ServerEndWatch::TurnsToEnd);
    CHECK(probing.ejections <= 1);
}

TEST_CASE("A server whose limit nobody has heard of for a while gets a request though others have just told of room", "[choice][limit]")
{
    Service service = probedService(2);
    service.place = FleetPlace{0, 1};
    Probing shard(service);
    shard.reports = {{"b1", {0, 0, 3, 1.0}}, {"b2", {1, 0, 3, 1.0}}};
    shard.pass(seconds(10));
    shard.handle(ProbeEnded{"b2", true, false, LoadReport{1, 0, 3, 1.0}, std::nullopt, LifeSign::Answered, true, {}, RequestLimit{2.7}});
    for (RequestId id = 1; id <= 300; ++id) {
        shard.arrive(id);
        shard.pass(milliseconds(5));
        shard.handle(AttemptEnded{id, 1, AnsweredWhole{200}, LoadReport{0, 0, 3, 1.0}});
        shard.pass(milliseconds(10));
    }
    // By the first ones, what it has just told of itself is fresh.
    const auto isLaterAtLimited = [](const StartAttempt &attempt) { return attempt.request > 20 && attempt.backend == "b2"; };
    const auto atLimited = std::count_if(shard.started.begin(), shard.started.end(), isLaterAtLimited);
    CHECK(atLimited >= 1);
}
