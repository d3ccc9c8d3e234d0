/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/relayelection.h"

#include <algorithm>

// Handling of relays' proofs: of the leader of this zone, of the followed relay, and of other zones' relays during a search.

namespace Cloverbarrow
{

namespace
{

// How long a starting entry VM waits for a leader that starts at the same time, e.g. after all entry VMs were killed. A relay reads the directory within
// 0.1 s without processor load; the rest is a margin for slow processors. Without the wait, 18 of 24 entry VMs read it from the store, where each page is
// billed.
constexpr Duration LeaderStartTimeout = milliseconds(900);
// At this interval 80 followers send a relay about 400 requests per second.
constexpr Duration LeaderRetryInterval = milliseconds(200);

} // namespace

void RelayElection::relayChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions)
{
    const bool isProven = check.proof && check.proof->age < ProofLimit;
    if (isCheckingLeader_ && check.relay == leader_) {
        leaderChecked(now, check, isProven, actions);
    } else if (state_ == State::Following && check.relay == followed_) {
        followedChecked(now, check, isProven, actions);
    } else if (peers_.takeAnswered(check.relay)) {
        peerChecked(now, check, actions);
    } else if (pendingAnswers_ > 0) {
        otherChecked(now, check, actions);
    }
}

bool RelayElection::lacksProof(TimePoint now) const
{
    return state_ == State::Following ? now - provenAt_ > ProofLimit : isStoreUnresponsive_;
}

void RelayElection::askPeers(TimePoint now, DirectoryActions &actions)
{
    std::vector<std::string> excluded = otherRelays_;
    excluded.push_back(localAddress_);
    excluded.push_back(leader_);
    excluded.push_back(followed_);
    for (const std::string &peer : peers_.takeDue(now, excluded)) {
        actions.emplace_back(CheckRelay{peer, {}});
    }
}

void RelayElection::peerChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions)
{
    if (!lacksProof(now)) {
        return;
    }
    const auto &referral = check.referral;
    const bool hasNewLeader = learnLeader(referral, actions);
    if (check.proof && check.proof->isStoreReachable && check.proof->age < ProofLimit) {
        follow(now, check, actions);
    } else if (hasNewLeader) {
        checkLeader(actions);
    } else if (referral && referral->zone != zone_ && referral->age < ProofLimit && !check.proof) {
        peers_.addAsked(referral->relay);
        actions.emplace_back(CheckRelay{referral->relay, {}});
    }
}

bool RelayElection::learnLeader(const std::optional<RelayReferral> &referral, DirectoryActions &actions)
{
    if (!referral || referral->zone != zone_ || referral->revision <= revision_ || referral->age >= ProofLimit) {
        return false;
    }
    revision_ = referral->revision;
    leader_ = referral->relay;
    actions.emplace_back(LogDirectoryEvent{"the relay has changed, as another entry VM reports", leader_});
    return leader_ != localAddress_;
}

void RelayElection::leaderChecked(TimePoint now, const RelayChecked &check, bool isProven, DirectoryActions &actions)
{
    isCheckingLeader_ = false;
    if (isProven) {
        follow(now, check, actions);
    } else if (state_ == State::Following) {
        ++failedFollows_;
        scheduleLeaderCheck(now);
        readLeaderRecord(true, actions);
    } else if (state_ == State::Deciding) {
        leaderNotReady(now, check, actions);
    } else {
        leaveRelay(now, check.proof ? "no recent proof" : "no answer", actions);
    }
}

void RelayElection::leaderNotReady(TimePoint now, const RelayChecked &check, DirectoryActions &actions)
{
    if (!awaitLeaderUntil_) {
        awaitLeaderUntil_ = now + LeaderStartTimeout;
        searchOtherRelays(now, "the leader has no proof yet", Fallback::RetryLeader, actions);
    } else if (now < *awaitLeaderUntil_) {
        applyFallback(now, Fallback::RetryLeader, actions);
    } else {
        leaveRelay(now, check.proof ? "no recent proof" : "no answer", actions);
    }
}

void RelayElection::followedChecked(TimePoint now, const RelayChecked &check, bool isProven, DirectoryActions &actions)
{
    isChecking_ = false;
    if (!check.proof && learnLeader(check.referral, actions)) {
        checkLeader(actions);
        return;
    }
    if (!check.proof) {
        leaveRelay(now, "no answer", actions);
        return;
    }
    if (isProven) {
        provenAt_ = std::max(provenAt_, now - check.proof->age);
        storeCheckPause_ = ProofLimit;
        isCheckingStore_ = false;
        wasStoreDown_ = false;
        hasWaitedForRelay_ = false;
    }
    if (followsOtherZone() && !check.proof->isStoreReachable && now >= nextSearchAt_) {
        // Switch to another relay before the proof expires.
        nextSearchAt_ = now + CheckInterval;
        searchOtherRelays(now, "the other zone's relay cannot reach the store", leader_ == localAddress_ ? Fallback::FollowStore : Fallback::Nothing, actions);
    }
    if (!followsOtherZone()) {
        setOtherRelays(check.proof->otherRelays, actions);
    }
}

void RelayElection::otherChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions)
{
    --pendingAnswers_;
    if (check.proof && check.proof->isStoreReachable && check.proof->age < ProofLimit) {
        follow(now, check, actions);
    } else if (pendingAnswers_ == 0) {
        applyFallback(now, fallback_, actions);
    }
}

void RelayElection::searchOtherRelays(TimePoint now, const std::string &reason, Fallback fallback, DirectoryActions &actions)
{
    if (pendingAnswers_ > 0) {
        return;
    }
    searchReason_ = reason;
    fallback_ = fallback;
    for (const std::string &other : otherRelays_) {
        if (state_ != State::Following || other != followed_) {
            ++pendingAnswers_;
            actions.emplace_back(CheckRelay{other, {}});
        }
    }
    if (pendingAnswers_ == 0) {
        applyFallback(now, fallback, actions);
    }
}

void RelayElection::applyFallback(TimePoint now, Fallback fallback, DirectoryActions &actions)
{
    if (fallback != Fallback::Nothing && state_ == State::Following && leader_ == localAddress_) {
        // The store is unreachable for all relays. As the leader, this entry VM checks the store itself and so detects its return first.
        enterState(State::Leading, localAddress_, actions);
    } else if (fallback == Fallback::RetryLeader) {
        retryLeaderAt_ = now + LeaderRetryInterval / 2 + randomUpTo(LeaderRetryInterval);
    } else if (fallback == Fallback::FollowStore) {
        enterState(State::Standalone, leader_ + ": " + searchReason_, actions);
    } else if (fallback == Fallback::CheckStore && state_ == State::Following) {
        actions.emplace_back(LogDirectoryEvent{"no relay reaches the store", followed_ + " and " + std::to_string(otherRelays_.size()) + " others"});
        isCheckingStore_ = true;
        actions.emplace_back(CheckDirectory{});
    }
}

void RelayElection::setOtherRelays(const std::vector<std::string> &relays, DirectoryActions &actions)
{
    // An empty list is stale (from before the other zones' relays were elected) or comes from a relay that has not read the records yet.
    if (relays.empty() || relays == otherRelays_) {
        return;
    }
    otherRelays_ = relays;
    actions.emplace_back(LogDirectoryEvent{"relays of other zones", std::to_string(otherRelays_.size())});
}

} // namespace Cloverbarrow
