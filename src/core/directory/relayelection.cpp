/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/relayelection.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// While no relay has a recent proof, the store itself is checked with growing pauses, since each check by each entry VM is billed.
constexpr Duration MaxStoreCheckPause = milliseconds(1500);
// The followed relay checks the store as soon as a follower reports that it answers, and reads the directory again. Followers that did not wait for that read
// the directory from the store themselves.
constexpr Duration RelayRecoveryTime = RelayElection::MaxUnprovenTime - MaxStoreCheckPause;
static_assert(RelayRecoveryTime >= RelayElection::StoreCheckTimeout + milliseconds(300), "a relay that reaches the store has to have time to read it");
// After a short outage, followers wait until the relay probably reaches the store again. Without the wait, 8 of 16 entry VMs read the whole directory
// after an outage of 0.5 s. With 0.5 s changes are still applied within 2 s, which the property tests check.
constexpr Duration ShortOutageRecoveryTime = milliseconds(500);
// When and how often a relay reads which relays other zones have. These cheap reads may be stale by seconds, and at the first
// one the other relays may have just been elected.
constexpr Duration FirstOtherRelaysRead = seconds(5);
constexpr Duration OtherRelaysReadInterval = seconds(15);
// Jitter of the first read of the leader record, so that few entry VMs try to become the leader at once.
constexpr Duration FirstStartJitter = seconds(2);
// A list of 3,000 servers takes 100 KB, and after a power failure each follower requests one: 75 followers
// occupy a 10 Mbit/s link for 6 s, a 100 Mbit/s link for 0.6 s.
constexpr double FastLinkMbps = 100;
constexpr Duration SlowLinkElectionDelay = seconds(1);
constexpr Duration RestartJitter = milliseconds(30);
// A relay whose process has terminated has usually restarted by then.
constexpr Duration LeaderRecheckDelay = milliseconds(700);
constexpr Duration LeaderRecheckJitter = milliseconds(2000);
// Jitter before an entry VM replaces a relay that the store refuses, so that few try at once. The first to do so ends the calls of all others.
constexpr Duration TakeoverJitter = seconds(1);
// At the first failure the relay's process may still be restarting.
constexpr int FailedFollowsBeforeTakeover = 2;

std::string textOf(Duration duration)
{
    return std::to_string(std::chrono::floor<milliseconds>(duration).count()) + " ms";
}

} // namespace

RelayElection::RelayElection(std::string localAddress, bool isFirstStart, std::uint64_t seed, Duration electionDelay, std::string zone)
    : localAddress_(std::move(localAddress))
    , zone_(std::move(zone))
    , isFirstStart_(isFirstStart)
    , electionDelay_(electionDelay)
    , random_(seed)
{
    if (localAddress_.empty()) {
        state_ = State::Standalone;
    }
}

Duration RelayElection::electionDelayFor(double linkMbps)
{
    return linkMbps > 0 && linkMbps < FastLinkMbps ? SlowLinkElectionDelay : Duration(0);
}

void RelayElection::tick(TimePoint now, DirectoryActions &actions)
{
    if (localAddress_.empty()) {
        return;
    }
    switch (state_) {
    case State::Deciding:
        tickDeciding(now, actions);
        break;
    case State::Following:
        tickFollowing(now, actions);
        break;
    case State::Standalone:
        tickWithoutZoneRelay(now, actions);
        break;
    case State::Leading:
        tickLeading(now, actions);
        break;
    }
}

void RelayElection::tickDeciding(TimePoint now, DirectoryActions &actions)
{
    if (!leaderCheckAt_) {
        // After a restart there usually is a leader already.
        leaderCheckAt_ = now + (isFirstStart_ ? firstStartDelay() : randomUpTo(RestartJitter));
    }
    if (isRecordCallPending_ || isCheckingLeader_ || pendingAnswers_ > 0) {
        return;
    }
    if (awaitLeaderUntil_ && now >= retryLeaderAt_) {
        checkLeader(actions);
    } else if (!awaitLeaderUntil_ && now >= *leaderCheckAt_) {
        readLeaderRecord(true, actions);
    }
}

void RelayElection::tickFollowing(TimePoint now, DirectoryActions &actions)
{
    if (!isChecking_ && now >= relayCheckAt_) {
        isChecking_ = true;
        relayCheckAt_ = now + CheckInterval;
        actions.emplace_back(CheckRelay{followed_, followsOtherZone() ? std::string() : localAddress_, std::exchange(hasStoreAnswered_, false)});
    }
    if (lacksProof(now)) {
        askPeers(now, actions);
    }
    if (lacksProof(now) && now >= nextSearchAt_) {
        // Either the relay is cut off from the store, or the store is unreachable for all entry VMs.
        nextSearchAt_ = now + storeCheckPause_;
        storeCheckPause_ = std::min(storeCheckPause_ * 2, MaxStoreCheckPause);
        if (followsOtherZone()) {
            searchOtherRelays(now, "no recent proof", Fallback::CheckStore, actions);
        } else {
            // This zone's relay has already checked the other relays; checks by all of its followers too would overload them.
            applyFallback(now, Fallback::CheckStore, actions);
        }
    }
    if (followsOtherZone()) {
        tickWithoutZoneRelay(now, actions);
    }
}

void RelayElection::tickWithoutZoneRelay(TimePoint now, DirectoryActions &actions)
{
    if (!leaderCheckAt_ || now < *leaderCheckAt_ || isRecordCallPending_ || isCheckingLeader_) {
        return;
    }
    leaderCheckAt_.reset();
    if (state_ == State::Following && leader_ != localAddress_) {
        // Checking the leader is not billed; the leader record is read if the leader does not answer.
        checkLeader(actions);
    } else {
        // The leader, or an entry VM that may replace it, needs the current leader record.
        readLeaderRecord(false, actions);
    }
}

void RelayElection::tickLeading(TimePoint now, DirectoryActions &actions)
{
    if (!leaderCheckAt_) {
        leaderCheckAt_ = now + FirstOtherRelaysRead;
    }
    if (now >= *leaderCheckAt_ && !isRecordCallPending_) {
        leaderCheckAt_ = now + (otherRelays_.empty() ? FirstOtherRelaysRead : OtherRelaysReadInterval);
        readLeaderRecord(true, actions);
    }
}

void RelayElection::leaderRecordAnswered(TimePoint now, const LeaderRecordAnswered &answer, DirectoryActions &actions)
{
    isRecordCallPending_ = false;
    if (!answer.hasAnswered) {
        if (state_ == State::Deciding) {
            leaveRelay(now, "the leader record cannot be read", actions);
        } else if (state_ != State::Leading) {
            scheduleLeaderCheck(now);
        }
        return;
    }
    setOtherRelays(answer.otherRelays, actions);
    if (answer.revision == 0) {
        // This zone never had a leader, or a relay's read was too stale to return the record.
        if (state_ != State::Leading) {
            writeLeaderRecord(0, actions);
        }
        return;
    }
    if (answer.revision < revision_) {
        // The read was stale.
        if (state_ != State::Leading) {
            scheduleLeaderCheck(now);
        }
        return;
    }
    const bool isUnchanged = answer.revision == revision_;
    revision_ = answer.revision;
    leader_ = answer.leader;
    if (leader_ == localAddress_) {
        if (state_ != State::Leading) {
            leaderCheckAt_.reset();
        }
        enterState(State::Leading, localAddress_, actions);
    } else if (isUnchanged && failedFollows_ >= FailedFollowsBeforeTakeover) {
        writeLeaderRecord(revision_, actions);
    } else {
        checkLeader(actions);
    }
}

void RelayElection::relayFailed(TimePoint now, const std::string &reason, DirectoryActions &actions)
{
    if (state_ == State::Following && pendingAnswers_ == 0) {
        leaveRelay(now, reason, actions);
    }
}

void RelayElection::storeAnswered(TimePoint now, DirectoryActions &actions)
{
    isStoreUnresponsive_ = false;
    if (state_ == State::Following && std::exchange(isCheckingStore_, false)) {
        const bool hasJustReturned = std::exchange(wasStoreDown_, false);
        if (hasJustReturned || !std::exchange(hasWaitedForRelay_, true)) {
            // If the relay can reach the store, it will do so as soon as it is told.
            hasWaitedForRelay_ = true;
            hasStoreAnswered_ = true;
            relayCheckAt_ = now;
            const Duration wait = hasJustReturned ? RelayRecoveryTime : ShortOutageRecoveryTime;
            nextSearchAt_ = now + wait;
            actions.emplace_back(LogDirectoryEvent{"the store answers, waiting for the relay",
                                                   followed_ + " without a proof for " + textOf(now - provenAt_) + ", at most " + textOf(wait) + " more"});
            return;
        }
        // The relay has had no proof for longer than it needs to detect the return of the store, so it is not merely restarting.
        failedFollows_ = FailedFollowsBeforeTakeover;
        leaderCheckAt_ = now + electionDelay_ + randomUpTo(TakeoverJitter);
        enterState(State::Standalone, followed_ + ": the store answers this entry VM but not the relay", actions);
    }
}

void RelayElection::storeFailed()
{
    wasStoreDown_ = wasStoreDown_ || isCheckingStore_;
}

void RelayElection::storeReturned(DirectoryActions &actions)
{
    if (state_ == State::Leading && !isRecordCallPending_) {
        readLeaderRecord(false, actions);
    }
}

void RelayElection::storeUnresponsive(TimePoint now, DirectoryActions &actions)
{
    if (!std::exchange(isStoreUnresponsive_, true)) {
        peers_.reset();
    }
    askPeers(now, actions);
    if (now >= nextSearchAt_) {
        nextSearchAt_ = now + ProofLimit;
        searchOtherRelays(now, "the store is unresponsive", Fallback::Nothing, actions);
    }
}

void RelayElection::addPeers(const PeerAddresses &peers)
{
    peers_.addPeers(peers);
}

void RelayElection::readLeaderSoon(TimePoint now)
{
    if (state_ == State::Standalone && !localAddress_.empty()) {
        leaderCheckAt_ = now;
    }
}

RelayElection::State RelayElection::state() const
{
    return state_;
}

bool RelayElection::isRelaying() const
{
    return state_ == State::Leading || (state_ == State::Following && leader_ == localAddress_);
}

bool RelayElection::followsOwnZone() const
{
    return state_ == State::Following && !followsOtherZone();
}

std::optional<RelayReferral> RelayElection::referral(Duration age) const
{
    const bool knowsRelay = isRelaying() || followsOwnZone();
    return knowsRelay && revision_ > 0 && age < ProofLimit ? std::optional(RelayReferral{zone_, leader_, revision_, age}) : std::nullopt;
}

const std::string &RelayElection::relay() const
{
    static const std::string none;
    return state_ == State::Following ? followed_ : none;
}

const std::string &RelayElection::localAddress() const
{
    return localAddress_;
}

const std::string &RelayElection::zoneLeader() const
{
    return leader_;
}

const std::vector<std::string> &RelayElection::otherRelays() const
{
    return otherRelays_;
}

void RelayElection::checkLeader(DirectoryActions &actions)
{
    isCheckingLeader_ = true;
    actions.emplace_back(CheckRelay{leader_, localAddress_});
}

void RelayElection::follow(TimePoint now, const RelayChecked &check, DirectoryActions &actions)
{
    followed_ = check.relay;
    provenAt_ = now - check.proof->age;
    relayCheckAt_ = now;
    storeCheckPause_ = ProofLimit;
    isChecking_ = false;
    isCheckingStore_ = false;
    hasStoreAnswered_ = false;
    hasWaitedForRelay_ = false;
    isStoreUnresponsive_ = false;
    pendingAnswers_ = 0;
    peers_.reset();
    if (followsOtherZone()) {
        scheduleLeaderCheck(now);
    } else {
        failedFollows_ = 0;
        leaderCheckAt_.reset();
    }
    enterState(State::Following, followed_, actions);
}

void RelayElection::leaveRelay(TimePoint now, const std::string &reason, DirectoryActions &actions)
{
    ++failedFollows_;
    scheduleLeaderCheck(now);
    searchOtherRelays(now, reason, Fallback::FollowStore, actions);
}

bool RelayElection::followsOtherZone() const
{
    return followed_ != leader_;
}

void RelayElection::scheduleLeaderCheck(TimePoint now)
{
    leaderCheckAt_ = now + LeaderRecheckDelay + electionDelay_ + randomUpTo(LeaderRecheckJitter);
}

void RelayElection::readLeaderRecord(bool allowsStale, DirectoryActions &actions)
{
    isRecordCallPending_ = true;
    actions.emplace_back(ReadLeaderRecord{allowsStale});
}

void RelayElection::enterState(State state, const std::string &detail, DirectoryActions &actions)
{
    if (state_ == state && state != State::Following) {
        return;
    }
    state_ = state;
    const char *message = state == State::Following ? "following relay" : state == State::Leading ? "became relay" : "following the store without a relay";
    actions.emplace_back(LogDirectoryEvent{message, detail});
}

void RelayElection::writeLeaderRecord(std::int64_t expectedRevision, DirectoryActions &actions)
{
    isRecordCallPending_ = true;
    actions.emplace_back(WriteLeaderRecord{localAddress_, expectedRevision});
}

Duration RelayElection::firstStartDelay()
{
    // Entry VMs with slow links wait until those with fast ones have all tried.
    return (electionDelay_ > Duration(0) ? FirstStartJitter : Duration(0)) + randomUpTo(FirstStartJitter);
}

Duration RelayElection::randomUpTo(Duration limit)
{
    return Duration(random_.below(static_cast<std::size_t>(limit.count())));
}

} // namespace Cloverbarrow
