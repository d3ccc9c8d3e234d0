/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/peersearch.h"
#include "core/directory/relayelection.h"
#include "net/relaymessages.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace Cloverbarrow;

namespace
{

const std::string LocalAddress = "10.0.0.1:7200";
const std::string FormerRelay = "10.0.0.2:7200";
const std::string NewRelay = "10.0.0.3:7200";
const std::string Peer = "10.0.0.4:7200";

/// A follower of FormerRelay, whose proof has expired, that knows Peer.
class UnprovenFollower
{
public:
    UnprovenFollower()
    {
        run(milliseconds(100));
        answer(LeaderRecordAnswered{true, FormerRelay, 5, {}});
        answer(RelayChecked{FormerRelay, RelayProof{}});
        REQUIRE(election.relay() == FormerRelay);
        election.addPeers({{Peer}, {}});
        run(seconds(2));
    }

    void run(Duration duration)
    {
        for (const TimePoint until = now_ + duration; now_ < until; now_ += milliseconds(50)) {
            DirectoryActions actions;
            election.tick(now_, actions);
            record(actions);
        }
    }

    void answer(const RelayChecked &check)
    {
        DirectoryActions actions;
        election.relayChecked(now_, check, actions);
        record(actions);
    }

    void answer(const LeaderRecordAnswered &record)
    {
        DirectoryActions actions;
        election.leaderRecordAnswered(now_, record, actions);
        this->record(actions);
    }

    bool hasChecked(const std::string &address) const
    {
        return std::any_of(checks.begin(), checks.end(), [&address](const CheckRelay &check) { return check.relay == address; });
    }

    RelayElection election{LocalAddress, false, 7, Duration(0), "bog-a"};
    std::vector<CheckRelay> checks;

private:
    void record(const DirectoryActions &actions)
    {
        for (const DirectoryAction &action : actions) {
            if (const auto *check = std::get_if<CheckRelay>(&action)) {
                checks.push_back(*check);
            }
        }
    }

    TimePoint now_ = TimePoint(seconds(50));
};

} // namespace

// Guards against a follower that stays with a partitioned relay although another one leads its zone.
TEST_CASE("A follower whose relay has no recent proof follows the relay that a peer names", "[directory][relay][referral]")
{
    UnprovenFollower follower;
    REQUIRE(follower.hasChecked(Peer));
    follower.answer(RelayChecked{Peer, std::nullopt, RelayReferral{"bog-a", NewRelay, 9, milliseconds(300)}});
    REQUIRE(follower.hasChecked(NewRelay));
    follower.answer(RelayChecked{NewRelay, RelayProof{}});
    CHECK(follower.election.relay() == NewRelay);
    CHECK(follower.election.followsOwnZone());
}

TEST_CASE("A referral is ignored unless it names a newer relay with a recent proof", "[directory][relay][referral]")
{
    UnprovenFollower follower;
    SECTION("an older leader record")
    {
        follower.answer(RelayChecked{Peer, std::nullopt, RelayReferral{"bog-a", NewRelay, 5, Duration(0)}});
    }
    SECTION("a relay that has no recent proof")
    {
        follower.answer(RelayChecked{Peer, std::nullopt, RelayReferral{"bog-a", NewRelay, 9, RelayElection::ProofLimit}});
    }
    SECTION("an entry VM that was not asked")
    {
        follower.answer(RelayChecked{"10.0.0.9:7200", std::nullopt, RelayReferral{"bog-a", NewRelay, 9, Duration(0)}});
    }
    CHECK_FALSE(follower.hasChecked(NewRelay));
    CHECK(follower.election.relay() == FormerRelay);
    CHECK(follower.election.zoneLeader() == FormerRelay);
}

TEST_CASE("A referral to the relay of another zone does not change the leader of this zone", "[directory][relay][referral]")
{
    UnprovenFollower follower;
    follower.answer(RelayChecked{Peer, std::nullopt, RelayReferral{"bog-b", NewRelay, 9, Duration(0)}});
    CHECK(follower.election.zoneLeader() == FormerRelay);
    RelayProof proof;
    proof.isStoreReachable = true;
    follower.answer(RelayChecked{NewRelay, proof});
    CHECK(follower.election.relay() == NewRelay);
    CHECK_FALSE(follower.election.followsOwnZone());
}

TEST_CASE("A relay that has been replaced refers its followers to its successor", "[directory][relay][referral]")
{
    UnprovenFollower follower;
    follower.answer(RelayChecked{FormerRelay, std::nullopt, RelayReferral{"bog-a", NewRelay, 9, Duration(0)}});
    CHECK(follower.hasChecked(NewRelay));
    CHECK(follower.election.state() == RelayElection::State::Following);
}

TEST_CASE("Peers are asked by turns, a few at a time, and not those that are checked anyway", "[directory][relay][referral]")
{
    PeerSearch search;
    search.addPeers({{"a", "b", "c", "d", "e"}, {"x", "y"}});
    std::set<std::string> asked;
    TimePoint now(seconds(50));
    for (int question = 0; question < 4; ++question) {
        const auto due = search.takeDue(now, {"c"});
        CHECK(due.size() <= PeerSearch::SameZonePeers + PeerSearch::OtherZonePeers);
        CHECK(search.takeDue(now, {}).empty());
        asked.insert(due.begin(), due.end());
        now += PeerSearch::Interval;
    }
    CHECK(asked == std::set<std::string>{"a", "b", "d", "e", "x", "y"});
    CHECK(search.takeAnswered("a"));
    CHECK_FALSE(search.takeAnswered("c"));
}

TEST_CASE("Answers to requests for a proof carry a referral, and those of earlier releases carry none", "[relay][referral]")
{
    const RelayReferral referral{"bog-a", NewRelay, 9, milliseconds(300)};
    CHECK(decodeReferral(encodeProofAnswer(std::nullopt, referral)) == referral);
    CHECK(decodeReferral(encodeProofAnswer(RelayProof{}, referral)) == referral);
    CHECK(decodeProof(encodeProofAnswer(RelayProof{}, referral)).age == Duration(0));
    CHECK(decodeReferral("{}") == std::nullopt);
    CHECK(decodeReferral(encodeProof(RelayProof{})) == std::nullopt);
    for (const char *invalid : {R"({"referral":7})",
                                R"({"referral":{"zone":"bog-a","relay":"","revision":9,"age_us":0}})",
                                R"({"referral":{"zone":"bog-a","relay":"10.0.0.3:7200","revision":0,"age_us":0}})",
                                R"({"referral":{"zone":"bog-a","relay":"10.0.0.3:7200","revision":9,"age_us":-1}})"}) {
        CAPTURE(invalid);
        CHECK_THROWS_AS(decodeReferral(invalid), std::exception);
    }
}
