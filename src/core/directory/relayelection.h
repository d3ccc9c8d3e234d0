/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"
#include "core/directory/peersearch.h"
#include "core/support/random.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Elects the relay of an availability zone and decides whether this entry VM follows the directory at the store or at a relay. A relay is an
/// entry VM that watches the store and forwards changes to the other entry VMs of its zone. The leader record, one store object per zone, names the
/// relay and is acquired by conditional writes. A relay that cannot prove that the store answers it is abandoned at once, in favour of a relay of
/// another zone that can, else of the store. Correctness therefore does not depend on who is the leader, only the number of store calls does.
class RelayElection
{
public:
    enum class State {
        Deciding, ///< Has no source yet.
        Following, ///< Follows a relay, of its own zone or of another.
        Leading, ///< Is the relay and follows the store.
        Standalone, ///< Follows the store without being the relay.
    };

    /// Interval between requests for a relay's proof. The proof of a working relay is at most 0.5 s old.
    static constexpr Duration CheckInterval = milliseconds(400);
    /// Maximum age of a proof. A relay with an older one counts as cut off from the store: changes must be applied within 2 s, including a check of
    /// the store by the follower.
    static constexpr Duration ProofLimit = milliseconds(1200);

    /// Longest time between the end of a partition from the store and the decision to read the store without a relay. An entry VM has to act on the newest
    /// state 3 s after the end; the rest of this time is for reading the directory.
    static constexpr Duration MaxUnprovenTime = milliseconds(2500);

    /// Longest pause between checks of an unreachable store, plus or minus a quarter. Changes are applied at most this much later after the store
    /// is reachable again.
    static constexpr Duration MaxUnreachableCheckPause = milliseconds(1200);
    /// Timeout of a store check: the longest after which a proof is still recent enough when the next one arrives. With 0.4 s, a store that answers
    /// in 0.4 s seemed unreachable intermittently, and followers left their relays to read the store themselves: 17 times on 24 entry VMs within 5 s,
    /// which cost 0.13 of the total value in calls.
    static constexpr Duration StoreCheckTimeout = ProofLimit - CheckInterval * 5 / 4;

    /// @param localAddress address at which this entry VM serves followers; empty if relays are not used.
    /// @param isFirstStart whether all entry VMs start together, so that the election may take longer.
    /// @param electionDelay additional time for which this entry VM waits before it tries to become the leader.
    /// @param zone availability zone of this entry VM.
    RelayElection(std::string localAddress, bool isFirstStart, std::uint64_t seed, Duration electionDelay = Duration(0), std::string zone = {});
    /// @param linkMbps network bandwidth of this VM in Mbit/s, 0 if unknown. @return the election delay that gives precedence to VMs with faster links.
    static Duration electionDelayFor(double linkMbps);

    void tick(TimePoint now, DirectoryActions &actions);
    void leaderRecordAnswered(TimePoint now, const LeaderRecordAnswered &answer, DirectoryActions &actions);
    /// A relay check has ended, with or without an answer.
    void relayChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions);
    /// A list or watch at the relay failed.
    void relayFailed(TimePoint now, const std::string &reason, DirectoryActions &actions);
    /// The store has answered a call of this entry VM.
    void storeAnswered(TimePoint now, DirectoryActions &actions);
    /// The store has not answered a check of this entry VM.
    void storeFailed();
    /// Reads the leader record at the next tick if this entry VM is in state Standalone and relays are used.
    void readLeaderSoon(TimePoint now);
    /// The store answers again after an outage. Another entry VM may have become the leader meanwhile.
    void storeReturned(DirectoryActions &actions);
    /// Adds entry VMs that can name another relay while the known ones have no recent proof.
    void addPeers(const PeerAddresses &peers);
    /// The store has not answered this entry VM, which follows it, for some time. Relays may still reach it.
    void storeUnresponsive(TimePoint now, DirectoryActions &actions);

    State state() const;
    /// @return whether peers may follow this entry VM: it is the leader, possibly while following another zone's relay itself.
    bool isRelaying() const;
    /// @return whether the relay of this availability zone is followed.
    bool followsOwnZone() const;
    /// @param age time since the store last answered this entry VM or the followed relay. @return names the relay of this zone, if this entry VM is that relay
    /// or follows it.
    std::optional<RelayReferral> referral(Duration age) const;
    /// @return address of the followed relay; empty if none is followed.
    const std::string &relay() const;
    /// @return address at which this entry VM serves followers; empty if relays are not used.
    const std::string &localAddress() const;
    /// @return address of this zone's relay according to the last read of the leader record; empty if it was not read yet.
    const std::string &zoneLeader() const;
    /// @return addresses of the known relays of other zones.
    const std::vector<std::string> &otherRelays() const;

private:
    /// Action taken if no relay of another zone reaches the store.
    enum class Fallback {
        Nothing,
        FollowStore,
        RetryLeader, ///< Checks the leader again; it may be starting, like this entry VM.
        CheckStore, ///< Checks whether the store answers this entry VM, so that only the relay is cut off from it.
    };

    /// Requests the leader's proof. The leader is followed only if the proof is recent.
    void checkLeader(DirectoryActions &actions);
    void leaderChecked(TimePoint now, const RelayChecked &check, bool isProven, DirectoryActions &actions);
    void followedChecked(TimePoint now, const RelayChecked &check, bool isProven, DirectoryActions &actions);
    void otherChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions);
    /// A peer that was asked for a relay has answered.
    void peerChecked(TimePoint now, const RelayChecked &check, DirectoryActions &actions);
    /// Asks some peers for a relay with a recent proof, if they are due.
    void askPeers(TimePoint now, DirectoryActions &actions);
    /// @return whether no source of this entry VM has a recent proof.
    bool lacksProof(TimePoint now) const;
    /// Accepts a newer leader of this zone. @return whether @p referral names one.
    bool learnLeader(const std::optional<RelayReferral> &referral, DirectoryActions &actions);
    void follow(TimePoint now, const RelayChecked &check, DirectoryActions &actions);
    /// Gives up the relay, which could not be followed or failed, and searches for another source.
    void leaveRelay(TimePoint now, const std::string &reason, DirectoryActions &actions);
    /// Requests the proofs of other zones' relays unless a search is in progress.
    void searchOtherRelays(TimePoint now, const std::string &reason, Fallback fallback, DirectoryActions &actions);
    /// Sets the relays of other zones, as received from the store or from this zone's relay.
    void setOtherRelays(const std::vector<std::string> &relays, DirectoryActions &actions);
    void applyFallback(TimePoint now, Fallback fallback, DirectoryActions &actions);
    /// The leader has no recent proof yet. This entry VM has just started.
    void leaderNotReady(TimePoint now, const RelayChecked &check, DirectoryActions &actions);
    void tickDeciding(TimePoint now, DirectoryActions &actions);
    /// @return whether the followed relay is not the one of this zone.
    bool followsOtherZone() const;
    /// Schedules the next check of the leader at a random time.
    void scheduleLeaderCheck(TimePoint now);
    void readLeaderRecord(bool allowsStale, DirectoryActions &actions);
    void enterState(State state, const std::string &detail, DirectoryActions &actions);
    void writeLeaderRecord(std::int64_t expectedRevision, DirectoryActions &actions);
    void tickFollowing(TimePoint now, DirectoryActions &actions);
    /// Checks whether this zone's relay can be followed again, or whether this entry VM is to replace it.
    void tickWithoutZoneRelay(TimePoint now, DirectoryActions &actions);
    void tickLeading(TimePoint now, DirectoryActions &actions);
    /// @return how long this entry VM waits before it first reads the leader record when the whole fleet starts.
    Duration firstStartDelay();
    /// @return a random duration from 0 to @p limit, exclusive.
    Duration randomUpTo(Duration limit);

    std::string localAddress_;
    std::string zone_;
    bool isFirstStart_;
    Duration electionDelay_;
    Random random_;
    State state_ = State::Deciding;
    std::string leader_; ///< Address of the zone's relay according to the last read of the leader record.
    std::vector<std::string> otherRelays_; ///< Relays of other zones.
    std::string followed_; ///< Address of the relay that is or was last followed.
    std::size_t pendingAnswers_ = 0; ///< Number of outstanding answers of the current search.
    Fallback fallback_ = Fallback::Nothing; ///< Fallback of the current search.
    std::string searchReason_;
    PeerSearch peers_;
    bool isStoreUnresponsive_ = false; ///< Whether the store does not answer this entry VM, which follows it.
    std::int64_t revision_ = 0; ///< Revision of the leader record; 0 while unknown.
    bool isRecordCallPending_ = false;
    bool isChecking_ = false;
    bool isCheckingLeader_ = false; ///< Waiting for the proof of a leader that is not followed yet.
    TimePoint nextSearchAt_; ///< When other relays or the store may be checked again for a source with recent state.
    Duration storeCheckPause_{0}; ///< Pause between checks of the store while no relay reaches it.
    bool isCheckingStore_ = false; ///< Waiting for a check of the store that was made because the followed relay has no recent proof.
    bool hasWaitedForRelay_ = false; ///< Whether the relay was given time to recover after the store had answered such a check.
    bool wasStoreDown_ = false; ///< Whether the store has left such a check unanswered.
    bool hasStoreAnswered_ = false; ///< Whether the store has answered such a check, which the followed relay has not been told yet.
    int failedFollows_ = 0; ///< Consecutive failures to follow a leader.
    std::optional<TimePoint> leaderCheckAt_; ///< When the leader or its record is checked next.
    std::optional<TimePoint> awaitLeaderUntil_; ///< In state Deciding, when the wait for the leader ends. Empty before its first check.
    TimePoint retryLeaderAt_; ///< In state Deciding, when the leader is checked again.
    TimePoint relayCheckAt_;
    TimePoint provenAt_; ///< When the store last answered the followed relay, according to its proofs.
};

} // namespace Cloverbarrow
