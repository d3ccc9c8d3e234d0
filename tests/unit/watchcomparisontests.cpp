/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/watchcomparison.h"
#include "net/relaymessages.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

const TimePoint Start = TimePoint(seconds(100));

std::vector<DirectoryEntry> entryAt(std::int64_t revision)
{
    return {{"entry", revision, std::nullopt, false, {}}};
}

} // namespace

TEST_CASE("A watch hangs when a peer has known more for some time", "[directory][silent]")
{
    WatchComparison comparison;
    comparison.known(Collection::Servers, entryAt(5));
    comparison.told(Start, {0, 5, 0, 0});
    CHECK_FALSE(comparison.takeHung(Start + seconds(60), Collection::Servers));
    comparison.told(Start, {0, 7, 0, 0});
    CHECK_FALSE(comparison.takeHung(Start + milliseconds(500), Collection::Servers));
    SECTION("not when it has caught up")
    {
        comparison.known(Collection::Servers, entryAt(7));
        CHECK_FALSE(comparison.takeHung(Start + seconds(60), Collection::Servers));
    }
    SECTION("also when the peer learns more all the time")
    {
        comparison.told(Start + milliseconds(1400), {0, 9, 0, 0});
        CHECK(comparison.takeHung(Start + WatchComparison::LagLimit, Collection::Servers));
    }
    SECTION("once for what the peer knows, which may be of entries that were deleted")
    {
        CHECK(comparison.takeHung(Start + WatchComparison::LagLimit, Collection::Servers));
        comparison.told(Start + seconds(20), {0, 7, 0, 0});
        CHECK_FALSE(comparison.takeHung(Start + seconds(40), Collection::Servers));
    }
    SECTION("and seldom, where a peer knows what the source here never tells")
    {
        CHECK(comparison.takeHung(Start + WatchComparison::LagLimit, Collection::Servers));
        comparison.told(Start + milliseconds(1600), {0, 8, 0, 0});
        CHECK_FALSE(comparison.takeHung(Start + WatchComparison::RenewalPause, Collection::Servers));
        CHECK(comparison.takeHung(Start + WatchComparison::RenewalPause + WatchComparison::LagLimit, Collection::Servers));
    }
    CHECK_FALSE(comparison.takeHung(Start + seconds(60), Collection::Routing));
}

TEST_CASE("Relays are asked one after the other", "[directory][silent]")
{
    WatchComparison comparison;
    const std::vector<std::string> relays = {"a", "b"};
    CHECK_FALSE(comparison.nextRelay(Start, {}));
    CHECK(comparison.nextRelay(Start, relays) == "a");
    CHECK_FALSE(comparison.nextRelay(Start + seconds(1), relays));
    CHECK(comparison.nextRelay(Start + WatchComparison::Interval, relays) == "b");
}

TEST_CASE("A proof tells what the relay knows, and one without it says nothing of it", "[directory][silent]")
{
    RelayProof proof;
    proof.newest = {3, 1, 4, 1};
    CHECK(decodeProof(encodeProof(proof)).newest == proof.newest);
    CHECK(decodeProof(R"({"age_us":1,"hears_from_store":true,"entry_vms":2,"other_relays":[]})").newest == NewestRevisions{});
    CHECK_THROWS(decodeProof(R"({"age_us":1,"hears_from_store":true,"entry_vms":2,"other_relays":[],"newest":[1,"x",3,4]})"));
}
