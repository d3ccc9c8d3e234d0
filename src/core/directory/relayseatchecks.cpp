/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/relayseat.h"

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
        leaveRelay(now, check.proof ? "no recent proof" : "no answer", actions);
    }
}

void RelaySeat::holderNotReady(TimePoint now, const RelayChecked &check, DirectoryActions &actions)
{
    if (!awaitHolderUntil_) {
        awaitHolderUntil_ = now + LeaderStartTimeout;
        search(now, "the leader has no proof yet", Fallback::TryHolderAgain, actions);
    } else if (now < *awaitHolderUntil_) {
        fallBack(now, Fallback::TryHolderAgain, actions);
    } else {
        leaveRelay(now, check.proof ? "no recent proof" : "no answer", actions);
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
        // Switch to another relay before the proof expires.
        nextQuestion_ = now + CheckInterval;
        search(now, "the other zone's relay cannot reach the store", holder_ == own_ ? Fallback::FollowStore : Fallback::Nothing, actions);
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
        // The store is unreachable for all relays. As the leader, this entry VM checks the store itself and so detects its return first.
        enter(State::Holding, own_, actions);
    } else if (fallback == Fallback::TryHolderAgain) {
        tryHolderAt_ = now + LeaderRetryInterval / 2 + upTo(LeaderRetryInterval);
    } else if (fallback == Fallback::FollowStore) {
        enter(State::Alone, holder_ + ": " + searchReason_, actions);
    } else if (fallback == Fallback::AskStore && state_ == State::Following) {
        actions.emplace_back(ReportDirectory{"no relay reaches the store", followed_ + " and " + std::to_string(others_.size()) + " others"});
        isProving_ = true;
        actions.emplace_back(CheckDirectory{});
    }
}

void RelaySeat::knowOthers(const std::vector<std::string> &relays, DirectoryActions &actions)
{
    // An empty list is stale (from before the other zones' relays were elected) or comes from a relay that has not read the records yet.
    if (relays.empty() || relays == others_) {
        return;
    }
    others_ = relays;
    actions.emplace_back(ReportDirectory{"relays of other zones", std::to_string(others_.size())});
}

} // namespace Cloverbarrow
