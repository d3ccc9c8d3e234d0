/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Cloverbarrow;

namespace
{

constexpr Duration LatencyObjective = milliseconds(200);

/// A shard with one server in each of two zones; the servers report free capacity in probe answers.
class TwoZones
{
public:
    explicit TwoZones(double probesPerSecond = 100)
    {
        service_.name = "reclamos";
        service_.echoesExchangeTag = true;
        service_.choiceProbes = {probesPerSecond, "/health"};
        service_.retry.budgetPercent = 100;
        service_.retry.budgetAtStart = 3;
        service_.retry.hedgesFromBudget = true;
        service_.backendServers.push_back({"near", "127.0.0.1:9001", "bog-a", {}, 2});
        service_.backendServers.push_back({"far", "127.0.0.1:9002", "bog-b", {}, 2});
        evacuate({});
    }

    void evacuate(std::vector<std::string> zones)
    {
        service_.evacuatedZones = std::move(zones);
        handle(ServiceConfigured{++version_, service_});
    }

    void arrive(RequestId id, KindClass kindClass = KindClass::Read)
    {
        RequestArrived arrived;
        arrived.request = id;
        arrived.kindClass = kindClass;
        arrived.callerTimeLeft = seconds(2);
        arrived.deadline = now_ + seconds(2);
        arrived.maxAttempts = 2;
        arrived.latencyObjective = LatencyObjective;
        handle(arrived);
    }

    void handle(const ServiceEvent &event)
    {
        ServiceActions actions;
        shard_.handle(now_, event, actions);
        for (const ServiceAction &action : actions) {
            perform(action);
        }
    }

    void advance(Duration duration)
    {
        for (const TimePoint until = now_ + duration; now_ < until;) {
            now_ += milliseconds(5);
            handle(Tick{});
        }
    }

    bool answersProbes = true;
    LoadReport report{0, 0, 2, 1.0};
    std::vector<StartAttempt> started;
    std::vector<Refuse> refused;
    std::vector<CancelAttempt> cancelled;
    std::set<std::string> probed;

private:
    void perform(const ServiceAction &action)
    {
        if (const auto *probe = std::get_if<StartProbe>(&action)) {
            probed.insert(probe->backend);
            if (answersProbes) {
                handle(ProbeEnded{probe->backend, true, false, report, probe->request});
            }
        } else if (const auto *start = std::get_if<StartAttempt>(&action)) {
            started.push_back(*start);
        } else if (const auto *refuse = std::get_if<Refuse>(&action)) {
            refused.push_back(*refuse);
        } else if (const auto *cancel = std::get_if<CancelAttempt>(&action)) {
            cancelled.push_back(*cancel);
        }
    }

    TimePoint now_ = TimePoint(seconds(50));
    Service service_;
    std::int64_t version_ = 0;
    ServiceShard shard_{{"entry-1", "p"}, {"bog-a", "bogota"}, "reclamos", LoadReportPick{}, 7};
};

} // namespace

TEST_CASE("No request is sent to an evacuated zone, and its servers are not probed for requests", "[evacuation][choice]")
{
    TwoZones zones;
    zones.evacuate({"bog-a"});
    for (RequestId id = 1; id <= 10; ++id) {
        zones.arrive(id);
        zones.advance(milliseconds(100));
        zones.handle(AttemptEnded{id, 1, CompleteAnswer{}, zones.report});
    }
    CHECK(zones.started.size() == 10);
    CHECK(std::all_of(zones.started.begin(), zones.started.end(), [](const StartAttempt &start) { return start.backend == "far"; }));
    CHECK(zones.probed == std::set<std::string>{"far"});
    SECTION("until the evacuation ends")
    {
        zones.evacuate({});
        zones.advance(milliseconds(100));
        zones.arrive(11);
        CHECK(zones.started.back().backend == "near");
    }
}

TEST_CASE("Without probes no request is sent to an evacuated zone either", "[evacuation]")
{
    TwoZones zones(0);
    zones.evacuate({"bog-a"});
    zones.arrive(1);
    zones.arrive(2);
    REQUIRE(zones.started.size() == 2);
    CHECK(zones.started[0].backend == "far");
    CHECK(zones.started[1].backend == "far");
}

TEST_CASE("A request in flight in a zone that is evacuated is not cancelled, and its retry goes to another zone", "[evacuation][retry]")
{
    TwoZones zones;
    zones.arrive(1);
    REQUIRE(zones.started.size() == 1);
    REQUIRE(zones.started.back().backend == "near");
    zones.evacuate({"bog-a"});
    zones.advance(milliseconds(100));
    CHECK(zones.cancelled.empty());
    CompleteAnswer notExecuted;
    notExecuted.status = 503;
    notExecuted.isNotExecuted = true;
    zones.handle(AttemptEnded{1, 1, notExecuted, std::nullopt});
    REQUIRE(zones.started.size() == 2);
    CHECK(zones.started.back().backend == "far");
}

TEST_CASE("A read whose server is unresponsive gets no second attempt in an evacuated zone", "[evacuation][hedge]")
{
    TwoZones zones;
    zones.evacuate({"bog-a"});
    zones.arrive(1);
    REQUIRE(zones.started.size() == 1);
    zones.answersProbes = false;
    zones.advance(seconds(1));
    CHECK(zones.started.size() == 1);
}

TEST_CASE("With all zones evacuated requests are rejected at once, including waiting ones", "[evacuation][overload]")
{
    TwoZones zones;
    zones.report = {2, 1, 2, 1.0};
    zones.arrive(1);
    REQUIRE(zones.started.empty());
    REQUIRE(zones.refused.empty());
    zones.evacuate({"bog-a", "bog-b"});
    zones.arrive(2);
    REQUIRE(zones.refused.size() == 1);
    CHECK(zones.refused.back().request == 2);
    CHECK(zones.refused.back().problem.status == 503);
    CHECK(zones.refused.back().problem.executionStatus == ExecutionStatus::NotExecuted);
    zones.advance(milliseconds(5));
    REQUIRE(zones.refused.size() == 2);
    CHECK(zones.refused.back().request == 1);
    CHECK(zones.refused.back().problem.executionStatus == ExecutionStatus::NotExecuted);
    CHECK(zones.refused.back().problem.retryAfter);
    CHECK(zones.started.empty());
}

TEST_CASE("An entry VM of an evacuated zone uses as many servers of other zones as its peers", "[evacuation][subset]")
{
    constexpr int ServersPerZone = 40;
    Service service;
    service.name = "reclamos";
    service.choiceProbes = {100, "/health"};
    for (int number = 0; number < 2 * ServersPerZone; ++number) {
        const std::string zone = number < ServersPerZone ? "bog-a" : "bog-b";
        service.backendServers.push_back({"b" + std::to_string(number), "127.0.0.1:" + std::to_string(9000 + number), zone, {}, 2});
    }
    service.evacuatedZones = {"bog-a"};
    ServiceShard shard({"entry-1", "p"}, {"bog-a", "bogota"}, "reclamos", LoadReportPick{}, 7);
    TimePoint now(seconds(50));
    ServiceActions actions;
    shard.handle(now, ServiceConfigured{1, service}, actions);
    std::set<std::string> probed;
    for (RequestId id = 1; id <= 100; ++id) {
        actions.clear();
        RequestArrived arrived;
        arrived.request = id;
        arrived.deadline = now + seconds(2);
        arrived.callerTimeLeft = seconds(2);
        arrived.maxAttempts = 1;
        arrived.latencyObjective = LatencyObjective;
        shard.handle(now, arrived, actions);
        for (const ServiceAction &action : actions) {
            if (const auto *probe = std::get_if<StartProbe>(&action)) {
                probed.insert(probe->backend);
            }
        }
        now += milliseconds(100);
        shard.handle(now, CallerGone{id}, actions);
    }
    CHECK(probed.size() == 12);
}
