/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/answeredcontents.h"
#include "core/crashes/crashledger.h"
#include "core/crashes/serverendwatch.h"
#include "core/directory/crashreportwriter.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

const TimePoint Start = TimePoint(seconds(100));
const RequestContent PoisonRequest = {"fatal", "caller-1"};
const RequestContent HarmlessRequest = {"usual", "caller-1"};

/// @return the update with number @p number from a process of a peer.
CrashNews updateFrom(const NamedCrashReport &named, std::uint64_t number = 1)
{
    return {named.entryVm, "process", number, named.report, {}};
}

/// Probes the server every 120 ms for one second. @return when its crash was detected, if it was.
std::optional<Duration> timeToDetect(ServerEndWatch &detector, LifeSign liveness)
{
    for (Duration passed = milliseconds(0); passed < seconds(1); passed += ServerEndWatch::ProbePause) {
        if (!detector.seen(Start + passed, "i-1", liveness).endedUnder.empty()) {
            return passed;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("A server is considered crashed when it rejects several probes in a row after an answer was lost", "[crash]")
{
    ServerEndWatch detector;
    detector.lost(Start, "i-1", PoisonRequest);
    SECTION("if it rejects each of them")
    {
        const auto detectedAfter = timeToDetect(detector, LifeSign::TurnedAway);
        REQUIRE(detectedAfter);
        CHECK(*detectedAfter < milliseconds(500));
    }
    SECTION("not if it is unresponsive, as when this entry VM is disconnected from it")
    {
        CHECK(!timeToDetect(detector, LifeSign::Silent));
    }
    SECTION("not if it answers in between, as an overloaded server does")
    {
        detector.seen(Start + milliseconds(120), "i-1", LifeSign::TurnedAway);
        detector.seen(Start + milliseconds(240), "i-1", LifeSign::Answered);
        CHECK(!timeToDetect(detector, LifeSign::TurnedAway));
    }
    SECTION("not if many probes are rejected at the same moment")
    {
        for (int probe = 0; probe < 10; ++probe) {
            CHECK(detector.seen(Start + milliseconds(60), "i-1", LifeSign::TurnedAway).endedUnder.empty());
        }
    }
    SECTION("also if its directory entry is removed while it is unresponsive")
    {
        std::vector<RequestContent> fingerprints;
        const auto note = [&fingerprints](const std::string &, const ServerEndWatch::Found &finding) { fingerprints = finding.endedUnder; };
        detector.configured(Start + seconds(4), std::vector<std::string>{"i-1"}, note);
        CHECK(fingerprints.empty());
        detector.configured(Start + seconds(5), std::vector<std::string>{"i-2"}, note);
        CHECK(fingerprints == std::vector{PoisonRequest});
    }
}

TEST_CASE("The first probe after a lost answer waits for the settle time, and a crash is detected within 0.3 s", "[crash]")
{
    // Guards against a first probe that is sent at once: its answer arrives before the settle time and is ignored, so each crash is detected 0.12 s later.
    ServerEndWatch detector;
    detector.lost(Start, "i-1", PoisonRequest);
    std::optional<Duration> detectedAfter;
    for (Duration passed(0); passed < seconds(1) && !detectedAfter; passed += milliseconds(10)) {
        for (const std::string &server : detector.due(Start + passed)) {
            const TimePoint answered = Start + passed + milliseconds(2);
            if (!detector.seen(answered, server, LifeSign::TurnedAway).endedUnder.empty()) {
                detectedAfter = passed;
            }
        }
    }
    REQUIRE(detectedAfter);
    CHECK(*detectedAfter <= milliseconds(300));
}

TEST_CASE("A server that answers again soon is not considered crashed", "[crash]")
{
    ServerEndWatch detector;
    detector.lost(Start, "i-1", PoisonRequest);
    REQUIRE(timeToDetect(detector, LifeSign::TurnedAway));
    CHECK(detector.seen(Start + milliseconds(900), "i-1", LifeSign::Answered).isHeardAgain);
}

TEST_CASE("A server that restarts under its id after some seconds stays considered crashed", "[crash]")
{
    ServerEndWatch detector;
    detector.lost(Start, "i-1", PoisonRequest);
    REQUIRE(timeToDetect(detector, LifeSign::TurnedAway));
    CHECK_FALSE(detector.seen(Start + seconds(2), "i-1", LifeSign::Answered).isHeardAgain);
}

TEST_CASE("After a lost answer an unlisted server is considered crashed, and a leaving one only when it rejects probes", "[crash]")
{
    ServerEndWatch detector;
    const auto none = [](const std::string &, const ServerEndWatch::Found &) { FAIL("the removal of a leaving server was taken for a crash"); };
    detector.lost(Start, "i-1", PoisonRequest, ServerEndWatch::Standing::Leaving);
    detector.configured(Start + seconds(3), std::vector<std::string>{}, none);
    CHECK(timeToDetect(detector, LifeSign::TurnedAway));
    CHECK(detector.lost(Start, "i-2", HarmlessRequest, ServerEndWatch::Standing::Unlisted).endedUnder == std::vector{HarmlessRequest});
}

TEST_CASE("A request that was answered recently is not the cause of crashes, and one answered long ago may be", "[crash]")
{
    AnsweredContents answered;
    answered.add(Start, HarmlessRequest);
    CHECK(answered.has(Start + seconds(20), HarmlessRequest));
    CHECK_FALSE(answered.has(Start + seconds(20), PoisonRequest));
    CHECK_FALSE(answered.has(Start + seconds(40), HarmlessRequest));
    for (std::size_t number = 0; number < AnsweredContents::MostKept; ++number) {
        answered.add(Start, {std::to_string(number), "caller"});
    }
    CHECK_FALSE(answered.has(Start + seconds(20), HarmlessRequest));
}

TEST_CASE("A suspension of the entry VM between two probes makes no server count as crashed", "[crash][suspension]")
{
    ServerEndWatch detector;
    detector.lost(Start, "i-1", PoisonRequest);
    detector.seen(Start + milliseconds(120), "i-1", LifeSign::TurnedAway);
    // The clock includes the suspension, and observations from before it do not show the state after it.
    const TimePoint resumed = Start + seconds(20);
    CHECK(detector.due(resumed).empty());
    CHECK(detector.seen(resumed, "i-1", LifeSign::TurnedAway).endedUnder.empty());
    CHECK(detector.seen(resumed, "i-1", LifeSign::TurnedAway).endedUnder.empty());
}

TEST_CASE("A request is blocked after it has crashed three servers, whichever entry VMs observed the crashes", "[crash]")
{
    CrashLedger tracker("entry-1");
    tracker.ended(Start, PoisonRequest, "i-1");
    tracker.told(Start, {{"entry-2", {{{PoisonRequest, "i-2"}, {HarmlessRequest, "i-2"}}, {}}}});
    CHECK_FALSE(tracker.takeVerdicts()->refuses(PoisonRequest));
    SECTION("after the report of a third entry VM")
    {
        tracker.told(Start, {{"entry-2", {{{PoisonRequest, "i-2"}, {HarmlessRequest, "i-2"}}, {}}}, {"entry-3", {{{PoisonRequest, "i-3"}}, {}}}});
        const auto blocklist = tracker.takeVerdicts();
        CHECK(blocklist->refuses(PoisonRequest));
        CHECK_FALSE(blocklist->refuses(HarmlessRequest));
        CHECK_FALSE(blocklist->refuses({"fatal", "caller-2"}));
    }
    SECTION("not after another report of the same crash")
    {
        tracker.told(Start, {{"entry-2", {{{PoisonRequest, "i-2"}}, {}}}, {"entry-3", {{{PoisonRequest, "i-1"}}, {}}}});
        const auto blocklist = tracker.takeVerdicts();
        CHECK((!blocklist || !blocklist->refuses(PoisonRequest)));
    }
    SECTION("for all callers, after it crashed servers for three of them")
    {
        tracker.ended(Start, {"fatal", "caller-2"}, "i-3");
        CHECK_FALSE(tracker.takeVerdicts()->refuses({"fatal", "caller-4"}));
        tracker.ended(Start, {"fatal", "caller-3"}, "i-4");
        CHECK(tracker.takeVerdicts()->refuses({"fatal", "caller-4"}));
    }
}

TEST_CASE("A crash is reported if it is not the first of its request, or if the request is not answered soon", "[crash]")
{
    CrashLedger tracker("entry-1");
    tracker.told(Start, {});
    tracker.takeReport();
    tracker.ended(Start, HarmlessRequest, "i-1");
    tracker.tick(Start + milliseconds(30));
    CHECK_FALSE(tracker.takeReport());
    SECTION("not if it was answered")
    {
        tracker.answered(Start + milliseconds(200), HarmlessRequest);
        tracker.tick(Start + seconds(5));
        CHECK_FALSE(tracker.takeReport());
    }
    SECTION("after the delay")
    {
        tracker.tick(Start + CrashLedger::FirstEndDelay);
        CHECK(tracker.takeReport()->ends == std::vector{ServerEnd{HarmlessRequest, "i-1"}});
    }
    SECTION("at once, together with the second")
    {
        tracker.ended(Start + milliseconds(60), HarmlessRequest, "i-2");
        tracker.tick(Start + milliseconds(60));
        CHECK(tracker.takeReport()->ends.size() == 2);
    }
}

TEST_CASE("An answer exonerates a request from earlier crashes, at all entry VMs", "[crash]")
{
    CrashLedger tracker("entry-1");
    const NamedCrashReport peerReport{"entry-2", {{{HarmlessRequest, "i-1"}, {HarmlessRequest, "i-2"}, {HarmlessRequest, "i-3"}}, {}}};
    tracker.told(Start, {peerReport});
    REQUIRE(tracker.takeVerdicts()->refuses(HarmlessRequest));
    SECTION("that was observed locally")
    {
        tracker.answered(Start, HarmlessRequest);
        CHECK(tracker.takeReport()->excused.size() == 3);
    }
    SECTION("that a peer reports")
    {
        tracker.told(Start, {peerReport, {"entry-3", {{}, peerReport.report.ends}}});
    }
    CHECK_FALSE(tracker.takeVerdicts()->refuses(HarmlessRequest));
}

TEST_CASE("A crash that a peer has exonerated in a direct update is not written to the store", "[crash]")
{
    CrashLedger tracker("entry-1", "1");
    tracker.told(Start, {});
    tracker.ended(Start, HarmlessRequest, "i-1");
    tracker.ended(Start, HarmlessRequest, "i-2");
    const CrashNews exoneration{"entry-2", "1", 1, {{}, {{HarmlessRequest, "i-1"}, {HarmlessRequest, "i-2"}}}, {}};
    SECTION("if the exoneration arrives before the report")
    {
        tracker.heard(Start, exoneration);
        tracker.tick(Start + CrashLedger::FirstEndDelay);
        const auto report = tracker.takeReport();
        CHECK((!report || report->ends.empty()));
    }
    SECTION("and is withdrawn if the exoneration arrives after the report")
    {
        tracker.tick(Start + CrashLedger::FirstEndDelay);
        REQUIRE(tracker.takeReport()->ends.size() == 2);
        tracker.heard(Start + seconds(1), exoneration);
        CHECK(tracker.takeReport()->ends.empty());
    }
    SECTION("while other crashes still are")
    {
        tracker.heard(Start, exoneration);
        tracker.ended(Start, {"another", "caller-1"}, "i-1");
        tracker.tick(Start + CrashLedger::FirstEndDelay);
        CHECK(tracker.takeReport()->ends == std::vector{ServerEnd{{"another", "caller-1"}, "i-1"}});
    }
}

TEST_CASE("After an exoneration further crashes of the request are tolerated for a limited time", "[crash]")
{
    CrashLedger tracker("entry-1");
    tracker.told(Start, {{"entry-2", {{{HarmlessRequest, "i-1"}}, {}}}, {"entry-3", {{}, {{HarmlessRequest, "i-1"}}}}});
    const NamedCrashReport later{"entry-2", {{{HarmlessRequest, "i-1"}, {HarmlessRequest, "i-2"}, {HarmlessRequest, "i-3"}, {HarmlessRequest, "i-4"}}, {}}};
    tracker.told(Start + seconds(1), {later, {"entry-3", {{}, {{HarmlessRequest, "i-1"}}}}});
    const auto blocklist = tracker.takeVerdicts();
    CHECK_FALSE(blocklist->refuses(HarmlessRequest));
    CHECK(blocklist->isSuspect(HarmlessRequest));
    tracker.tick(Start + CrashLedger::ExcuseLifetime + seconds(10));
    CHECK(tracker.takeVerdicts()->refuses(HarmlessRequest));
}

TEST_CASE("A restarted process adopts the report of its predecessor", "[crash]")
{
    CrashLedger tracker("entry-1");
    tracker.ended(Start, HarmlessRequest, "i-9");
    CHECK_FALSE(tracker.takeReport());
    tracker.told(Start, {{"entry-1", {{{PoisonRequest, "i-1"}, {PoisonRequest, "i-2"}, {PoisonRequest, "i-3"}}, {}}}});
    CHECK(tracker.takeVerdicts()->refuses(PoisonRequest));
    CHECK(tracker.takeReport()->ends.size() == 3);
    SECTION("but not crashes that it has withdrawn itself")
    {
        tracker.heardAgain(Start, "i-1");
        tracker.told(Start, {{"entry-1", {{{PoisonRequest, "i-1"}, {PoisonRequest, "i-2"}, {PoisonRequest, "i-3"}}, {}}}});
        CHECK_FALSE(tracker.takeVerdicts()->refuses(PoisonRequest));
    }
}

TEST_CASE("A report that a former process writes after its successor has started is adopted, not overwritten", "[crash]")
{
    // Guards against a lost report: a stopping process writes three crashes once the store is reachable again, and its successor under the same name,
    // which read the store before that and has no crashes, replaces them by its empty report.
    CrashLedger tracker("entry-1");
    tracker.told(Start, {});
    tracker.takeReport();
    tracker.told(Start + seconds(1), {{"entry-1", {{{PoisonRequest, "i-1"}, {PoisonRequest, "i-2"}, {PoisonRequest, "i-3"}}, {}}}});
    CHECK(tracker.takeVerdicts()->refuses(PoisonRequest));
    CHECK(tracker.takeReport()->ends.size() == 3);

    CrashReportWriter writer;
    Random random(1);
    const CrashReport formerReport{{{PoisonRequest, "i-1"}}, {}};
    const CrashReport localReport{{{HarmlessRequest, "i-2"}}, {}};
    const auto writes = [&writer](Duration after) {
        DirectoryActions actions;
        writer.tick(Start + after, actions);
        return actions.size();
    };
    writer.found(Start, 0, {});
    writer.want(1, localReport);
    REQUIRE(writes(seconds(0)) == 1);
    writer.written(Start, {7, formerReport, false}, random);
    CHECK(writes(seconds(5)) == 0);
    writer.found(Start + seconds(5), 7, formerReport);
    CHECK(writes(milliseconds(5010)) == 0);
    writer.want(2, {{{PoisonRequest, "i-1"}, {HarmlessRequest, "i-2"}}, {}});
    CHECK(writes(milliseconds(5110)) == 1);
}

TEST_CASE("A relay reports crashes on behalf of a peer that does not write them to the store itself", "[crash]")
{
    CrashLedger relay("entry-1");
    relay.told(Start, {});
    relay.takeReport();
    const NamedCrashReport peerReport{"entry-2", {{{PoisonRequest, "i-1"}, {PoisonRequest, "i-2"}, {PoisonRequest, "i-3"}}, {}}};
    relay.setWitness(true);
    relay.heard(Start, updateFrom(peerReport));
    CHECK(relay.takeVerdicts()->refuses(PoisonRequest));
    SECTION("but not if the peer has written them")
    {
        relay.told(Start + seconds(1), {peerReport});
        relay.tick(Start + seconds(5));
        CHECK_FALSE(relay.takeReport());
    }
    SECTION("but not those that the peer has withdrawn since")
    {
        relay.heard(Start + seconds(1), updateFrom({"entry-2", {}}, 2));
        relay.tick(Start + seconds(5));
        CHECK_FALSE(relay.takeVerdicts()->refuses(PoisonRequest));
    }
    SECTION("as part of its own report")
    {
        relay.tick(Start + CrashLedger::WitnessDelay);
        CHECK(relay.takeReport()->ends.size() == 3);
        CHECK(relay.takeVerdicts() == nullptr);
    }
}

TEST_CASE("Crashes expire, and their number is limited", "[crash]")
{
    CrashLedger tracker("entry-1");
    tracker.told(Start, {{"entry-2", {{{PoisonRequest, "i-1"}, {PoisonRequest, "i-2"}}, {}}}});
    tracker.ended(Start, PoisonRequest, "i-3");
    REQUIRE(tracker.takeVerdicts()->refuses(PoisonRequest));
    tracker.tick(Start + CrashLedger::EndLifetime + seconds(1));
    CHECK_FALSE(tracker.takeVerdicts()->refuses(PoisonRequest));
    tracker.takeReport();
    for (std::size_t number = 0; number < 2 * CrashLedger::MostKept; ++number) {
        tracker.ended(Start + seconds(4000), {"content-" + std::to_string(number), "caller"}, "i-1");
    }
    tracker.tick(Start + seconds(4001));
    CHECK(tracker.takeReport()->ends.size() == CrashLedger::MostKept);
}
