/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/controlshard.h"
#include "core/requests/serviceshard.h"
#include "core/shutdownsequence.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;
using Phase = ShutdownSequence::Phase;

namespace
{

constexpr Duration Notice = seconds(1);
constexpr Duration Limit = seconds(60);
constexpr TimePoint Start = TimePoint(seconds(100));

ShutdownSequence stoppingSequence()
{
    ShutdownSequence shutdown(Notice, Limit);
    shutdown.requestStop(Start);
    return shutdown;
}

template<typename Action, typename Actions>
std::vector<Action> actionsOf(const Actions &actions)
{
    std::vector<Action> found;
    for (const auto &action : actions) {
        if (const auto *typed = std::get_if<Action>(&action)) {
            found.push_back(*typed);
        }
    }
    return found;
}

/// A service whose process is about to exit.
class ExitingService
{
public:
    explicit ExitingService(const Service &service)
    {
        handle(ServiceConfigured{1, service});
    }

    /// @return the actions that the arrival causes.
    ServiceActions arrive(RequestId id, KindClass kindClass = KindClass::Read, Duration timeLeft = seconds(2))
    {
        RequestArrived arrived;
        arrived.request = id;
        arrived.kindClass = kindClass;
        arrived.deadline = now + timeLeft;
        arrived.maxAttempts = 2;
        arrived.latencyObjective = milliseconds(200);
        return handle(arrived);
    }

    /// Serves a request that takes @p time.
    void serve(RequestId id, Duration time)
    {
        const auto started = actionsOf<StartAttempt>(arrive(id, KindClass::Write, time * 2));
        REQUIRE(started.size() == 1);
        now += time;
        handle(AttemptEnded{id, 1, CompleteAnswer{}});
    }

    /// @return the actions that the event causes.
    ServiceActions handle(const ServiceEvent &event)
    {
        ServiceActions actions;
        shard_.handle(now, event, actions);
        return actions;
    }

    std::size_t openRequests() const
    {
        return shard_.openRequests();
    }

    TimePoint now = Start;

private:
    ServiceShard shard_{{"entry-1", "n"}, {"bog-a", {}}, "liquidacion", LoadReportPick{}, 1};
};

/// @return a service whose only server gets one request at a time.
Service serviceWithOneConnection()
{
    Service service = sampleService(1);
    service.limits.connectionsPerServer = 1;
    return service;
}

void checkNotExecuted(const ServiceActions &actions, RequestId id)
{
    const auto refusals = actionsOf<Refuse>(actions);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals.front().request == id);
    CHECK(refusals.front().problem.status == 503);
    CHECK(refusals.front().problem.executionStatus == ExecutionStatus::NotExecuted);
}

} // namespace

TEST_CASE("A shutdown keeps serving until the load balancer has noticed, then finishes", "[shutdown]")
{
    ShutdownSequence shutdown = stoppingSequence();
    CHECK(shutdown.advance(Start, {}) == Phase::NotReady);
    CHECK(shutdown.advance(Start + Notice, {3, 1, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + seconds(50), {0, 1, false}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + seconds(50), {0, 0, false}) == Phase::Done);
}

TEST_CASE("A request that is accepted while a shutdown stops accepting is still finished", "[shutdown]")
{
    ShutdownSequence shutdown = stoppingSequence();
    // The work is counted before connections are closed, so a request may have come since.
    CHECK(shutdown.advance(Start + Notice, {}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + milliseconds(30), {1, 0, false}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + milliseconds(60), {}) == Phase::Done);
}

TEST_CASE("A shutdown waits for requests and payouts, but not beyond its limit", "[shutdown]")
{
    ShutdownSequence shutdown = stoppingSequence();
    CHECK(shutdown.advance(Start + seconds(59), {1, 0, false}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Limit, {1, 0, false}) == Phase::Done);
}

TEST_CASE("Probe budget shares that cannot be released delay a shutdown only briefly", "[shutdown]")
{
    // Their leases expire by themselves, so a shutdown need not wait for an unavailable platform.
    ShutdownSequence shutdown = stoppingSequence();
    CHECK(shutdown.advance(Start + Notice, {0, 0, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + seconds(10), {0, 0, true}) == Phase::Done);
    CHECK(RemainingWork{0, 0, true}.isEmpty());
}

TEST_CASE("Crash reports that cannot be stored delay a shutdown only briefly", "[shutdown][crash]")
{
    // No other process has these reports, so the shutdown waits for them, but only briefly if the store is unreachable.
    ShutdownSequence shutdown = stoppingSequence();
    CHECK(shutdown.advance(Start + Notice, {0, 0, false, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + seconds(1), {0, 0, false, true}) == Phase::Finishing);
    CHECK(shutdown.advance(Start + Notice + seconds(1), {0, 0, false, false}) == Phase::Done);
    ShutdownSequence other = stoppingSequence();
    CHECK(other.advance(Start + Notice, {0, 0, false, true}) == Phase::Finishing);
    CHECK(other.advance(Start + Notice + seconds(10), {0, 0, false, true}) == Phase::Done);
}

TEST_CASE("A second stop request ends a shutdown at once", "[shutdown]")
{
    ShutdownSequence shutdown = stoppingSequence();
    shutdown.requestStop(Start + milliseconds(1));
    CHECK(shutdown.phase() == Phase::Done);
}

TEST_CASE("A process that exits first has its unsent requests refused", "[shutdown]")
{
    ControlSettings settings;
    settings.hasDirectory = true;
    ControlShard control(settings);
    ControlActions actions;
    control.handle(Start, StopRequested{}, actions);
    control.handle(Start, StopRequested{}, actions);
    control.handle(Start, ControlTick{{1, 0}}, actions);
    const auto isAt = [&actions](auto type) {
        return std::find_if(actions.begin(), actions.end(), [type](const ControlAction &action) { return std::holds_alternative<decltype(type)>(action); });
    };
    CHECK(isAt(RefuseUnsent{}) < isAt(Exit{}));
    CHECK(isAt(Exit{}) != actions.end());
}

TEST_CASE("A request that waits for a server when the process exits is refused as not executed", "[shutdown]")
{
    SECTION("in the queue")
    {
        ExitingService service(serviceWithOneConnection());
        service.arrive(1);
        service.arrive(2);
        checkNotExecuted(service.handle(ProcessExiting{}), 2);
        CHECK(service.openRequests() == 1);
    }
    SECTION("while servers are probed")
    {
        ExitingService service(probedSampleService(2, 3, 100));
        service.arrive(1, KindClass::Write);
        checkNotExecuted(service.handle(ProcessExiting{}), 1);
    }
    SECTION("when it arrives later")
    {
        ExitingService service(sampleService());
        service.handle(ProcessExiting{});
        RequestArrived arrived;
        arrived.request = 1;
        arrived.deadline = Start + seconds(2);
        checkNotExecuted(service.handle(arrived), 1);
    }
}

TEST_CASE("An attempt that was not sent when the process exits is not repeated, and its request refused as not executed", "[shutdown]")
{
    ExitingService service(sampleService());
    service.arrive(1, KindClass::Write);
    CHECK(service.handle(ProcessExiting{}).empty());
    const ServiceActions actions = service.handle(AttemptEnded{1, 1, NotSent{"shutting down"}, std::nullopt});
    CHECK(actionsOf<StartAttempt>(actions).empty());
    checkNotExecuted(actions, 1);
}

TEST_CASE("A request whose earlier attempt may have been executed is never refused as not executed when the process exits", "[shutdown]")
{
    ExitingService service(serviceWithOneConnection());
    service.arrive(1);
    service.arrive(2);
    // The slot goes to the other request, so the retry waits.
    service.handle(AttemptEnded{1, 1, LostAnswer{"reset", false}, std::nullopt});
    const auto refusals = actionsOf<Refuse>(service.handle(ProcessExiting{}));
    REQUIRE(refusals.size() == 1);
    CHECK(refusals.front().request == 1);
    CHECK(refusals.front().problem.status == 502);
    CHECK(refusals.front().problem.executionStatus == ExecutionStatus::Unknown);
}

TEST_CASE("Attempts and probes that a process aborts at its exit count as no fault of their servers", "[shutdown][crash]")
{
    ExitingService service(probedSampleService(2, 3, 100));
    for (const RequestId id : {1, 2}) {
        service.arrive(id, KindClass::Write);
        service.handle(ProbeEnded{"b1", true, false, LoadReport{0, 0, 3, 1.0}, id});
    }
    // The server is suspected, and probes would show whether it has crashed.
    REQUIRE(actionsOf<ReportServerSuspected>(service.handle(AttemptEnded{1, 1, LostAnswer{"reset", false}, std::nullopt})).size() == 1);
    service.handle(ProcessExiting{});
    CHECK(service.handle(AttemptEnded{2, 1, LostAnswer{"aborted", false}, std::nullopt}).empty());
    for (int probe = 0; probe < 5; ++probe) {
        service.now += milliseconds(200);
        CHECK(service.handle(ProbeEnded{"b1", false, false, std::nullopt, std::nullopt, ServerLiveness::Unresponsive, true}).empty());
        CHECK(service.handle(Tick{}).empty());
    }
}

// Guards against payouts that are sent late in the grace period and cut off, with an unknown outcome, when the process exits.
TEST_CASE("A request that may not finish before the process exits is refused as not executed", "[shutdown][late]")
{
    ExitingService service(serviceWithOneConnection());
    constexpr Duration Usual = seconds(4);
    constexpr Duration Grace = milliseconds(5500);
    service.serve(1, Usual);
    service.serve(2, milliseconds(500));
    const TimePoint exitAt = service.now + Grace;
    service.handle(ExitScheduled{exitAt});
    SECTION("on arrival")
    {
        service.now += milliseconds(600);
        checkNotExecuted(service.arrive(3, KindClass::Write, seconds(10)), 3);
        CHECK(service.openRequests() == 0);
    }
    SECTION("when it has waited too long for a server")
    {
        CHECK(actionsOf<StartAttempt>(service.arrive(3, KindClass::Write, seconds(10))).size() == 1);
        CHECK(actionsOf<Refuse>(service.arrive(4, KindClass::Write, seconds(10))).empty());
        CHECK(service.handle(Tick{}).empty());
        service.now += milliseconds(600);
        checkNotExecuted(service.handle(Tick{}), 4);
        // The other one is at its server and has the whole time that is left.
        CHECK(service.openRequests() == 1);
        service.now = exitAt;
        CHECK(actionsOf<Refuse>(service.handle(Tick{})).empty());
    }
    SECTION("rather than sent again")
    {
        const auto started = actionsOf<StartAttempt>(service.arrive(3, KindClass::Read, seconds(10)));
        REQUIRE(started.size() == 1);
        service.now += seconds(2);
        const ServiceActions actions = service.handle(AttemptEnded{3, 1, NotSent{"refused"}});
        CHECK(actionsOf<StartAttempt>(actions).empty());
        checkNotExecuted(actions, 3);
    }
}

TEST_CASE("A request that finishes before the process exits is served while it shuts down", "[shutdown][late]")
{
    ExitingService service(sampleService());
    service.serve(1, milliseconds(800));
    service.handle(ExitScheduled{service.now + seconds(5)});
    SECTION("by what similar requests have taken")
    {
        service.now += milliseconds(3900);
        CHECK(actionsOf<StartAttempt>(service.arrive(2, KindClass::Write, seconds(10))).size() == 1);
        service.now += milliseconds(200);
        checkNotExecuted(service.arrive(3, KindClass::Write, seconds(10)), 3);
    }
    SECTION("by its deadline")
    {
        service.now += milliseconds(4500);
        CHECK(actionsOf<StartAttempt>(service.arrive(2, KindClass::Write, milliseconds(500))).size() == 1);
    }
    SECTION("but not if nothing is known of similar requests")
    {
        service.now += LongestResponses::Window * 2;
        service.handle(ExitScheduled{service.now + seconds(5)});
        checkNotExecuted(service.arrive(2, KindClass::Write, seconds(10)), 2);
    }
}

TEST_CASE("A stop request tells the services when the process exits at the latest", "[shutdown][late]")
{
    ControlSettings settings;
    settings.hasDirectory = true;
    settings.shutdownLimit = Limit;
    ControlShard control(settings);
    ControlActions actions;
    control.handle(Start, StopRequested{}, actions);
    const auto scheduled = actionsOf<ScheduleExit>(actions);
    REQUIRE(scheduled.size() == 1);
    CHECK(scheduled.front().at == Start + Limit);
}

TEST_CASE("The longest recent response is remembered for a window at least and for two at most", "[shutdown][late]")
{
    LongestResponses responses;
    const Duration objective = milliseconds(200);
    CHECK_FALSE(responses.longest(Start, objective));
    responses.record(Start, objective, seconds(3));
    responses.record(Start + seconds(1), objective, seconds(1));
    responses.record(Start + seconds(1), milliseconds(900), seconds(9));
    CHECK(responses.longest(Start + seconds(2), objective) == seconds(3));
    const TimePoint next = Start + LongestResponses::Window;
    responses.record(next, objective, seconds(2));
    CHECK(responses.longest(next, objective) == seconds(3));
    CHECK(responses.longest(next + LongestResponses::Window, objective) == seconds(2));
    CHECK_FALSE(responses.longest(next + LongestResponses::Window * 2, objective));
}
