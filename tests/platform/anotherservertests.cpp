/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"
#include "names.h"
#include "platformprotocol.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

// Guards against entry VMs that withdraw a crash because a new server answers at the address of the crashed one. A crashed server may be back at its former
// address under another id within 1.3 s. It answers 421 to requests in flight to the former server, which says that another server answered. Taken as a sign of
// life of the former server, this answer unblocks the request that crashed it, and the request then crashes more servers: six, half a second after five of six
// entry VMs had blocked it (soak seed 88102).

namespace
{

const RequestFingerprint PoisonRequest = {"fatal", "caller-9"};

/// A service shard with backend servers that can crash and be followed by others at their addresses.
class ShardFixture
{
public:
    ShardFixture()
    {
        Service service;
        service.name = "reclamos";
        service.choiceProbes = {100, "/health"};
        for (const char *name : {"i-1", "i-2"}) {
            service.backendServers.push_back({name, "127.0.0.1:9000", "bog-a", {}, 3});
        }
        handle(ServiceConfigured{1, service});
    }

    /// @return the attempt of a new request.
    StartAttempt send(const RequestFingerprint &fingerprint = {"usual", "caller-1"})
    {
        RequestArrived arrived;
        arrived.request = ++lastRequest_;
        arrived.kindClass = KindClass::Write;
        arrived.deadline = now + seconds(4);
        arrived.maxAttempts = 1;
        arrived.latencyObjective = milliseconds(200);
        arrived.fingerprint = fingerprint;
        handle(arrived);
        REQUIRE(started);
        return *std::exchange(started, std::nullopt);
    }

    void finish(const StartAttempt &attempt, const AttemptOutcome &outcome, const std::optional<LoadReport> &report = std::nullopt)
    {
        handle(AttemptEnded{attempt.request, attempt.attempt, outcome, report, milliseconds(700)});
    }

    /// @return the outcome when the new server at the address answers a request that was meant for the former one.
    static AttemptOutcome answerOfNewServer()
    {
        HttpAnswer answer;
        answer.status = 421;
        answer.headers = {{Platform::InstanceHeader, "i-3"}};
        return Platform::PlatformProtocol().interpretAnswer(answer);
    }

    void advance(Duration duration)
    {
        for (const TimePoint until = now + duration; now < until;) {
            now += milliseconds(10);
            handle(Tick{});
        }
    }

    const ServiceShard &shard() const
    {
        return shard_;
    }

    TimePoint now = TimePoint(seconds(50));
    std::optional<StartAttempt> started;
    std::string crashedServer; ///< Name of the server that rejects probes.
    int reportedCrashes = 0;
    int reportedRecoveries = 0;

private:
    void handle(const ServiceEvent &event)
    {
        ServiceActions actions;
        shard_.handle(now, event, actions);
        for (const ServiceAction &action : actions) {
            execute(action);
        }
    }

    void execute(const ServiceAction &action)
    {
        if (const auto *probe = std::get_if<StartProbe>(&action)) {
            const bool isUp = probe->backend != crashedServer;
            const auto report = isUp ? std::optional(LoadReport{0, 0, 3, 1.0}) : std::nullopt;
            handle(ProbeEnded{
                probe->backend, isUp, false, report, probe->request, isUp ? ServerLiveness::Answered : ServerLiveness::Rejected, probe->isStatusCheck});
        } else if (const auto *start = std::get_if<StartAttempt>(&action)) {
            started = *start;
        } else if (std::holds_alternative<ReportServerCrash>(action)) {
            ++reportedCrashes;
        } else if (std::holds_alternative<ReportServerRecovered>(action)) {
            ++reportedRecoveries;
        }
    }

    RequestId lastRequest_ = 0;
    ServiceShard shard_{{"entry-1", "p"}, {"bog-a", "bogota"}, "reclamos", LoadReportPick{}, 7};
};

} // namespace

TEST_CASE("An answer of a new server at the same address does not show that the crashed one is alive", "[platform][crash]")
{
    ShardFixture service;
    const StartAttempt poison = service.send(PoisonRequest);
    StartAttempt other = service.send();
    while (other.backend != poison.backend) {
        other = service.send();
    }
    service.crashedServer = poison.backend;
    service.finish(poison, LostAnswer{"reset"});
    SECTION("when it arrives after the crash was detected")
    {
        service.advance(milliseconds(1200));
        REQUIRE(service.reportedCrashes == 1);
        service.finish(other, ShardFixture::answerOfNewServer());
        CHECK(service.reportedRecoveries == 0);
    }
    SECTION("when it arrives before and must not stop the detection")
    {
        service.advance(milliseconds(60));
        service.finish(other, ShardFixture::answerOfNewServer());
        service.advance(milliseconds(1000));
        CHECK(service.reportedCrashes == 1);
        CHECK(service.reportedRecoveries == 0);
    }
}

TEST_CASE("The load of another server is not attributed to the server that the attempt was meant for", "[platform][crash]")
{
    ShardFixture service;
    const StartAttempt attempt = service.send();
    const LoadReport before = *service.shard().pool().find(attempt.backend)->report;
    service.finish(attempt, ShardFixture::answerOfNewServer(), LoadReport{9, 9, 9, 9.0});
    const Backend *addressed = service.shard().pool().find(attempt.backend);
    CHECK(addressed->report == before);
    CHECK(addressed->warmAt < service.now);
    CHECK(addressed->isLeaving);
}
