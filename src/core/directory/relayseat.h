/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"
#include "core/support/random.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Whether this entry VM follows the directory at the store or at a relay. A relay is an entry VM that watches the store
/// and tells the others of its availability zone; who it is stands in one object of the store for each zone, the seat,
/// which is taken by conditional writes. A relay that cannot show that the store answers it is left at once, for a relay
/// of another zone if one can, else for the store. So nothing depends on who holds a seat but the number of calls to the
/// store.
class RelaySeat
{
public:
    enum class State {
        Deciding, ///< Has no source yet.
        Following, ///< Hears from a relay, of its own zone or of another.
        Holding, ///< Is the relay.
        Alone, ///< Follows the store for itself.
    };

    /// How often a relay is asked for its proof; while it is well, it has one at most half a second old.
    static constexpr Duration CheckInterval = milliseconds(400);
    /// A relay with an older proof has no news: changes must be in force within two seconds, an own look included.
    static constexpr Duration ProofLimit = milliseconds(1200);

    /// Longest pause between two checks of a store that was lost, give or take a quarter. What was changed when it returns is in force that
    /// much later at most.
    static constexpr Duration LongestLostPause = milliseconds(1200);
    /// How long an answer to a check of the store may take. As long as a proof then still is young enough when the next one comes: a store that
    /// answers in 0.4 s and was given 0.4 s seemed lost by turns, and followers left their relays to read it for themselves (17 times
    /// on 24 entry VMs in 5 s, 0.13 of all worth there for calls).
    static constexpr Duration StoreCheckTimeout = ProofLimit - CheckInterval * 5 / 4;

    /// @param own address under which this entry VM relays; empty means that there are no relays here.
    /// @param isFirstStart all entry VMs start together and need not hurry.
    /// @param standBack how much longer than others this entry VM waits before it takes a seat.
    RelaySeat(std::string own, bool isFirstStart, std::uint64_t seed, Duration standBack = Duration(0));
    /// @param linkMbps of this VM, 0 when not known. @return how long it stands back for VMs with faster links.
    static Duration standBackFor(double linkMbps);

    void tick(TimePoint now, DirectoryActions &actions);
    void seatAnswered(TimePoint now, const SeatAnswered &answer, DirectoryActions &actions);
    /// The relay answered a check, or did not.
    void relayChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions);
    /// A list or watch at the relay failed.
    void relayFailed(TimePoint now, DirectoryActions &actions);
    /// The store answered a call of this entry VM.
    void storeAnswered(TimePoint now, DirectoryActions &actions);
    /// The store did not answer a check of this entry VM.
    void storeFailed();
    /// Reads the seat soon, where no relay of the own zone is followed.
    void lookNow(TimePoint now);
    /// The store answers again after an outage; the seat may have been taken over meanwhile.
    void storeReturned(DirectoryActions &actions);
    /// The store has not answered this entry VM, which follows it, for long; relays may still hear from it.
    void storeSilent(TimePoint now, DirectoryActions &actions);

    State state() const;
    /// @return whether others may follow this entry VM: it holds the seat, also while it hears from another zone's relay.
    bool isRelaying() const;
    /// @return whether a relay of the own availability zone is followed.
    bool followsOwnZone() const;
    /// @return address of the relay that is followed; empty otherwise.
    const std::string &relay() const;
    /// @return address under which this entry VM relays; empty where there are no relays.
    const std::string &ownAddress() const;
    /// @return relays of other zones, as far as they are known.
    const std::vector<std::string> &otherRelays() const;

private:
    /// What is done when no relay of another zone hears from the store.
    enum class Fallback {
        Nothing,
        FollowStore,
        TryHolderAgain, ///< It may be starting, as this entry VM is.
        AskStore, ///< Whether it answers here, and so only the relay is cut off from it.
    };

    /// Asks the holder for its proof; it is followed only when that is good.
    void tryHolder(DirectoryActions &actions);
    void holderTried(TimePoint now, const RelayChecked &check, bool isProven, DirectoryActions &actions);
    void followedChecked(TimePoint now, const RelayChecked &check, bool isProven, DirectoryActions &actions);
    void otherChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions);
    void follow(TimePoint now, const RelayChecked &check, DirectoryActions &actions);
    /// The relay is not followed, or no longer.
    void leaveRelay(TimePoint now, const std::string &reason, DirectoryActions &actions);
    /// Asks the relays of other zones for their proofs, unless that is under way.
    void search(TimePoint now, const std::string &reason, Fallback fallback, DirectoryActions &actions);
    /// Takes the relays of other zones, as the store or the own zone's relay tells them.
    void knowOthers(const std::vector<std::string> &others, DirectoryActions &actions);
    void fallBack(TimePoint now, Fallback fallback, DirectoryActions &actions);
    /// A holder has no proof yet for this entry VM, which has just started.
    void holderNotReady(TimePoint now, const RelayChecked &check, DirectoryActions &actions);
    void tickDeciding(TimePoint now, DirectoryActions &actions);
    /// @return whether the relay that is followed is not the one of the own zone.
    bool isAway() const;
    /// Plans the next look at the seat, at a random time.
    void lookLater(TimePoint now);
    void readSeat(bool mayBeOld, DirectoryActions &actions);
    void enter(State state, const std::string &detail, DirectoryActions &actions);
    void write(std::int64_t expectedRevision, DirectoryActions &actions);
    void tickFollowing(TimePoint now, DirectoryActions &actions);
    /// Looks whether the own zone's relay can be followed again, or whether its seat is to be taken.
    void tickAway(TimePoint now, DirectoryActions &actions);
    void tickHolding(TimePoint now, DirectoryActions &actions);
    Duration upTo(Duration most);

    std::string own_;
    bool isFirstStart_;
    Duration standBack_;
    Random random_;
    State state_ = State::Deciding;
    std::string holder_; ///< As the seat last told.
    std::vector<std::string> others_; ///< Relays of other zones.
    std::string followed_; ///< Relay that is or was last followed.
    std::size_t awaited_ = 0; ///< Answers that a search still waits for.
    Fallback fallback_ = Fallback::Nothing; ///< Of the search.
    std::string searchReason_;
    std::int64_t revision_ = 0; ///< Of the seat; 0 while it is not known.
    bool isSeatCalling_ = false;
    bool isChecking_ = false;
    bool isTrying_ = false; ///< Waits for the first proof of a holder that is not followed yet.
    TimePoint nextQuestion_; ///< When other relays or the store are next asked whether they know more.
    Duration proofPause_{0}; ///< Between two questions to the store while no relay hears from it.
    bool isProving_ = false; ///< Waits for the store to answer or not, since the relay has no news of it.
    bool hasWaitedForRelay_ = false; ///< After the store had answered such a question.
    bool wasStoreDown_ = false; ///< The last such question had no answer.
    int failedFollows_ = 0; ///< Times in a row that a holder could not be followed.
    std::optional<TimePoint> lookAt_; ///< When the seat is looked at next.
    std::optional<TimePoint> awaitHolderUntil_; ///< While deciding: then the store is followed. Nothing before the holder was tried.
    TimePoint tryHolderAt_; ///< While deciding, after the first try.
    TimePoint checkAt_;
    TimePoint provenAt_; ///< Up to when the relay is known to have had answers of the store.
};

} // namespace Cloverbarrow
