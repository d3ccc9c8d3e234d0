/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"
#include "core/random.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cloverbarrow
{

/// Whether this entry VM follows the directory at the store or at the relay of its availability zone. A relay is an
/// entry VM that watches the store and tells the others of its zone; who it is stands in one object of the store, the
/// seat, which is taken by conditional writes. A relay that cannot show that the store answers it is left at once, so
/// nothing depends on who holds the seat but the number of calls to the store.
class RelaySeat
{
public:
    enum class State {
        Deciding, ///< Has no source yet.
        Following, ///< Hears from the relay.
        Holding, ///< Is the relay.
        Alone, ///< Follows the store for itself.
    };

    /// @param own address under which this entry VM relays; empty means that there are no relays here.
    /// @param isFirstStart all entry VMs start together and need not hurry.
    RelaySeat(std::string own, bool isFirstStart, std::uint64_t seed);

    void tick(TimePoint now, DirectoryActions &actions);
    void seatAnswered(TimePoint now, const SeatAnswered &answer, DirectoryActions &actions);
    /// The relay answered a check, or did not.
    void relayChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions);
    /// A list or watch at the relay failed.
    void relayFailed(TimePoint now, DirectoryActions &actions);
    /// The store answered a call of this entry VM.
    void storeAnswered(TimePoint now, DirectoryActions &actions);
    /// The store answers again after an outage; the seat may have been taken over meanwhile.
    void storeReturned(DirectoryActions &actions);

    State state() const;
    /// @return address of the relay that is followed; empty otherwise.
    const std::string &relay() const;

private:
    /// Asks the holder for its proof; it is followed only when that is good.
    void tryHolder(DirectoryActions &actions);
    void follow(TimePoint provenAt, DirectoryActions &actions);
    /// The holder is not followed, or no longer.
    void holderFailed(TimePoint now, const std::string &reason, DirectoryActions &actions);
    void enter(State state, const std::string &detail, DirectoryActions &actions);
    void write(std::int64_t expectedRevision, DirectoryActions &actions);
    void tickFollowing(TimePoint now, DirectoryActions &actions);
    void tickAlone(TimePoint now, DirectoryActions &actions);
    Duration upTo(Duration most);

    std::string own_;
    bool isFirstStart_;
    Random random_;
    State state_ = State::Deciding;
    std::string holder_; ///< As the seat last told.
    std::int64_t revision_ = 0; ///< Of the seat; 0 while it is not known.
    bool isSeatCalling_ = false;
    bool isChecking_ = false;
    bool isTrying_ = false; ///< Waits for the first proof of a holder that is not followed yet.
    bool isProving_ = false; ///< Waits for the store to answer or not, since the relay has no news of it.
    int failedFollows_ = 0; ///< Times in a row that a holder could not be followed.
    std::optional<TimePoint> lookAt_; ///< When the seat is looked at next.
    TimePoint checkAt_;
    TimePoint provenAt_; ///< Up to when the relay is known to have had answers of the store.
};

} // namespace Cloverbarrow
