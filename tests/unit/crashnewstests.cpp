/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/crashledger.h"
#include "net/crashjson.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Cloverbarrow;

namespace
{

const TimePoint Start = TimePoint(seconds(100));
const RequestContent PoisonRequest = {"fatal", "caller-1"};

ServerEnd crashOf(const std::string &server)
{
    return {PoisonRequest, server};
}

/// @return the update of an entry VM that alone has observed @p crashes and has lost answers of @p suspected.
CrashNews updateFrom(const std::string &entryVm, std::uint64_t number, std::vector<ServerEnd> crashes, std::vector<ServerEnd> suspected = {})
{
    return {entryVm, "process", number, {std::move(crashes), {}}, std::move(suspected)};
}

bool blocks(CrashLedger &tracker, const RequestContent &fingerprint)
{
    const auto blocklist = tracker.takeVerdicts();
    REQUIRE(blocklist);
    return blocklist->refuses(fingerprint);
}

} // namespace

TEST_CASE("Lost answers count as crashes until their servers answer", "[crash]")
{
    CrashLedger tracker("entry-1", "1");
    for (const char *server : {"i-1", "i-2", "i-3"}) {
        tracker.suspected(Start, PoisonRequest, server);
    }
    // Within the grace period peers may exonerate the request.
    CHECK_FALSE(tracker.takeVerdicts());
    tracker.tick(Start + CrashLedger::ExcuseTime);
    const auto blocklist = tracker.takeVerdicts();
    REQUIRE(blocklist);
    CHECK(blocklist->refuses(PoisonRequest));
    CHECK(blocklist->refusesForNow(PoisonRequest));
    CHECK_FALSE(blocklist->refuses({"fatal", "caller-2"}));
    SECTION("one of them answers")
    {
        tracker.cleared(Start + seconds(1), "i-2");
        CHECK_FALSE(blocks(tracker, PoisonRequest));
    }
    SECTION("the request is answered by another server")
    {
        tracker.answered(Start + seconds(1), PoisonRequest);
        CHECK_FALSE(blocks(tracker, PoisonRequest));
    }
    SECTION("the suspicions stay unresolved for too long")
    {
        tracker.tick(Start + CrashLedger::SuspicionLifetime + milliseconds(1));
        CHECK_FALSE(blocks(tracker, PoisonRequest));
    }
    SECTION("their crashes are confirmed and the block becomes permanent")
    {
        for (const char *server : {"i-1", "i-2", "i-3"}) {
            tracker.ended(Start + seconds(1), PoisonRequest, server);
        }
        CHECK_FALSE(tracker.takeVerdicts()->refusesForNow(PoisonRequest));
        tracker.cleared(Start + seconds(1), "i-2");
        tracker.tick(Start + CrashLedger::SuspicionLifetime + seconds(1));
        CHECK(tracker.takeVerdicts() == nullptr);
    }
}

TEST_CASE("Lost answers of many callers at once do not block other callers", "[crash]")
{
    // This happens when connections to many servers are reset while many callers send the same request.
    CrashLedger tracker("entry-1", "1");
    for (int number = 0; number < 20; ++number) {
        tracker.suspected(Start, {"often", "caller-" + std::to_string(number)}, "i-" + std::to_string(number));
    }
    tracker.tick(Start + CrashLedger::ExcuseTime);
    const auto blocklist = tracker.takeVerdicts();
    REQUIRE(blocklist);
    CHECK_FALSE(blocklist->refuses({"often", "caller-1"}));
    CHECK_FALSE(blocklist->refuses({"often", "caller-99"}));
}

TEST_CASE("A lost answer is not reported if its server answers at once", "[crash]")
{
    CrashLedger tracker("entry-1", "1");
    tracker.suspected(Start, PoisonRequest, "i-1");
    CHECK_FALSE(tracker.takeSpread(Start));
    SECTION("as after a connection reset")
    {
        tracker.cleared(Start + milliseconds(30), "i-1");
        CHECK_FALSE(tracker.takeSpread(Start + seconds(1)));
    }
    SECTION("but is reported at once if it is the second of its request")
    {
        tracker.suspected(Start + milliseconds(5), PoisonRequest, "i-2");
        const auto broadcast = tracker.takeSpread(Start + milliseconds(5));
        REQUIRE(broadcast);
        CHECK(broadcast->own->suspected.size() == 2);
    }
}

TEST_CASE("Lost answers are sent to relays soon and are not written to the store", "[crash]")
{
    CrashLedger tracker("entry-1", "1");
    tracker.told(Start, {});
    tracker.takeReport();
    tracker.suspected(Start - CrashLedger::FirstSuspicionDelay, PoisonRequest, "i-1");
    const auto broadcast = tracker.takeSpread(Start);
    REQUIRE(broadcast);
    REQUIRE(broadcast->own);
    CHECK(broadcast->own->suspected == std::vector{crashOf("i-1")});
    CHECK_FALSE(tracker.takeReport());
    CHECK_FALSE(tracker.takeSpread(Start + milliseconds(10)));
    SECTION("and sent again while they are unresolved")
    {
        const auto again = tracker.takeSpread(Start + CrashLedger::NewsInterval);
        REQUIRE(again);
        CHECK(again->own->number > broadcast->own->number);
    }
    SECTION("and the withdrawal is sent when the server answers")
    {
        tracker.cleared(Start + milliseconds(30), "i-1");
        const auto withdrawn = tracker.takeSpread(Start + milliseconds(30));
        REQUIRE(withdrawn);
        CHECK(withdrawn->own->suspected.empty());
        CHECK_FALSE(tracker.takeSpread(Start + seconds(5)));
    }
    SECTION("and are not sent again once the store contains the crash")
    {
        tracker.ended(Start + milliseconds(300), PoisonRequest, "i-1");
        CHECK(tracker.takeSpread(Start + milliseconds(300))->own->report.ends == std::vector{crashOf("i-1")});
        tracker.told(Start + seconds(1), {{"entry-1", {{crashOf("i-1")}, {}}}});
        CHECK_FALSE(tracker.takeSpread(Start + seconds(1)));
        CHECK_FALSE(tracker.takeSpread(Start + seconds(5)));
    }
}

TEST_CASE("A relay forwards updates to its followers before the third server crashes, but not each lost answer", "[crash]")
{
    CrashLedger relay("entry-1", "1");
    relay.setWitness(true);
    relay.takeSpread(Start);
    const CrashNews first = updateFrom("entry-2", 1, {}, {crashOf("i-1")});
    relay.heard(Start, first);
    CHECK_FALSE(relay.takeSpread(Start));
    const CrashNews second = updateFrom("entry-3", 1, {}, {crashOf("i-2")});
    relay.heard(Start, second);
    CHECK(relay.takeSpread(Start)->passedOn == std::vector{first, second});
    SECTION("its own updates too")
    {
        relay.suspected(Start, PoisonRequest, "i-3");
        const auto broadcast = relay.takeSpread(Start);
        CHECK(broadcast->passedOn == std::vector{*broadcast->own});
    }
    SECTION("but not updates that are only sent again")
    {
        relay.heard(Start + seconds(1), updateFrom("entry-2", 2, {}, {crashOf("i-1")}));
        CHECK_FALSE(relay.takeSpread(Start + seconds(1)));
    }
    SECTION("and later withdrawals")
    {
        const CrashNews withdrawn = updateFrom("entry-2", 2, {});
        relay.heard(Start, withdrawn);
        CHECK(relay.takeSpread(Start)->passedOn == std::vector{withdrawn});
    }
    SECTION("and exonerations from any entry VM")
    {
        CrashNews exoneration = updateFrom("entry-4", 1, {});
        exoneration.report.excused = {crashOf("i-1")};
        relay.heard(Start, exoneration);
        CHECK(relay.takeSpread(Start)->passedOn == std::vector{exoneration});
    }
    SECTION("and a follower counts them")
    {
        CrashLedger follower("entry-4", "1");
        follower.heard(Start, first);
        follower.heard(Start, second);
        follower.suspected(Start, PoisonRequest, "i-3");
        CHECK(follower.takeSpread(Start)->passedOn.empty());
        follower.tick(Start + CrashLedger::ExcuseTime);
        CHECK(blocks(follower, PoisonRequest));
    }
}

TEST_CASE("Late updates do not replace newer ones, and those of a successor do not replace those of its predecessor", "[crash]")
{
    CrashLedger tracker("entry-1", "1");
    tracker.heard(Start, updateFrom("entry-2", 2, {crashOf("i-1"), crashOf("i-2"), crashOf("i-3")}));
    REQUIRE(blocks(tracker, PoisonRequest));
    tracker.heard(Start, updateFrom("entry-2", 1, {}));
    CHECK(tracker.takeVerdicts() == nullptr);
    CrashNews successor = updateFrom("entry-2", 9, {});
    successor.process = "later";
    tracker.heard(Start, successor);
    CHECK(tracker.takeVerdicts() == nullptr);
}

TEST_CASE("A relay writes lost answers to the store when the entry VM that lost them becomes unresponsive", "[crash]")
{
    CrashLedger relay("entry-1", "1");
    relay.told(Start, {});
    relay.setWitness(true);
    relay.takeReport();
    relay.heard(Start, updateFrom("entry-2", 1, {}, {crashOf("i-1")}));
    SECTION("but not while that entry VM sends them again")
    {
        for (int number = 2; number < 10; ++number) {
            const TimePoint now = Start + CrashLedger::NewsInterval * number;
            relay.heard(now, updateFrom("entry-2", static_cast<std::uint64_t>(number), {}, {crashOf("i-1")}));
            relay.tick(now);
        }
        CHECK_FALSE(relay.takeReport());
    }
    SECTION("as crashes in its own report")
    {
        relay.tick(Start + HeardCrashNews::SilenceLimit);
        CHECK(relay.takeReport()->ends == std::vector{crashOf("i-1")});
    }
    SECTION("but a follower does not, since otherwise all followers of a zone would write at once")
    {
        CrashLedger follower("entry-3", "1");
        follower.told(Start, {});
        follower.takeReport();
        follower.heard(Start, updateFrom("entry-2", 1, {crashOf("i-2")}, {crashOf("i-1")}));
        follower.tick(Start + seconds(20));
        CHECK_FALSE(follower.takeReport());
        follower.setWitness(true);
        follower.tick(Start + seconds(20));
        CHECK(follower.takeReport()->ends.size() == 2);
    }
}

TEST_CASE("When updates of too many processes arrive, the process with the oldest update is evicted", "[crash]")
{
    HeardCrashNews updates;
    for (std::size_t number = 0; number <= HeardCrashNews::MostKept; ++number) {
        updates.take(Start + milliseconds(number), updateFrom("entry-" + std::to_string(number), 1, {crashOf("i-1")}));
    }
    const auto all = updates.all();
    CHECK(all.size() == HeardCrashNews::MostKept);
    CHECK(std::none_of(all.begin(), all.end(), [](const CrashNews &update) { return update.entryVm == "entry-0"; }));
}

TEST_CASE("Crash updates survive encoding and decoding, and malformed ones are rejected", "[crash]")
{
    const CrashNewsMessage message{"10.0.0.1:7200", {updateFrom("entry-2", 7, {crashOf("i-1")}, {crashOf("i-2")})}};
    CHECK(decodeCrashNews(encodeCrashNews(message)) == message);
    CHECK(decodeCrashNews(encodeCrashNews({})) == CrashNewsMessage{});
    for (const char *text : {"", "{}", "[]", R"({"answer_to":1,"news":[]})", R"({"answer_to":"","news":[{"entry_vm":"e"}]})"}) {
        CHECK_THROWS(decodeCrashNews(text));
    }
}
