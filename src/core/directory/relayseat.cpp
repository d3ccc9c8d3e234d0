/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/relayseat.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// Longest pause between a relay's checks of an unreachable store, plus the time to read the directory again. Followers that did not wait this long read
// the directory from the store themselves.
constexpr Duration RelayRecoveryTime = RelaySeat::LongestLostPause * 5 / 4 + milliseconds(700);
// After a short outage, followers wait until the relay probably reaches the store again. Without the wait, 8 of 16 entry VMs read the whole directory
// after an outage of 0.5 s. With 0.5 s changes are still applied within 2 s, which the property tests check.
constexpr Duration ShortOutageRecoveryTime = milliseconds(500);
// While no relay has a recent proof, the store itself is checked with growing pauses, since each check by each entry VM is billed.
constexpr Duration MaxStoreCheckPause = milliseconds(2400);
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
// At the first failure the relay's process may still be restarting.
constexpr int FailedFollowsBeforeTakeover = 2;

} // namespace

RelaySeat::RelaySeat(std::string localAddress, bool isFirstStart, std::uint64_t seed, Duration electionDelay)
    : own_(std::move(localAddress))
    , isFirstStart_(isFirstStart)
    , standBack_(electionDelay)
    , random_(seed)
{
    if (own_.empty()) {
        state_ = State::Alone;
    }
}

Duration RelaySeat::standBackFor(double linkMbps)
{
    return linkMbps > 0 && linkMbps < FastLinkMbps ? SlowLinkElectionDelay : Duration(0);
}

void RelaySeat::tick(TimePoint now, DirectoryActions &actions)
{
    if (own_.empty()) {
        return;
    }
    switch (state_) {
    case State::Deciding:
        tickDeciding(now, actions);
        break;
    case State::Following:
        tickFollowing(now, actions);
        break;
    case State::Alone:
        tickAway(now, actions);
        break;
    case State::Holding:
        tickHolding(now, actions);
        break;
    }
}

void RelaySeat::tickDeciding(TimePoint now, DirectoryActions &actions)
{
    if (!lookAt_) {
        // After a restart there usually is a leader already.
        lookAt_ = now + (isFirstStart_ ? standBack_ + upTo(FirstStartJitter) : upTo(RestartJitter));
    }
    if (isSeatCalling_ || isTrying_ || awaited_ > 0) {
        return;
    }
    if (awaitHolderUntil_ && now >= tryHolderAt_) {
        tryHolder(actions);
    } else if (!awaitHolderUntil_ && now >= *lookAt_) {
        readSeat(true, actions);
    }
}

void RelaySeat::tickFollowing(TimePoint now, DirectoryActions &actions)
{
    if (!isChecking_ && now >= checkAt_) {
        isChecking_ = true;
        checkAt_ = now + CheckInterval;
        actions.emplace_back(CheckRelay{followed_, isAway() ? std::string() : own_});
    }
    if (now - provenAt_ > ProofLimit && now >= nextQuestion_) {
        // Either the relay is cut off from the store, or the store is unreachable for all entry VMs.
        nextQuestion_ = now + proofPause_;
        proofPause_ = std::min(proofPause_ * 2, MaxStoreCheckPause);
        if (isAway()) {
            search(now, "no recent proof", Fallback::AskStore, actions);
        } else {
            // This zone's relay has already checked the other relays; checks by all of its followers too would overload them.
            fallBack(now, Fallback::AskStore, actions);
        }
    }
    if (isAway()) {
        tickAway(now, actions);
    }
}

void RelaySeat::tickAway(TimePoint now, DirectoryActions &actions)
{
    if (!lookAt_ || now < *lookAt_ || isSeatCalling_ || isTrying_) {
        return;
    }
    lookAt_.reset();
    if (state_ == State::Following && holder_ != own_) {
        // Checking the leader is not billed; the leader record is read if the leader does not answer.
        tryHolder(actions);
    } else {
        // The leader, or an entry VM that may replace it, needs the current leader record.
        readSeat(false, actions);
    }
}

void RelaySeat::tickHolding(TimePoint now, DirectoryActions &actions)
{
    if (!lookAt_) {
        lookAt_ = now + FirstOtherRelaysRead;
    }
    if (now >= *lookAt_ && !isSeatCalling_) {
        lookAt_ = now + (others_.empty() ? FirstOtherRelaysRead : OtherRelaysReadInterval);
        readSeat(true, actions);
    }
}

void RelaySeat::seatAnswered(TimePoint now, const SeatAnswered &answer, DirectoryActions &actions)
{
    isSeatCalling_ = false;
    if (!answer.hasAnswered) {
        if (state_ == State::Deciding) {
            leaveRelay(now, "the leader record cannot be read", actions);
        } else if (state_ != State::Holding) {
            lookLater(now);
        }
        return;
    }
    knowOthers(answer.others, actions);
    if (answer.revision == 0) {
        // This zone never had a leader, or a relay's read was too stale to return the record.
        if (state_ != State::Holding) {
            write(0, actions);
        }
        return;
    }
    if (answer.revision < revision_) {
        // The read was stale.
        if (state_ != State::Holding) {
            lookLater(now);
        }
        return;
    }
    const bool isUnchanged = answer.revision == revision_;
    revision_ = answer.revision;
    holder_ = answer.holder;
    if (holder_ == own_) {
        if (state_ != State::Holding) {
            lookAt_.reset();
        }
        enter(State::Holding, own_, actions);
    } else if (isUnchanged && failedFollows_ >= FailedFollowsBeforeTakeover) {
        write(revision_, actions);
    } else {
        tryHolder(actions);
    }
}

void RelaySeat::relayFailed(TimePoint now, DirectoryActions &actions)
{
    if (state_ == State::Following && awaited_ == 0) {
        leaveRelay(now, "a list or watch failed", actions);
    }
}

void RelaySeat::storeAnswered(TimePoint now, DirectoryActions &actions)
{
    if (state_ == State::Following && std::exchange(isProving_, false)) {
        const bool hasJustReturned = std::exchange(wasStoreDown_, false);
        if (hasJustReturned || !std::exchange(hasWaitedForRelay_, true)) {
            // If the relay can reach the store, it will do so soon.
            hasWaitedForRelay_ = true;
            nextQuestion_ = now + (hasJustReturned ? RelayRecoveryTime : ShortOutageRecoveryTime);
            return;
        }
        ++failedFollows_;
        lookLater(now);
        enter(State::Alone, followed_ + ": the store answers this entry VM but not the relay", actions);
    }
}

void RelaySeat::storeFailed()
{
    wasStoreDown_ = wasStoreDown_ || isProving_;
}

void RelaySeat::storeReturned(DirectoryActions &actions)
{
    if (state_ == State::Holding && !isSeatCalling_) {
        readSeat(false, actions);
    }
}

void RelaySeat::storeSilent(TimePoint now, DirectoryActions &actions)
{
    if (now >= nextQuestion_) {
        nextQuestion_ = now + ProofLimit;
        search(now, "the store is unresponsive", Fallback::Nothing, actions);
    }
}

void RelaySeat::lookNow(TimePoint now)
{
    if (state_ == State::Alone && !own_.empty()) {
        lookAt_ = now;
    }
}

RelaySeat::State RelaySeat::state() const
{
    return state_;
}

bool RelaySeat::isRelaying() const
{
    return state_ == State::Holding || (state_ == State::Following && holder_ == own_);
}

bool RelaySeat::followsOwnZone() const
{
    return state_ == State::Following && !isAway();
}

const std::string &RelaySeat::relay() const
{
    static const std::string none;
    return state_ == State::Following ? followed_ : none;
}

const std::string &RelaySeat::ownAddress() const
{
    return own_;
}

const std::vector<std::string> &RelaySeat::otherRelays() const
{
    return others_;
}

void RelaySeat::tryHolder(DirectoryActions &actions)
{
    isTrying_ = true;
    actions.emplace_back(CheckRelay{holder_, own_});
}

void RelaySeat::follow(TimePoint now, const RelayChecked &check, DirectoryActions &actions)
{
    followed_ = check.relay;
    provenAt_ = now - check.proof->age;
    checkAt_ = now;
    proofPause_ = ProofLimit;
    isChecking_ = false;
    isProving_ = false;
    hasWaitedForRelay_ = false;
    awaited_ = 0;
    if (isAway()) {
        lookLater(now);
    } else {
        failedFollows_ = 0;
        lookAt_.reset();
    }
    enter(State::Following, followed_, actions);
}

void RelaySeat::leaveRelay(TimePoint now, const std::string &reason, DirectoryActions &actions)
{
    ++failedFollows_;
    lookLater(now);
    search(now, reason, Fallback::FollowStore, actions);
}

bool RelaySeat::isAway() const
{
    return followed_ != holder_;
}

void RelaySeat::lookLater(TimePoint now)
{
    lookAt_ = now + LeaderRecheckDelay + standBack_ + upTo(LeaderRecheckJitter);
}

void RelaySeat::readSeat(bool allowsStale, DirectoryActions &actions)
{
    isSeatCalling_ = true;
    actions.emplace_back(ReadSeat{allowsStale});
}

void RelaySeat::enter(State state, const std::string &detail, DirectoryActions &actions)
{
    if (state_ == state && state != State::Following) {
        return;
    }
    state_ = state;
    const char *message = state == State::Following ? "following relay" : state == State::Holding ? "became relay" : "following the store without a relay";
    actions.emplace_back(ReportDirectory{message, detail});
}

void RelaySeat::write(std::int64_t expectedRevision, DirectoryActions &actions)
{
    isSeatCalling_ = true;
    actions.emplace_back(WriteSeat{own_, expectedRevision});
}

Duration RelaySeat::upTo(Duration limit)
{
    return Duration(random_.below(static_cast<std::size_t>(limit.count())));
}

} // namespace Cloverbarrow
