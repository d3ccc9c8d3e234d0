/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/relayseat.h"

#include <utility>

namespace Cloverbarrow
{

namespace
{

// Changes must be in force within two seconds; a relay without news of the store is left early enough for an own look. A
// relay that is well has news at most half a second old, and is asked every 0.4 s.
constexpr Duration ProofLimit = milliseconds(1200);
constexpr Duration RelayCheckInterval = milliseconds(400);
// Spreads the first looks, so that few entry VMs try to take the seat at once.
constexpr Duration FirstStartSpread = seconds(3);
constexpr Duration RestartSpread = milliseconds(30);
// A relay whose process ended is usually back by then.
constexpr Duration FirstLookAgain = milliseconds(700);
constexpr Duration LookAgainSpread = milliseconds(2000);
// The first time its process may just have been starting again.
constexpr int FollowsBeforeTakeOver = 2;

} // namespace

RelaySeat::RelaySeat(std::string own, bool isFirstStart, std::uint64_t seed)
    : own_(std::move(own))
    , isFirstStart_(isFirstStart)
    , random_(seed)
{
    if (own_.empty()) {
        state_ = State::Alone;
    }
}

void RelaySeat::tick(TimePoint now, DirectoryActions &actions)
{
    if (own_.empty()) {
        return;
    }
    switch (state_) {
    case State::Deciding:
        if (!lookAt_) {
            lookAt_ = now + upTo(isFirstStart_ ? FirstStartSpread : RestartSpread);
        }
        if (now >= *lookAt_ && !isSeatCalling_ && !isTrying_) {
            isSeatCalling_ = true;
            actions.emplace_back(ReadSeat{true});
        }
        break;
    case State::Following:
        tickFollowing(now, actions);
        break;
    case State::Alone:
        tickAlone(now, actions);
        break;
    case State::Holding:
        break;
    }
}

void RelaySeat::tickFollowing(TimePoint now, DirectoryActions &actions)
{
    if (!isChecking_ && now >= checkAt_) {
        isChecking_ = true;
        checkAt_ = now + RelayCheckInterval;
        actions.emplace_back(CheckRelay{holder_, own_});
    }
    if (now - provenAt_ > ProofLimit) {
        // Either the relay is cut off from the store, or the store is down for all: an own call shows which.
        actions.emplace_back(ReportDirectory{"relay without news of the store", holder_});
        provenAt_ = now;
        isProving_ = true;
        actions.emplace_back(CheckDirectory{});
    }
}

void RelaySeat::tickAlone(TimePoint now, DirectoryActions &actions)
{
    if (lookAt_ && now >= *lookAt_ && !isSeatCalling_ && !isTrying_) {
        lookAt_.reset();
        isSeatCalling_ = true;
        actions.emplace_back(ReadSeat{false});
    }
}

void RelaySeat::seatAnswered(TimePoint now, const SeatAnswered &answer, DirectoryActions &actions)
{
    isSeatCalling_ = false;
    if (!answer.hasAnswered) {
        if (state_ == State::Deciding) {
            enter(State::Alone, "the seat cannot be read", actions);
        }
        lookAt_ = now + FirstLookAgain + upTo(LookAgainSpread);
        return;
    }
    if (answer.revision == 0) {
        // Nobody has ever relayed here, or a relay reads a seat that is not told yet.
        if (state_ != State::Holding) {
            write(0, actions);
        }
        return;
    }
    const bool isUnchanged = answer.revision == revision_;
    revision_ = answer.revision;
    holder_ = answer.holder;
    if (holder_ == own_) {
        enter(State::Holding, own_, actions);
    } else if (isUnchanged && failedFollows_ >= FollowsBeforeTakeOver) {
        write(revision_, actions);
    } else {
        tryHolder(actions);
    }
}

void RelaySeat::relayChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions)
{
    if (check.relay != holder_) {
        return;
    }
    const bool isProven = check.proof && check.proof->age < ProofLimit;
    if (std::exchange(isTrying_, false)) {
        if (isProven) {
            follow(now - check.proof->age, actions);
        } else {
            holderFailed(now, check.proof ? "no news of the store" : "no answer", actions);
        }
        return;
    }
    isChecking_ = false;
    if (state_ != State::Following) {
        return;
    }
    if (!check.proof) {
        holderFailed(now, "no answer", actions);
    } else if (isProven) {
        provenAt_ = std::max(provenAt_, now - check.proof->age);
        isProving_ = false;
    }
}

void RelaySeat::relayFailed(TimePoint now, DirectoryActions &actions)
{
    if (state_ == State::Following) {
        holderFailed(now, "a call failed", actions);
    }
}

void RelaySeat::storeAnswered(TimePoint now, DirectoryActions &actions)
{
    if (state_ == State::Following && std::exchange(isProving_, false)) {
        holderFailed(now, "the store answers here and not there", actions);
    }
}

void RelaySeat::storeReturned(DirectoryActions &actions)
{
    if (state_ == State::Holding && !isSeatCalling_) {
        isSeatCalling_ = true;
        actions.emplace_back(ReadSeat{false});
    }
}

RelaySeat::State RelaySeat::state() const
{
    return state_;
}

const std::string &RelaySeat::relay() const
{
    static const std::string none;
    return state_ == State::Following ? holder_ : none;
}

void RelaySeat::tryHolder(DirectoryActions &actions)
{
    isTrying_ = true;
    actions.emplace_back(CheckRelay{holder_, own_});
}

void RelaySeat::follow(TimePoint provenAt, DirectoryActions &actions)
{
    provenAt_ = provenAt;
    checkAt_ = provenAt;
    isChecking_ = false;
    isProving_ = false;
    failedFollows_ = 0;
    enter(State::Following, holder_, actions);
}

void RelaySeat::holderFailed(TimePoint now, const std::string &reason, DirectoryActions &actions)
{
    ++failedFollows_;
    lookAt_ = now + FirstLookAgain + upTo(LookAgainSpread);
    enter(State::Alone, holder_ + ": " + reason, actions);
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
