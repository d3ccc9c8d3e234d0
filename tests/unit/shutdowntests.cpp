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

    void arrive(RequestId id, KindClass kindClass = KindClass::Read)
    {
        RequestArrived arrived;
        arrived.request = id;
        arrived.kindClass = kindClass;
        arrived.deadline = Start + seconds(2);
        arrived.maxAttempts = 2;
        arrived.latencyObjective = milliseconds(200);
        handle(arrived);
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
