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

// A relay checks a lost store this often at least, and then reads the directory again. Followers that did not wait as long read it for themselves.
constexpr Duration RelayRecovery = RelaySeat::LongestLostPause * 5 / 4 + milliseconds(700);
// After a short outage followers ask when the relay is about to hear from the store again: had they not waited, 8 of 16 entry VMs would have
// read the whole directory after 0.5 s without the store. With 0.5 s a change still is in force within two, as properties show.
constexpr Duration ShortRecovery = milliseconds(500);
// While no relay has news, the store itself is asked, with growing pauses: each question of each entry VM is paid for.
constexpr Duration MaxProofPause = milliseconds(2400);
// When and how often a relay looks who relays for other zones. Such cheap reads may tell what was seconds ago, and the first
// time all relays may just have begun.
constexpr Duration OthersFirst = seconds(5);
constexpr Duration OthersInterval = seconds(15);
// Spreads the first looks, so that few entry VMs try to take the seat at once.
constexpr Duration FirstStartSpread = seconds(2);
// A list of 3,000 servers has 100 KB, and after a power cut each follower asks for one: 75 of them keep a
// link of 10 Mbit/s busy for 6 s, one of 100 Mbit/s for 0.6 s.
constexpr double FastLinkMbps = 100;
constexpr Duration SlowLinkStandBack = seconds(1);
constexpr Duration RestartSpread = milliseconds(30);
// A relay whose process ended is usually back by then.
constexpr Duration FirstLookAgain = milliseconds(700);
constexpr Duration LookAgainSpread = milliseconds(2000);
// The first time its process may just have been starting again.
constexpr int FollowsBeforeTakeOver = 2;

} // namespace

RelaySeat::RelaySeat(std::string own, bool isFirstStart, std::uint64_t seed, Duration standBack)
    : own_(std::move(own))
    , isFirstStart_(isFirstStart)
    , standBack_(standBack)
    , random_(seed)
{
    if (own_.empty()) {
        state_ = State::Alone;
    }
}

Duration RelaySeat::standBackFor(double linkMbps)
{
    return linkMbps > 0 && linkMbps < FastLinkMbps ? SlowLinkStandBack : Duration(0);
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
        // After a restart the seat is mostly held already.
        lookAt_ = now + (isFirstStart_ ? standBack_ + upTo(FirstStartSpread) : upTo(RestartSpread));
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
        // Either the relay is cut off from the store, or the store is down for all.
        nextQuestion_ = now + proofPause_;
        proofPause_ = std::min(proofPause_ * 2, MaxProofPause);
        if (isAway()) {
            search(now, "no news of the store", Fallback::AskStore, actions);
        } else {
            // The own zone's relay has asked the others already; all its followers doing so too would be too much for them.
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
        // Asking the holder costs nothing; the seat is read when it does not answer.
        tryHolder(actions);
    } else {
        // Whoever holds the seat, or means to take it, needs to know how it stands now.
        readSeat(false, actions);
    }
}

void RelaySeat::tickHolding(TimePoint now, DirectoryActions &actions)
{
    if (!lookAt_) {
        lookAt_ = now + OthersFirst;
    }
    if (now >= *lookAt_ && !isSeatCalling_) {
        lookAt_ = now + (others_.empty() ? OthersFirst : OthersInterval);
        readSeat(true, actions);
    }
}

void RelaySeat::seatAnswered(TimePoint now, const SeatAnswered &answer, DirectoryActions &actions)
{
    isSeatCalling_ = false;
    if (!answer.hasAnswered) {
        if (state_ == State::Deciding) {
            leaveRelay(now, "the seat cannot be read", actions);
        } else if (state_ != State::Holding) {
            lookLater(now);
        }
        return;
    }
    knowOthers(answer.others, actions);
    if (answer.revision == 0) {
        // Nobody has ever relayed here, or a relay reads a seat that is not told yet.
        if (state_ != State::Holding) {
            write(0, actions);
        }
        return;
    }
    if (answer.revision < revision_) {
        // The store told of the past.
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
    } else if (isUnchanged && failedFollows_ >= FollowsBeforeTakeOver) {
        write(revision_, actions);
    } else {
        tryHolder(actions);
    }
}

void RelaySeat::relayFailed(TimePoint now, DirectoryActions &actions)
{
    if (state_ == State::Following && awaited_ == 0) {
        leaveRelay(now, "a call failed", actions);
    }
}

void RelaySeat::storeAnswered(TimePoint now, DirectoryActions &actions)
{
    if (state_ == State::Following && std::exchange(isProving_, false)) {
        const bool hasJustReturned = std::exchange(wasStoreDown_, false);
        if (hasJustReturned || !std::exchange(hasWaitedForRelay_, true)) {
            // The relay hears from it soon, if it does at all.
            hasWaitedForRelay_ = true;
            nextQuestion_ = now + (hasJustReturned ? RelayRecovery : ShortRecovery);
            return;
        }
        ++failedFollows_;
        lookLater(now);
        enter(State::Alone, followed_ + ": the store answers here and not there", actions);
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
        search(now, "the store is silent", Fallback::Nothing, actions);
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
    lookAt_ = now + FirstLookAgain + standBack_ + upTo(LookAgainSpread);
}

void RelaySeat::readSeat(bool mayBeOld, DirectoryActions &actions)
{
    isSeatCalling_ = true;
    actions.emplace_back(ReadSeat{mayBeOld});
}

void RelaySeat::enter(State state, const std::string &detail, DirectoryActions &actions)
{
    if (state_ == state && state != State::Following) {
        return;
    }
    state_ = state;
    const char *what = state == State::Following ? "follows relay" : state == State::Holding ? "is relay" : "follows the store alone";
    actions.emplace_back(ReportDirectory{what, detail});
}

void RelaySeat::write(std::int64_t expectedRevision, DirectoryActions &actions)
{
    isSeatCalling_ = true;
    actions.emplace_back(WriteSeat{own_, expectedRevision});
}

Duration RelaySeat::upTo(Duration most)
{
    return Duration(random_.below(static_cast<std::size_t>(most.count())));
}

} // namespace Cloverbarrow
