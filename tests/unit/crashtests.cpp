/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/answeredrequestcache.h"
#include "core/crashes/crashdetector.h"
#include "core/crashes/poisonrequesttracker.h"
#include "core/directory/crashreportwriter.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

const TimePoint Start = TimePoint(seconds(100));
const RequestFingerprint PoisonRequest = {"fatal", "caller-1"};
const RequestFingerprint HarmlessRequest = {"usual", "caller-1"};

/// @return the update with number @p number from a process of a peer.
CrashUpdate updateFrom(const NamedCrashReport &named, std::uint64_t number = 1)
{
    return {named.entryVm, "process", number, named.report, {}};
}

/// Probes the server every 120 ms for one second. @return when its crash was detected, if it was.
std::optional<Duration> timeToDetect(CrashDetector &detector, ServerLiveness liveness)
{
    for (Duration passed = milliseconds(0); passed < seconds(1); passed += CrashDetector::ProbeInterval) {
        if (!detector.livenessObserved(Start + passed, "i-1", liveness).crashFingerprints.empty()) {
            return passed;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("A server is considered crashed when it rejects several probes in a row after an answer was lost", "[crash]")
{
    CrashDetector detector;
    detector.answerLost(Start, "i-1", PoisonRequest);
    SECTION("if it rejects each of them")
    {
        const auto detectedAfter = timeToDetect(detector, ServerLiveness::Rejected);
        REQUIRE(detectedAfter);
        CHECK(*detectedAfter < milliseconds(500));
    }
    SECTION("not if it is unresponsive, as when this entry VM is disconnected from it")
    {
        CHECK(!timeToDetect(detector, ServerLiveness::Unresponsive));
    }
    SECTION("not if it answers in between, as an overloaded server does")
    {
        detector.livenessObserved(Start + milliseconds(120), "i-1", ServerLiveness::Rejected);
        detector.livenessObserved(Start + milliseconds(240), "i-1", ServerLiveness::Answered);
        CHECK(!timeToDetect(detector, ServerLiveness::Rejected));
    }
    SECTION("not if many probes are rejected at the same moment")
    {
        for (int probe = 0; probe < 10; ++probe) {
            CHECK(detector.livenessObserved(Start + milliseconds(60), "i-1", ServerLiveness::Rejected).crashFingerprints.empty());
        }
    }
    SECTION("also if its directory entry is removed while it is unresponsive")
    {
        std::vector<RequestFingerprint> fingerprints;
        const auto note = [&fingerprints](const std::string &, const CrashDetector::Finding &finding) { fingerprints = finding.crashFingerprints; };
        detector.directoryUpdated(Start + seconds(4), std::vector<std::string>{"i-1"}, note);
        CHECK(fingerprints.empty());
        detector.directoryUpdated(Start + seconds(5), std::vector<std::string>{"i-2"}, note);
        CHECK(fingerprints == std::vector{PoisonRequest});
    }
}

TEST_CASE("The first probe after a lost answer waits for the settle time, and a crash is detected within 0.3 s", "[crash]")
{
    // Guards against a first probe that is sent at once: its answer arrives before the settle time and is ignored, so each crash is detected 0.12 s later.
    CrashDetector detector;
    detector.answerLost(Start, "i-1", PoisonRequest);
    std::optional<Duration> detectedAfter;
    for (Duration passed(0); passed < seconds(1) && !detectedAfter; passed += milliseconds(10)) {
        for (const std::string &server : detector.takeDueProbes(Start + passed)) {
            const TimePoint answered = Start + passed + milliseconds(2);
            if (!detector.livenessObserved(answered, server, ServerLiveness::Rejected).crashFingerprints.empty()) {
                detectedAfter = passed;
            }
        }
    }
    REQUIRE(detectedAfter);
    CHECK(*detectedAfter <= milliseconds(300));
}

TEST_CASE("A server that answers again soon is not considered crashed", "[crash]")
{
    CrashDetector detector;
    detector.answerLost(Start, "i-1", PoisonRequest);
    REQUIRE(timeToDetect(detector, ServerLiveness::Rejected));
    CHECK(detector.livenessObserved(Start + milliseconds(900), "i-1", ServerLiveness::Answered).hasRecovered);
}

TEST_CASE("A server that restarts under its id after some seconds stays considered crashed", "[crash]")
{
    CrashDetector detector;
    detector.answerLost(Start, "i-1", PoisonRequest);
    REQUIRE(timeToDetect(detector, ServerLiveness::Rejected));
    CHECK_FALSE(detector.livenessObserved(Start + seconds(2), "i-1", ServerLiveness::Answered).hasRecovered);
}

TEST_CASE("After a lost answer an unlisted server is considered crashed, and a leaving one only when it rejects probes", "[crash]")
{
    CrashDetector detector;
    const auto none = [](const std::string &, const CrashDetector::Finding &) { FAIL("the removal of a leaving server was taken for a crash"); };
    detector.answerLost(Start, "i-1", PoisonRequest, CrashDetector::DirectoryStatus::Leaving);
    detector.directoryUpdated(Start + seconds(3), std::vector<std::string>{}, none);
    CHECK(timeToDetect(detector, ServerLiveness::Rejected));
    CHECK(detector.answerLost(Start, "i-2", HarmlessRequest, CrashDetector::DirectoryStatus::Unlisted).crashFingerprints == std::vector{HarmlessRequest});
}

TEST_CASE("A request that was answered recently is not the cause of crashes, and one answered long ago may be", "[crash]")
{
    AnsweredRequestCache answered;
    answered.add(Start, HarmlessRequest);
    CHECK(answered.contains(Start + seconds(20), HarmlessRequest));
    CHECK_FALSE(answered.contains(Start + seconds(20), PoisonRequest));
    CHECK_FALSE(answered.contains(Start + seconds(40), HarmlessRequest));
    for (std::size_t number = 0; number < AnsweredRequestCache::MaxEntries; ++number) {
        answered.add(Start, {std::to_string(number), "caller"});
    }
    CHECK_FALSE(answered.contains(Start + seconds(20), HarmlessRequest));
}

TEST_CASE("A suspension of the entry VM between two probes makes no server count as crashed", "[crash][suspension]")
{
    CrashDetector detector;
    detector.answerLost(Start, "i-1", PoisonRequest);
    detector.livenessObserved(Start + milliseconds(120), "i-1", ServerLiveness::Rejected);
    // The clock includes the suspension, and observations from before it do not show the state after it.
    const TimePoint resumed = Start + seconds(20);
    CHECK(detector.takeDueProbes(resumed).empty());
    CHECK(detector.livenessObserved(resumed, "i-1", ServerLiveness::Rejected).crashFingerprints.empty());
    CHECK(detector.livenessObserved(resumed, "i-1", ServerLiveness::Rejected).crashFingerprints.empty());
}

TEST_CASE("A request is blocked after it has crashed three servers, whichever entry VMs observed the crashes", "[crash]")
{
    PoisonRequestTracker tracker("entry-1");
    tracker.serverCrashed(Start, PoisonRequest, "i-1");
    tracker.reportsReceived(Start, {{"entry-2", {{{PoisonRequest, "i-2"}, {HarmlessRequest, "i-2"}}, {}}}});
    CHECK_FALSE(tracker.takeBlocklist()->blocks(PoisonRequest));
    SECTION("after the report of a third entry VM")
    {
        tracker.reportsReceived(Start, {{"entry-2", {{{PoisonRequest, "i-2"}, {HarmlessRequest, "i-2"}}, {}}}, {"entry-3", {{{PoisonRequest, "i-3"}}, {}}}});
        const auto blocklist = tracker.takeBlocklist();
        CHECK(blocklist->blocks(PoisonRequest));
        CHECK_FALSE(blocklist->blocks(HarmlessRequest));
        CHECK(blocklist->blocks({"fatal", "caller-2"}));
    }
    SECTION("not after another report of the same crash")
    {
        tracker.reportsReceived(Start, {{"entry-2", {{{PoisonRequest, "i-2"}}, {}}}, {"entry-3", {{{PoisonRequest, "i-1"}}, {}}}});
        const auto blocklist = tracker.takeBlocklist();
        CHECK((!blocklist || !blocklist->blocks(PoisonRequest)));
    }
}

TEST_CASE("A request that has crashed three servers is blocked for callers that have not sent it before", "[crash]")
{
    PoisonRequestTracker tracker("entry-1");
    const RequestFingerprint newCaller{PoisonRequest.digest, "caller-9"};
    tracker.serverCrashed(Start, PoisonRequest, "i-1");
    tracker.serverCrashed(Start, PoisonRequest, "i-2");
    CHECK_FALSE(tracker.takeBlocklist()->blocks(newCaller));
    SECTION("if one caller's copies have crashed all of them")
    {
        tracker.serverCrashed(Start, PoisonRequest, "i-3");
    }
    SECTION("if copies of two callers have")
    {
        tracker.serverCrashed(Start, {PoisonRequest.digest, "caller-2"}, "i-3");
    }
    CHECK(tracker.takeBlocklist()->blocks(newCaller));
}

TEST_CASE("An answer to one caller's copy of a request ends its being blocked for callers whose copies have crashed no server", "[crash]")
{
    PoisonRequestTracker tracker("entry-1");
    const RequestFingerprint answeredCopy{PoisonRequest.digest, "caller-2"};
    const RequestFingerprint newCopy{PoisonRequest.digest, "caller-3"};
    const NamedCrashReport crashes{"entry-2", {{{PoisonRequest, "i-1"}, {PoisonRequest, "i-2"}, {PoisonRequest, "i-3"}}, {}}};
    tracker.reportsReceived(Start, {crashes});
    REQUIRE(tracker.takeBlocklist()->blocks(newCopy));
    SECTION("at the entry VM that received the answer")
    {
        tracker.requestAnswered(Start, answeredCopy);
        CHECK(tracker.takeReport()->exonerated.size() == 3);
    }
    SECTION("at its peers, from the store")
    {
        tracker.reportsReceived(Start, {crashes, {"entry-3", {{}, {{answeredCopy, "i-1"}, {answeredCopy, "i-2"}, {answeredCopy, "i-3"}}}}});
    }
    SECTION("at its peers, from a direct update")
    {
        tracker.updateReceived(Start, updateFrom({"entry-3", {{}, {{answeredCopy, "i-1"}, {answeredCopy, "i-2"}, {answeredCopy, "i-3"}}}}));
    }
    const auto blocklist = tracker.takeBlocklist();
    CHECK_FALSE(blocklist->blocks(answeredCopy));
    CHECK_FALSE(blocklist->blocks(newCopy));
    CHECK(blocklist->blocks(PoisonRequest));
    CHECK_FALSE(blocklist->isSuspect(newCopy));
}

TEST_CASE("A crash is reported if it is not the first of its request, or if the request is not answered soon", "[crash]")
{
    PoisonRequestTracker tracker("entry-1");
    tracker.reportsReceived(Start, {});
    tracker.takeReport();
    tracker.serverCrashed(Start, HarmlessRequest, "i-1");
    tracker.tick(Start + milliseconds(30));
    CHECK_FALSE(tracker.takeReport());
    SECTION("not if it was answered")
    {
        tracker.requestAnswered(Start + milliseconds(200), HarmlessRequest);
        tracker.tick(Start + seconds(5));
        CHECK_FALSE(tracker.takeReport());
    }
    SECTION("after the delay")
    {
        tracker.tick(Start + PoisonRequestTracker::FirstCrashDelay);
        CHECK(tracker.takeReport()->crashes == std::vector{ServerCrash{HarmlessRequest, "i-1"}});
    }
    SECTION("at once, together with the second")
    {
        tracker.serverCrashed(Start + milliseconds(60), HarmlessRequest, "i-2");
        tracker.tick(Start + milliseconds(60));
        CHECK(tracker.takeReport()->crashes.size() == 2);
    }
}

TEST_CASE("An answer exonerates a request from earlier crashes, at all entry VMs", "[crash]")
{
    PoisonRequestTracker tracker("entry-1");
    const NamedCrashReport peerReport{"entry-2", {{{HarmlessRequest, "i-1"}, {HarmlessRequest, "i-2"}, {HarmlessRequest, "i-3"}}, {}}};
    tracker.reportsReceived(Start, {peerReport});
    REQUIRE(tracker.takeBlocklist()->blocks(HarmlessRequest));
    SECTION("that was observed locally")
    {
        tracker.requestAnswered(Start, HarmlessRequest);
        CHECK(tracker.takeReport()->exonerated.size() == 3);
    }
    SECTION("that a peer reports")
    {
        tracker.reportsReceived(Start, {peerReport, {"entry-3", {{}, peerReport.report.crashes}}});
    }
    CHECK_FALSE(tracker.takeBlocklist()->blocks(HarmlessRequest));
}

TEST_CASE("A crash that a peer has exonerated in a direct update is not written to the store", "[crash]")
{
    PoisonRequestTracker tracker("entry-1", "1");
    tracker.reportsReceived(Start, {});
    tracker.serverCrashed(Start, HarmlessRequest, "i-1");
    tracker.serverCrashed(Start, HarmlessRequest, "i-2");
    const CrashUpdate exoneration{"entry-2", "1", 1, {{}, {{HarmlessRequest, "i-1"}, {HarmlessRequest, "i-2"}}}, {}};
    SECTION("if the exoneration arrives before the report")
    {
        tracker.updateReceived(Start, exoneration);
        tracker.tick(Start + PoisonRequestTracker::FirstCrashDelay);
        const auto report = tracker.takeReport();
        CHECK((!report || report->crashes.empty()));
    }
    SECTION("and is withdrawn if the exoneration arrives after the report")
    {
        tracker.tick(Start + PoisonRequestTracker::FirstCrashDelay);
        REQUIRE(tracker.takeReport()->crashes.size() == 2);
        tracker.updateReceived(Start + seconds(1), exoneration);
        CHECK(tracker.takeReport()->crashes.empty());
    }
    SECTION("while other crashes still are")
    {
        tracker.updateReceived(Start, exoneration);
        tracker.serverCrashed(Start, {"another", "caller-1"}, "i-1");
        tracker.tick(Start + PoisonRequestTracker::FirstCrashDelay);
        CHECK(tracker.takeReport()->crashes == std::vector{ServerCrash{{"another", "caller-1"}, "i-1"}});
    }
}

TEST_CASE("After an exoneration further crashes of the request are tolerated for a limited time", "[crash]")
{
    PoisonRequestTracker tracker("entry-1");
    tracker.reportsReceived(Start, {{"entry-2", {{{HarmlessRequest, "i-1"}}, {}}}, {"entry-3", {{}, {{HarmlessRequest, "i-1"}}}}});
    const NamedCrashReport later{"entry-2", {{{HarmlessRequest, "i-1"}, {HarmlessRequest, "i-2"}, {HarmlessRequest, "i-3"}, {HarmlessRequest, "i-4"}}, {}}};
    tracker.reportsReceived(Start + seconds(1), {later, {"entry-3", {{}, {{HarmlessRequest, "i-1"}}}}});
    const auto blocklist = tracker.takeBlocklist();
    CHECK_FALSE(blocklist->blocks(HarmlessRequest));
    CHECK(blocklist->isSuspect(HarmlessRequest));
    tracker.tick(Start + PoisonRequestTracker::ExonerationLifetime + seconds(10));
    CHECK(tracker.takeBlocklist()->blocks(HarmlessRequest));
}

TEST_CASE("A restarted process adopts the report of its predecessor", "[crash]")
{
    PoisonRequestTracker tracker("entry-1");
    tracker.serverCrashed(Start, HarmlessRequest, "i-9");
    CHECK_FALSE(tracker.takeReport());
    tracker.reportsReceived(Start, {{"entry-1", {{{PoisonRequest, "i-1"}, {PoisonRequest, "i-2"}, {PoisonRequest, "i-3"}}, {}}}});
    CHECK(tracker.takeBlocklist()->blocks(PoisonRequest));
    CHECK(tracker.takeReport()->crashes.size() == 3);
    SECTION("but not crashes that it has withdrawn itself")
    {
        tracker.serverRecovered(Start, "i-1");
        tracker.reportsReceived(Start, {{"entry-1", {{{PoisonRequest, "i-1"}, {PoisonRequest, "i-2"}, {PoisonRequest, "i-3"}}, {}}}});
        CHECK_FALSE(tracker.takeBlocklist()->blocks(PoisonRequest));
    }
}

TEST_CASE("A report that a former process writes after its successor has started is adopted, not overwritten", "[crash]")
{
    // Guards against a lost report: a stopping process writes three crashes once the store is reachable again, and its successor under the same name,
    // which read the store before that and has no crashes, replaces them by its empty report.
    PoisonRequestTracker tracker("entry-1");
    tracker.reportsReceived(Start, {});
    tracker.takeReport();
    tracker.reportsReceived(Start + seconds(1), {{"entry-1", {{{PoisonRequest, "i-1"}, {PoisonRequest, "i-2"}, {PoisonRequest, "i-3"}}, {}}}});
    CHECK(tracker.takeBlocklist()->blocks(PoisonRequest));
    CHECK(tracker.takeReport()->crashes.size() == 3);

    CrashReportWriter writer;
    Random random(1);
    const CrashReport formerReport{{{PoisonRequest, "i-1"}}, {}};
    const CrashReport localReport{{{HarmlessRequest, "i-2"}}, {}};
    const auto writes = [&writer](Duration after) {
        DirectoryActions actions;
        writer.tick(Start + after, actions);
        return actions.size();
    };
    writer.onRead(Start, 0, {});
    writer.setDesired(1, localReport);
    REQUIRE(writes(seconds(0)) == 1);
    writer.onWritten(Start, {7, formerReport, false}, random);
    CHECK(writes(seconds(5)) == 0);
    writer.onRead(Start + seconds(5), 7, formerReport);
    CHECK(writes(milliseconds(5010)) == 0);
    writer.setDesired(2, {{{PoisonRequest, "i-1"}, {HarmlessRequest, "i-2"}}, {}});
    CHECK(writes(milliseconds(5110)) == 1);
}

TEST_CASE("A relay reports crashes on behalf of a peer that does not write them to the store itself", "[crash]")
{
    PoisonRequestTracker relay("entry-1");
    relay.reportsReceived(Start, {});
    relay.takeReport();
    const NamedCrashReport peerReport{"entry-2", {{{PoisonRequest, "i-1"}, {PoisonRequest, "i-2"}, {PoisonRequest, "i-3"}}, {}}};
    relay.setProxyReporter(true);
    relay.updateReceived(Start, updateFrom(peerReport));
    CHECK(relay.takeBlocklist()->blocks(PoisonRequest));
    SECTION("but not if the peer has written them")
    {
        relay.reportsReceived(Start + seconds(1), {peerReport});
        relay.tick(Start + seconds(5));
        CHECK_FALSE(relay.takeReport());
    }
    SECTION("but not those that the peer has withdrawn since")
    {
        relay.updateReceived(Start + seconds(1), updateFrom({"entry-2", {}}, 2));
        relay.tick(Start + seconds(5));
        CHECK_FALSE(relay.takeBlocklist()->blocks(PoisonRequest));
    }
    SECTION("as part of its own report")
    {
        relay.tick(Start + PoisonRequestTracker::ProxyReportDelay);
        CHECK(relay.takeReport()->crashes.size() == 3);
        CHECK(relay.takeBlocklist() == nullptr);
    }
}

TEST_CASE("Crashes expire, and their number is limited", "[crash]")
{
    PoisonRequestTracker tracker("entry-1");
    tracker.reportsReceived(Start, {{"entry-2", {{{PoisonRequest, "i-1"}, {PoisonRequest, "i-2"}}, {}}}});
    tracker.serverCrashed(Start, PoisonRequest, "i-3");
    REQUIRE(tracker.takeBlocklist()->blocks(PoisonRequest));
    tracker.tick(Start + PoisonRequestTracker::CrashLifetime + seconds(1));
    CHECK_FALSE(tracker.takeBlocklist()->blocks(PoisonRequest));
    tracker.takeReport();
    for (std::size_t number = 0; number < 2 * PoisonRequestTracker::MaxEntries; ++number) {
        tracker.serverCrashed(Start + seconds(4000), {"content-" + std::to_string(number), "caller"}, "i-1");
    }
    tracker.tick(Start + seconds(4001));
    CHECK(tracker.takeReport()->crashes.size() == PoisonRequestTracker::MaxEntries);
}
