/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/relayseat.h"

#include <algorithm>

// The part of RelaySeat that takes answers of relays: of the own zone's, of the one that is followed, and of others when
// one is searched for.

namespace Cloverbarrow
{

namespace
{

// After all entry VMs were killed they start together, and a relay had read the directory 0.1 s later where no processor time was charged; the rest is
// room for slow processors. When its followers did not wait, 18 of 24 entry VMs read it at the store for themselves, at a price for each page.
constexpr Duration HolderStarts = milliseconds(900);
// 80 followers ask a relay some 400 times a second at this pace.
constexpr Duration HolderPause = milliseconds(200);

} // namespace

void RelaySeat::relayChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions)
{
    const bool isProven = check.proof && check.proof->age < ProofLimit;
    if (isTrying_ && check.relay == holder_) {
        holderTried(now, check, isProven, actions);
    } else if (state_ == State::Following && check.relay == followed_) {
        followedChecked(now, check, isProven, actions);
    } else if (awaited_ > 0) {
        otherChecked(now, check, actions);
    }
}

void RelaySeat::holderTried(TimePoint now, const RelayChecked &check, bool isProven, DirectoryActions &actions)
{
    isTrying_ = false;
    if (isProven) {
        follow(now, check, actions);
    } else if (state_ == State::Following) {
        ++failedFollows_;
        lookLater(now);
        readSeat(true, actions);
    } else if (state_ == State::Deciding) {
        holderNotReady(now, check, actions);
    } else {
        leaveRelay(now, check.proof ? "no news of the store" : "no answer", actions);
    }
}

void RelaySeat::holderNotReady(TimePoint now, const RelayChecked &check, DirectoryActions &actions)
{
    if (!awaitHolderUntil_) {
        awaitHolderUntil_ = now + HolderStarts;
        search(now, "the holder has no proof yet", Fallback::TryHolderAgain, actions);
    } else if (now < *awaitHolderUntil_) {
        fallBack(now, Fallback::TryHolderAgain, actions);
    } else {
        leaveRelay(now, check.proof ? "no news of the store" : "no answer", actions);
    }
}

void RelaySeat::followedChecked(TimePoint now, const RelayChecked &check, bool isProven, DirectoryActions &actions)
{
    isChecking_ = false;
    if (!check.proof) {
        leaveRelay(now, "no answer", actions);
        return;
    }
    if (isProven) {
        provenAt_ = std::max(provenAt_, now - check.proof->age);
        proofPause_ = ProofLimit;
        isProving_ = false;
        wasStoreDown_ = false;
        hasWaitedForRelay_ = false;
    }
    if (isAway() && !check.proof->hearsFromStore && now >= nextQuestion_) {
        // Better to change before its proof gets old.
        nextQuestion_ = now + CheckInterval;
        search(now, "the other zone's relay has lost the store", holder_ == own_ ? Fallback::FollowStore : Fallback::Nothing, actions);
    }
    if (!isAway()) {
        knowOthers(check.proof->otherRelays, actions);
    }
}

void RelaySeat::otherChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions)
{
    --awaited_;
    if (check.proof && check.proof->hearsFromStore && check.proof->age < ProofLimit) {
        follow(now, check, actions);
    } else if (awaited_ == 0) {
        fallBack(now, fallback_, actions);
    }
}

void RelaySeat::search(TimePoint now, const std::string &reason, Fallback fallback, DirectoryActions &actions)
{
    if (awaited_ > 0) {
        return;
    }
    searchReason_ = reason;
    fallback_ = fallback;
    for (const std::string &other : others_) {
        if (state_ != State::Following || other != followed_) {
            ++awaited_;
            actions.emplace_back(CheckRelay{other, {}});
        }
    }
    if (awaited_ == 0) {
        fallBack(now, fallback, actions);
    }
}

void RelaySeat::fallBack(TimePoint now, Fallback fallback, DirectoryActions &actions)
{
    if (fallback != Fallback::Nothing && state_ == State::Following && holder_ == own_) {
        // The store is down for all relays; its own checks tell first when it is back.
        enter(State::Holding, own_, actions);
    } else if (fallback == Fallback::TryHolderAgain) {
        tryHolderAt_ = now + HolderPause / 2 + upTo(HolderPause);
    } else if (fallback == Fallback::FollowStore) {
        enter(State::Alone, holder_ + ": " + searchReason_, actions);
    } else if (fallback == Fallback::AskStore && state_ == State::Following) {
        actions.emplace_back(ReportDirectory{"no relay has news of the store", followed_ + " and " + std::to_string(others_.size()) + " others"});
        isProving_ = true;
        actions.emplace_back(CheckDirectory{});
    }
}

void RelaySeat::knowOthers(const std::vector<std::string> &others, DirectoryActions &actions)
{
    // An empty list tells of a time before the others began, or comes from a relay that has not looked yet.
    if (others.empty() || others == others_) {
        return;
    }
    others_ = others;
    actions.emplace_back(ReportDirectory{"relays of other zones", std::to_string(others_.size())});
}

} // namespace Cloverbarrow
