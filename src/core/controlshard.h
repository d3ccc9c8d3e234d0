/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/controlevents.h"
#include "core/crashes/crashupdateexchange.h"
#include "core/crashes/poisonrequesttracker.h"
#include "core/intent/intentmanager.h"
#include "core/intent/leavingregistry.h"
#include "core/measuring/probeshares.h"
#include "core/membership/membership.h"
#include "core/shutdownsequence.h"
#include "core/support/random.h"

#include <set>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Start-up settings of the control shard.
struct ControlSettings {
    Member self;
    std::vector<std::string> seedPeers;
    Duration shutdownNotice = seconds(2);
    Duration shutdownLimit = seconds(60);
    std::uint64_t seed = 1;
    bool hasDirectory = false; ///< Routes and backend servers come from a directory; peers, leases and the VM list are not used.
};

/// All decisions of one entry VM that concern the whole fleet: membership, the operators' intent, leaving backend
/// servers, shares of probe budgets, poison requests, readiness and shutdown. Pass it events in time order and carry out the
/// resulting actions. Not thread-safe; Node keeps it under a lock.
class ControlShard
{
public:
    explicit ControlShard(ControlSettings settings);

    void handle(TimePoint now, const ControlEvent &event, ControlActions &actions);

    /// @return the heartbeat to send to the peer at @p receiverAddress.
    Heartbeat heartbeat(TimePoint now, const std::string &receiverAddress);
    const Membership &membership() const;
    const IntentManager &intent() const;
    const ProbeShares &shares() const;
    std::vector<std::string> leavingServers(const std::string &service) const;
    /// @return whether there are crash updates that other entry VMs may lack.
    bool hasCrashUpdates() const;
    const CrashUpdateCounts &crashUpdateCounts() const;
    bool isReady() const;
    /// @return why this entry VM is not ready; empty when it is.
    const std::string &reason() const;
    ShutdownSequence::Phase phase() const;
    /// @return the number of events handled so far. It orders decisions and reads: later ones have a higher number.
    std::uint64_t eventsHandled() const;

private:
    void on(TimePoint now, const ControlTick &event, ControlActions &actions);
    void on(TimePoint now, const HeartbeatReceived &event, ControlActions &actions);
    void on(TimePoint now, const HeartbeatFailed &event, ControlActions &actions);
    void on(TimePoint now, const PeerReachedIndirectly &event, ControlActions &actions);
    void on(TimePoint now, const IntentFetched &event, ControlActions &actions);
    void on(TimePoint now, const IntentFetchFailed &event, ControlActions &actions);
    void on(TimePoint now, const IntentAccepted &event, ControlActions &actions);
    void on(TimePoint now, const WatchAnswered &event, ControlActions &actions);
    void on(TimePoint now, const WatchFailed &event, ControlActions &actions);
    void on(TimePoint now, const StoreAnswered &event, ControlActions &actions);
    void on(TimePoint now, const VmsListed &event, ControlActions &actions);
    void on(TimePoint now, const ServerLeaving &event, ControlActions &actions);
    void on(TimePoint now, const ProbeFinished &event, ControlActions &actions);
    void on(TimePoint now, const PermitReturned &event, ControlActions &actions);
    void on(TimePoint now, const DirectoryPublished &event, ControlActions &actions);
    void on(TimePoint now, const ServerSuspected &event, ControlActions &actions);
    void on(TimePoint now, const ServerCrashed &event, ControlActions &actions);
    void on(TimePoint now, const ServerRecovered &event, ControlActions &actions);
    void on(TimePoint now, const SuspectAnswered &event, ControlActions &actions);
    void on(TimePoint now, const CrashReportsReceived &event, ControlActions &actions);
    void on(TimePoint now, const CrashUpdatesReceived &event, ControlActions &actions);
    void on(TimePoint now, const CrashUpdatesRequested &event, ControlActions &actions);
    void on(TimePoint now, const ProxyReporterChanged &event, ControlActions &actions);
    void on(TimePoint now, const StopRequested &event, ControlActions &actions);
    /// Adds the actions that publish changes of crash reports and of the blocklist.
    void publishCrashes(TimePoint now, ControlActions &actions);

    bool isWatcher() const;
    void sendHeartbeats(TimePoint now, ControlActions &actions);
    void checkMembers(TimePoint now, ControlActions &actions);
    void listVms(TimePoint now, ControlActions &actions);
    void tickShares(TimePoint now, ControlActions &actions);
    void tickShutdown(TimePoint now, const RemainingWork &remaining, ControlActions &actions);
    void updateReadiness(TimePoint now, ControlActions &actions);
    void updateFleetSize(TimePoint now, ControlActions &actions);
    void applyIntentActions(std::vector<IntentAction> intentActions, ControlActions &actions);
    void install(const ActiveIntent &intent);
    /// Sends the next heartbeats at once and in quick succession, to spread an update.
    void speedUpHeartbeats();
    /// Notifies the services and, without delay, the peers that the set of leaving servers has changed.
    void notifyLeavingChanged(ControlActions &actions);
    std::string unreadyReason(TimePoint now) const;
    bool hasCheckedForNewestIntent() const;

    ControlSettings settings_;
    Random random_;
    Membership membership_;
    IntentManager intent_;
    LeavingRegistry leaving_;
    ProbeShares shares_;
    PoisonRequestTracker crashTracker_;
    SentCrashUpdates sentCrashUpdates_;
    std::uint64_t crashReportsOrder_ = 0; ///< Order of the newest crash reports that have been applied.
    ShutdownSequence shutdown_;
    std::set<std::string> pendingSeedPeers_; ///< Seed peers that have neither answered nor failed yet.
    bool hasPeerAnswered_ = false;
    std::uint64_t eventsHandled_ = 0;
    bool isReady_ = false;
    std::string reason_;
    int fleetSize_ = 1;
    TimePoint nextShrink_;
    bool hasStoppedAccepting_ = false;
    bool hasExited_ = false;
    TimePoint nextHeartbeat_;
    TimePoint nextVmListing_;
    int fastHeartbeatsLeft_ = 0;
};

} // namespace Cloverbarrow
