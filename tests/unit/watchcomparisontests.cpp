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

TEST_CASE("A watch counts as hanging when a peer has had newer revisions for some time", "[directory][silent]")
{
    WatchComparison comparison;
    comparison.entriesReceived(Collection::Servers, entryAt(5));
    comparison.peerRevisionsReceived(Start, {0, 5, 0, 0});
    CHECK_FALSE(comparison.takeStale(Start + seconds(60), Collection::Servers));
    comparison.peerRevisionsReceived(Start, {0, 7, 0, 0});
    CHECK_FALSE(comparison.takeStale(Start + milliseconds(500), Collection::Servers));
    SECTION("not when the watch has caught up")
    {
        comparison.entriesReceived(Collection::Servers, entryAt(7));
        CHECK_FALSE(comparison.takeStale(Start + seconds(60), Collection::Servers));
    }
    SECTION("also when the peer keeps receiving newer revisions")
    {
        comparison.peerRevisionsReceived(Start + milliseconds(1400), {0, 9, 0, 0});
        CHECK(comparison.takeStale(Start + WatchComparison::LagLimit, Collection::Servers));
    }
    SECTION("only once per revision of the peer, which may belong to a deleted entry")
    {
        CHECK(comparison.takeStale(Start + WatchComparison::LagLimit, Collection::Servers));
        comparison.peerRevisionsReceived(Start + seconds(20), {0, 7, 0, 0});
        CHECK_FALSE(comparison.takeStale(Start + seconds(40), Collection::Servers));
    }
    SECTION("at most once per restart interval, if the peer has revisions that the source never sends")
    {
        CHECK(comparison.takeStale(Start + WatchComparison::LagLimit, Collection::Servers));
        comparison.peerRevisionsReceived(Start + milliseconds(1600), {0, 8, 0, 0});
        CHECK_FALSE(comparison.takeStale(Start + WatchComparison::MinRestartInterval, Collection::Servers));
        CHECK(comparison.takeStale(Start + WatchComparison::MinRestartInterval + WatchComparison::LagLimit, Collection::Servers));
    }
    CHECK_FALSE(comparison.takeStale(Start + seconds(60), Collection::Routing));
}

TEST_CASE("Relays are queried in turn", "[directory][silent]")
{
    WatchComparison comparison;
    const std::vector<std::string> relays = {"a", "b"};
    CHECK_FALSE(comparison.nextRelay(Start, {}));
    CHECK(comparison.nextRelay(Start, relays) == "a");
    CHECK_FALSE(comparison.nextRelay(Start + seconds(1), relays));
    CHECK(comparison.nextRelay(Start + WatchComparison::RequestInterval, relays) == "b");
}

TEST_CASE("An encoded proof keeps its newest revisions, and a proof without them has none", "[directory][silent]")
{
    RelayProof proof;
    proof.newestRevisions = {3, 1, 4, 1};
    CHECK(decodeProof(encodeProof(proof)).newestRevisions == proof.newestRevisions);
    CHECK(decodeProof(R"({"age_us":1,"hears_from_store":true,"entry_vms":2,"other_relays":[]})").newestRevisions == NewestRevisions{});
    CHECK_THROWS(decodeProof(R"({"age_us":1,"hears_from_store":true,"entry_vms":2,"other_relays":[],"newest":[1,"x",3,4]})"));
}
