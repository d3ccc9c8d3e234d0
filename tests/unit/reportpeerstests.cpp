/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/fleetestimate.h"
#include "core/directory/limitexchange.h"
#include "core/directory/reportpeers.h"
#include "net/crashjson.h"
#include "net/relaymessages.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

const TimePoint Start = TimePoint(seconds(100));

using Addresses = std::vector<std::string>;

} // namespace

TEST_CASE("Standbys and the relay that named them are kept as substitutes, those named last first", "[standby]")
{
    ReportPeers peers("own:1");
    CHECK(peers.substitutes().empty());
    peers.setStandbys("relay:1", Addresses{"a:1", "own:1", "b:1"});
    CHECK(peers.isStandby());
    CHECK(peers.substitutes() == Addresses{"a:1", "b:1", "relay:1"});
    SECTION("those of a later relay come first")
    {
        peers.setStandbys("relay:2", Addresses{"b:1", "c:1"});
        CHECK(peers.substitutes() == Addresses{"b:1", "c:1", "a:1", "relay:2"});
    }
    SECTION("a relay that names no standbys yet removes none")
    {
        peers.setStandbys("relay:1", {});
        CHECK(peers.substitutes() == Addresses{"a:1", "b:1", "relay:1"});
    }
    SECTION("the number of kept standbys is limited")
    {
        peers.setStandbys("relay:2", Addresses{"c:1", "d:1", "e:1"});
        peers.setStandbys("relay:2", Addresses{"f:1", "g:1", "h:1"});
        CHECK(peers.substitutes() == Addresses{"f:1", "g:1", "h:1", "c:1", "d:1", "e:1", "relay:2"});
        CHECK_FALSE(peers.isStandby());
    }
}

TEST_CASE("An entry VM that requests reports receives them until the request has expired", "[standby]")
{
    ReportPeers peers("own:1");
    peers.onRequest(Start, "a:1");
    peers.onRequest(Start + seconds(1), "b:1");
    CHECK(peers.requesters(Start + ReportPeers::RequesterLifetime) == Addresses{"a:1", "b:1"});
    CHECK(peers.requesters(Start + ReportPeers::RequesterLifetime + milliseconds(1)) == Addresses{"b:1"});
}

TEST_CASE("The active followers with the lowest ranks are the standbys", "[standby][fleet]")
{
    FleetEstimate fleet(1);
    CHECK(fleet.standbys(Start).empty());
    for (const char *follower : {"d:1", "c:1", "b:1", "a:1"}) {
        fleet.onFollowerRequest(Start, follower);
    }
    CHECK(fleet.standbys(Start) == Addresses{"d:1", "c:1", "b:1"});
    fleet.onFollowerRequest(Start + seconds(4), "a:1");
    CHECK(fleet.standbys(Start + seconds(6)) == Addresses{"a:1"});
}

TEST_CASE("An encoded proof keeps its standbys, and too many are rejected", "[standby][relay]")
{
    RelayProof proof;
    CHECK(decodeProof(encodeProof(proof)).standbys.empty());
    proof.standbys = {"a:1", "b:1"};
    CHECK(decodeProof(encodeProof(proof)).standbys == proof.standbys);
    proof.standbys = Addresses(1000, "a:1");
    CHECK_THROWS(decodeProof(encodeProof(proof)));
}

TEST_CASE("An answer to a request for crash reports names its sender", "[standby][crash]")
{
    CrashUpdateMessage message;
    message.replyFrom = "a:1";
    CHECK(decodeCrashUpdates(encodeCrashUpdates(message)) == message);
    CHECK(decodeCrashUpdates(R"({"answer_to":"","news":[]})").replyFrom.empty());
    CHECK_THROWS(decodeCrashUpdates(R"({"answer_to":"","news":[],"answer_of":1})"));
}

TEST_CASE("A peer that announces no version is polled for request limits", "[standby][limit]")
{
    LimitExchange local(1);
    LimitExchange peer(2);
    const LimitPeers peers{{}, {"a:1"}};
    const auto exchange = [&](TimePoint now) {
        const auto due = local.takeDueMessages(now, peers);
        for (const LimitExchange::Message &message : due) {
            local.onAnswer(message, peer.onUpdate(message.update));
        }
        return due.size();
    };
    CHECK(exchange(Start) == 1);
    CHECK(exchange(Start + milliseconds(300)) == 0);
    peer.serverReported({"i-1", 2.0, Start});
    CHECK(exchange(Start + milliseconds(400)) == 1);
    const auto learned = local.takeLearned();
    REQUIRE(learned.size() == 1);
    CHECK(learned.front().server == "i-1");
    CHECK(local.takeDueMessages(Start + seconds(5), {}).empty());
}
