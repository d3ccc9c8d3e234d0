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

TEST_CASE("Standbys and the relay that named them are remembered, the latest named first", "[standby]")
{
    ReportPeers peers("own:1");
    CHECK(peers.substitutes().empty());
    peers.named("relay:1", Addresses{"a:1", "own:1", "b:1"});
    CHECK(peers.isStandby());
    CHECK(peers.substitutes() == Addresses{"a:1", "b:1", "relay:1"});
    SECTION("those of a later relay come first")
    {
        peers.named("relay:2", Addresses{"b:1", "c:1"});
        CHECK(peers.substitutes() == Addresses{"b:1", "c:1", "a:1", "relay:2"});
    }
    SECTION("a relay that names nobody yet changes none")
    {
        peers.named("relay:1", {});
        CHECK(peers.substitutes() == Addresses{"a:1", "b:1", "relay:1"});
    }
    SECTION("not more than are kept")
    {
        peers.named("relay:2", Addresses{"c:1", "d:1", "e:1"});
        peers.named("relay:2", Addresses{"f:1", "g:1", "h:1"});
        CHECK(peers.substitutes() == Addresses{"f:1", "g:1", "h:1", "c:1", "d:1", "e:1", "relay:2"});
        CHECK_FALSE(peers.isStandby());
    }
}

TEST_CASE("An entry VM that asks for reports gets them for some time, and no longer", "[standby]")
{
    ReportPeers peers("own:1");
    peers.asked(Start, "a:1");
    peers.asked(Start + seconds(1), "b:1");
    CHECK(peers.askers(Start + ReportPeers::AskerLifetime) == Addresses{"a:1", "b:1"});
    CHECK(peers.askers(Start + ReportPeers::AskerLifetime + milliseconds(1)) == Addresses{"b:1"});
}

TEST_CASE("The followers with the lowest places that still ask are the standbys", "[standby][fleet]")
{
    FleetEstimate fleet(1);
    CHECK(fleet.standbys(Start).empty());
    for (const char *follower : {"d:1", "c:1", "b:1", "a:1"}) {
        fleet.followerAsked(Start, follower);
    }
    CHECK(fleet.standbys(Start) == Addresses{"d:1", "c:1", "b:1"});
    fleet.followerAsked(Start + seconds(4), "a:1");
    CHECK(fleet.standbys(Start + seconds(6)) == Addresses{"a:1"});
}

TEST_CASE("A proof names standbys, and too many are an error", "[standby][relay]")
{
    RelayProof proof;
    CHECK(decodeProof(encodeProof(proof)).standbys.empty());
    proof.standbys = {"a:1", "b:1"};
    CHECK(decodeProof(encodeProof(proof)).standbys == proof.standbys);
    proof.standbys = Addresses(1000, "a:1");
    CHECK_THROWS(decodeProof(encodeProof(proof)));
}

TEST_CASE("An answer to a question for crash reports tells who gives it", "[standby][crash]")
{
    CrashNewsMessage message;
    message.answerOf = "a:1";
    CHECK(decodeCrashNews(encodeCrashNews(message)) == message);
    CHECK(decodeCrashNews(R"({"answer_to":"","news":[]})").answerOf.empty());
    CHECK_THROWS(decodeCrashNews(R"({"answer_to":"","news":[],"answer_of":1})"));
}

TEST_CASE("A peer that shows no version is polled for request limits", "[standby][limit]")
{
    LimitExchange own(1);
    LimitExchange peer(2);
    const LimitPeers peers{{}, {"a:1"}};
    const auto exchange = [&](TimePoint now) {
        const auto due = own.takeDue(now, peers);
        for (const LimitExchange::Message &message : due) {
            own.answered(message, peer.take(message.update));
        }
        return due.size();
    };
    CHECK(exchange(Start) == 1);
    CHECK(exchange(Start + milliseconds(300)) == 0);
    peer.heard({"i-1", 2.0, Start});
    CHECK(exchange(Start + milliseconds(400)) == 1);
    const auto learnt = own.takeLearnt();
    REQUIRE(learnt.size() == 1);
    CHECK(learnt.front().server == "i-1");
    CHECK(own.takeDue(Start + seconds(5), {}).empty());
}
