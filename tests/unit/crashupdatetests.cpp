/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/poisonrequesttracker.h"
#include "net/crashjson.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <set>

using namespace Cloverbarrow;

namespace
{

const TimePoint Start = TimePoint(seconds(100));
const RequestFingerprint PoisonRequest = {"fatal", "caller-1"};

ServerCrash crashOf(const std::string &server)
{
    return {PoisonRequest, server};
}

/// @return the update of an entry VM that alone has observed @p crashes and has lost answers of @p suspected.
CrashUpdate updateFrom(const std::string &entryVm, std::uint64_t number, std::vector<ServerCrash> crashes, std::vector<ServerCrash> suspected = {})
{
    return {entryVm, "process", number, {std::move(crashes), {}}, std::move(suspected)};
}

bool blocks(PoisonRequestTracker &tracker, const RequestFingerprint &fingerprint)
{
    const auto blocklist = tracker.takeBlocklist();
    REQUIRE(blocklist);
    return blocklist->blocks(fingerprint);
}

constexpr int WaveEntryVms = 400;
constexpr Duration WaveDuration = seconds(1);

/// @return the update of one of many entry VMs that each lose two answers to a request of their own.
CrashUpdate waveUpdate(int number)
{
    const std::string name = std::to_string(number);
    const RequestFingerprint fingerprint{"read-" + name, "caller-" + name};
    return updateFrom("peer-" + name, 1, {}, {{fingerprint, "i-1"}, {fingerprint, "i-2"}});
}

} // namespace

TEST_CASE("Lost answers count as crashes until their servers answer", "[crash]")
{
    PoisonRequestTracker tracker("entry-1", "1");
    for (const char *server : {"i-1", "i-2", "i-3"}) {
        tracker.serverSuspected(Start, PoisonRequest, server);
    }
    // Within the grace period peers may exonerate the request.
    CHECK_FALSE(tracker.takeBlocklist());
    tracker.tick(Start + PoisonRequestTracker::SuspicionGracePeriod);
    const auto blocklist = tracker.takeBlocklist();
    REQUIRE(blocklist);
    CHECK(blocklist->blocks(PoisonRequest));
    CHECK(blocklist->blocksTemporarily(PoisonRequest));
    CHECK_FALSE(blocklist->blocks({"fatal", "caller-2"}));
    SECTION("one of them answers")
    {
        tracker.suspicionCleared(Start + seconds(1), "i-2");
        CHECK_FALSE(blocks(tracker, PoisonRequest));
    }
    SECTION("the request is answered by another server")
    {
        tracker.requestAnswered(Start + seconds(1), PoisonRequest);
        CHECK_FALSE(blocks(tracker, PoisonRequest));
    }
    SECTION("the suspicions stay unresolved for too long")
    {
        tracker.tick(Start + PoisonRequestTracker::SuspicionLifetime + milliseconds(1));
        CHECK_FALSE(blocks(tracker, PoisonRequest));
    }
    SECTION("their crashes are confirmed and the block becomes permanent")
    {
        for (const char *server : {"i-1", "i-2", "i-3"}) {
            tracker.serverCrashed(Start + seconds(1), PoisonRequest, server);
        }
        CHECK_FALSE(tracker.takeBlocklist()->blocksTemporarily(PoisonRequest));
        tracker.suspicionCleared(Start + seconds(1), "i-2");
        tracker.tick(Start + PoisonRequestTracker::SuspicionLifetime + seconds(1));
        CHECK(tracker.takeBlocklist() == nullptr);
    }
}

TEST_CASE("Lost answers of many callers at once do not block other callers", "[crash]")
{
    // This happens when connections to many servers are reset while many callers send the same request.
    PoisonRequestTracker tracker("entry-1", "1");
    for (int number = 0; number < 20; ++number) {
        tracker.serverSuspected(Start, {"often", "caller-" + std::to_string(number)}, "i-" + std::to_string(number));
    }
    tracker.tick(Start + PoisonRequestTracker::SuspicionGracePeriod);
    const auto blocklist = tracker.takeBlocklist();
    REQUIRE(blocklist);
    CHECK_FALSE(blocklist->blocks({"often", "caller-1"}));
    CHECK_FALSE(blocklist->blocks({"often", "caller-99"}));
}

TEST_CASE("A lost answer is not reported if its server answers at once", "[crash]")
{
    PoisonRequestTracker tracker("entry-1", "1");
    tracker.serverSuspected(Start, PoisonRequest, "i-1");
    CHECK_FALSE(tracker.takeBroadcast(Start));
    SECTION("as after a connection reset")
    {
        tracker.suspicionCleared(Start + milliseconds(30), "i-1");
        CHECK_FALSE(tracker.takeBroadcast(Start + seconds(1)));
    }
    SECTION("but is reported at once if it is the second of its request")
    {
        tracker.serverSuspected(Start + milliseconds(5), PoisonRequest, "i-2");
        const auto broadcast = tracker.takeBroadcast(Start + milliseconds(5));
        REQUIRE(broadcast);
        CHECK(broadcast->local->suspected.size() == 2);
    }
}

TEST_CASE("Lost answers are sent to relays soon and are not written to the store", "[crash]")
{
    PoisonRequestTracker tracker("entry-1", "1");
    tracker.reportsReceived(Start, {});
    tracker.takeReport();
    tracker.serverSuspected(Start - PoisonRequestTracker::FirstSuspicionDelay, PoisonRequest, "i-1");
    const auto broadcast = tracker.takeBroadcast(Start);
    REQUIRE(broadcast);
    REQUIRE(broadcast->local);
    CHECK(broadcast->local->suspected == std::vector{crashOf("i-1")});
    CHECK_FALSE(tracker.takeReport());
    CHECK_FALSE(tracker.takeBroadcast(Start + milliseconds(10)));
    SECTION("and sent again while they are unresolved")
    {
        const auto again = tracker.takeBroadcast(Start + PoisonRequestTracker::ResendInterval);
        REQUIRE(again);
        CHECK(again->local->sequenceNumber > broadcast->local->sequenceNumber);
    }
    SECTION("and the withdrawal is sent when the server answers")
    {
        tracker.suspicionCleared(Start + milliseconds(30), "i-1");
        const auto withdrawn = tracker.takeBroadcast(Start + milliseconds(30));
        REQUIRE(withdrawn);
        CHECK(withdrawn->local->suspected.empty());
        CHECK_FALSE(tracker.takeBroadcast(Start + seconds(5)));
    }
    SECTION("and are not sent again once the store contains the crash")
    {
        tracker.serverCrashed(Start + milliseconds(300), PoisonRequest, "i-1");
        CHECK(tracker.takeBroadcast(Start + milliseconds(300))->local->report.crashes == std::vector{crashOf("i-1")});
        tracker.reportsReceived(Start + seconds(1), {{"entry-1", {{crashOf("i-1")}, {}}}});
        CHECK_FALSE(tracker.takeBroadcast(Start + seconds(1)));
        CHECK_FALSE(tracker.takeBroadcast(Start + seconds(5)));
    }
}

TEST_CASE("A relay forwards updates to its followers before the third server crashes, but not each lost answer", "[crash]")
{
    PoisonRequestTracker relay("entry-1", "1");
    relay.setProxyReporter(true);
    relay.takeBroadcast(Start);
    const CrashUpdate first = updateFrom("entry-2", 1, {}, {crashOf("i-1")});
    relay.updateReceived(Start, first);
    CHECK_FALSE(relay.takeBroadcast(Start));
    const CrashUpdate second = updateFrom("entry-3", 1, {}, {crashOf("i-2")});
    relay.updateReceived(Start, second);
    CHECK(relay.takeBroadcast(Start)->forwarded == std::vector{first, second});
    SECTION("its own updates too")
    {
        relay.serverSuspected(Start, PoisonRequest, "i-3");
        const auto broadcast = relay.takeBroadcast(Start);
        CHECK(broadcast->forwarded == std::vector{*broadcast->local});
    }
    SECTION("but not updates that are only sent again")
    {
        relay.updateReceived(Start + seconds(1), updateFrom("entry-2", 2, {}, {crashOf("i-1")}));
        CHECK_FALSE(relay.takeBroadcast(Start + seconds(1)));
    }
    SECTION("and later withdrawals")
    {
        const CrashUpdate withdrawn = updateFrom("entry-2", 2, {});
        relay.updateReceived(Start, withdrawn);
        CHECK(relay.takeBroadcast(Start)->forwarded == std::vector{withdrawn});
    }
    SECTION("and exonerations from any entry VM")
    {
        CrashUpdate exoneration = updateFrom("entry-4", 1, {});
        exoneration.report.exonerated = {crashOf("i-1")};
        relay.updateReceived(Start, exoneration);
        CHECK(relay.takeBroadcast(Start)->forwarded == std::vector{exoneration});
    }
    SECTION("and a follower counts them")
    {
        PoisonRequestTracker follower("entry-4", "1");
        follower.updateReceived(Start, first);
        follower.updateReceived(Start, second);
        follower.serverSuspected(Start, PoisonRequest, "i-3");
        CHECK(follower.takeBroadcast(Start)->forwarded.empty());
        follower.tick(Start + PoisonRequestTracker::SuspicionGracePeriod);
        CHECK(blocks(follower, PoisonRequest));
    }
}

TEST_CASE("A wave of lost answers does not make a relay notify its followers of each of them", "[crash]")
{
    PoisonRequestTracker relay("entry-1", "1");
    relay.setProxyReporter(true);
    relay.takeBroadcast(Start);
    int notifications = 0;
    std::set<std::string> forwarded;
    const auto collectForwards = [&](TimePoint now) {
        if (const auto broadcast = relay.takeBroadcast(now); broadcast && !broadcast->forwarded.empty()) {
            ++notifications;
            std::transform(broadcast->forwarded.begin(), broadcast->forwarded.end(), std::inserter(forwarded, forwarded.end()), [](const CrashUpdate &update) {
                return update.entryVm;
            });
        }
    };
    for (int number = 0; number < WaveEntryVms; ++number) {
        const TimePoint now = Start + WaveDuration * number / WaveEntryVms;
        relay.updateReceived(now, waveUpdate(number));
        relay.tick(now);
        collectForwards(now);
    }
    CHECK(notifications <= PoisonRequestTracker::ForwardBurst + PoisonRequestTracker::ForwardsPerSecond);
    collectForwards(Start + 2 * WaveDuration);
    CHECK(forwarded.size() == WaveEntryVms);
}

TEST_CASE("A wave of lost answers does not make an entry VM rebuild its blocklist at each tick", "[crash]")
{
    PoisonRequestTracker tracker("entry-1", "1");
    for (int number = 0; number < WaveEntryVms; ++number) {
        const TimePoint now = Start + WaveDuration * number / WaveEntryVms;
        tracker.updateReceived(now, waveUpdate(number));
        tracker.tick(now);
    }
    CHECK(tracker.updateCounts().blocklistRebuilds <= 1 + WaveDuration / PoisonRequestTracker::MinRebuildInterval);
    const TimePoint end = Start + 2 * WaveDuration;
    tracker.tick(end);
    CHECK(tracker.takeBlocklist()->suspects().size() == PeerCrashUpdates::MaxProcesses);
}

TEST_CASE("Late updates do not replace newer ones, and those of a successor do not replace those of its predecessor", "[crash]")
{
    PoisonRequestTracker tracker("entry-1", "1");
    tracker.updateReceived(Start, updateFrom("entry-2", 2, {crashOf("i-1"), crashOf("i-2"), crashOf("i-3")}));
    REQUIRE(blocks(tracker, PoisonRequest));
    tracker.updateReceived(Start, updateFrom("entry-2", 1, {}));
    CHECK(tracker.takeBlocklist() == nullptr);
    CrashUpdate successor = updateFrom("entry-2", 9, {});
    successor.process = "later";
    tracker.updateReceived(Start, successor);
    CHECK(tracker.takeBlocklist() == nullptr);
}

TEST_CASE("A relay writes lost answers to the store when the entry VM that lost them becomes unresponsive", "[crash]")
{
    PoisonRequestTracker relay("entry-1", "1");
    relay.reportsReceived(Start, {});
    relay.setProxyReporter(true);
    relay.takeReport();
    relay.updateReceived(Start, updateFrom("entry-2", 1, {}, {crashOf("i-1")}));
    SECTION("but not while that entry VM sends them again")
    {
        for (int number = 2; number < 10; ++number) {
            const TimePoint now = Start + PoisonRequestTracker::ResendInterval * number;
            relay.updateReceived(now, updateFrom("entry-2", static_cast<std::uint64_t>(number), {}, {crashOf("i-1")}));
            relay.tick(now);
        }
        CHECK_FALSE(relay.takeReport());
    }
    SECTION("as crashes in its own report")
    {
        relay.tick(Start + PeerCrashUpdates::UnresponsiveLimit);
        CHECK(relay.takeReport()->crashes == std::vector{crashOf("i-1")});
    }
    SECTION("but a follower does not, since otherwise all followers of a zone would write at once")
    {
        PoisonRequestTracker follower("entry-3", "1");
        follower.reportsReceived(Start, {});
        follower.takeReport();
        follower.updateReceived(Start, updateFrom("entry-2", 1, {crashOf("i-2")}, {crashOf("i-1")}));
        follower.tick(Start + seconds(20));
        CHECK_FALSE(follower.takeReport());
        follower.setProxyReporter(true);
        follower.tick(Start + seconds(20));
        CHECK(follower.takeReport()->crashes.size() == 2);
    }
}

TEST_CASE("A relay reports the lost answers of an unresponsive entry VM once, even if it cannot keep all of them", "[crash]")
{
    PoisonRequestTracker relay("entry-1", "1");
    relay.reportsReceived(Start, {});
    relay.setProxyReporter(true);
    std::vector<ServerCrash> lost;
    for (std::size_t number = 0; number <= PoisonRequestTracker::MaxEntries; ++number) {
        lost.push_back(crashOf("i-" + std::to_string(number)));
    }
    relay.updateReceived(Start, updateFrom("entry-2", 1, {}, lost));
    const TimePoint overdue = Start + PeerCrashUpdates::UnresponsiveLimit;
    relay.tick(overdue);
    CHECK(relay.takeReport()->crashes.size() == PoisonRequestTracker::MaxEntries);
    const auto rebuilds = relay.updateCounts().blocklistRebuilds;
    relay.tick(overdue + seconds(1));
    CHECK(relay.updateCounts().blocklistRebuilds == rebuilds);
}

TEST_CASE("When updates of too many processes arrive, the process with the oldest update is evicted", "[crash]")
{
    PeerCrashUpdates updates;
    for (std::size_t number = 0; number <= PeerCrashUpdates::MaxProcesses; ++number) {
        updates.apply(Start + milliseconds(number), updateFrom("entry-" + std::to_string(number), 1, {crashOf("i-1")}));
    }
    const auto all = updates.all();
    CHECK(all.size() == PeerCrashUpdates::MaxProcesses);
    CHECK(std::none_of(all.begin(), all.end(), [](const CrashUpdate &update) { return update.entryVm == "entry-0"; }));
}

TEST_CASE("Crash updates survive encoding and decoding, and malformed ones are rejected", "[crash]")
{
    const CrashUpdateMessage message{"10.0.0.1:7200", {updateFrom("entry-2", 7, {crashOf("i-1")}, {crashOf("i-2")})}};
    CHECK(decodeCrashUpdates(encodeCrashUpdates(message)) == message);
    CHECK(decodeCrashUpdates(encodeCrashUpdates({})) == CrashUpdateMessage{});
    for (const char *text : {"", "{}", "[]", R"({"answer_to":1,"news":[]})", R"({"answer_to":"","news":[{"entry_vm":"e"}]})"}) {
        CHECK_THROWS(decodeCrashUpdates(text));
    }
}
