/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/controlevents.h"
#include "core/directory/collectionwatch.h"
#include "core/directory/crashreportwriter.h"
#include "core/directory/directoryevents.h"
#include "core/directory/fleetestimate.h"
#include "core/directory/initialcrashreports.h"
#include "core/directory/objecttable.h"
#include "core/directory/relayelection.h"
#include "core/directory/reportpeers.h"
#include "core/directory/serverregistry.h"
#include "core/directory/watchcomparison.h"
#include "core/requests/fleetbudgets.h"
#include "core/support/random.h"

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace Cloverbarrow
{

/// Names under which an entry VM takes part in exchanges.
struct DirectoryIdentity {
    std::string reportName; ///< Name of its crash report object.
    std::string zone; ///< Its availability zone.
};

/// Maintains one entry VM's view of routes, backend servers, crash reports and evacuated zones by watching the store or a relay. Publishes a state
/// once these collections have been read completely, and again after each change. Operators' configuration versions only increase.
class DirectoryManager
{
public:
    /// @param election decides whether the store or a relay is followed.
    /// @param identity names under which this entry VM takes part in exchanges.
    DirectoryManager(const FleetBudgets &budgets, RelayElection election, std::uint64_t seed, DirectoryIdentity identity = {});

    void tick(TimePoint now, DirectoryActions &actions);
    void handle(TimePoint now, const DirectoryAnswer &answer, DirectoryActions &actions);
    /// This process has not run for a while, so changes may be waiting. Asks the source whether it has any that this entry VM lacks. Before the first state has
    /// been published there is nothing to confirm.
    void requestConfirmation(TimePoint now, DirectoryActions &actions);
    /// @return whether all that decides where requests are sent has been confirmed since requestConfirmation().
    bool isConfirmed() const;
    void setBudgets(TimePoint now, const FleetBudgets &budgets, DirectoryActions &actions);
    /// Sets the crash report that this entry VM writes to the store. @param sequence increases with each report.
    void setCrashReport(std::uint64_t sequence, const CrashReport &report);
    /// Sends crash updates directly to relays and followers, in addition to the report in the store.
    void broadcastCrashUpdates(TimePoint now, const CrashBroadcast &broadcast, DirectoryActions &actions) const;
    /// The entry VM at address @p peer has requested all crash updates.
    void crashUpdatesRequested(TimePoint now, const std::string &peer);
    /// The entry VM at address @p peer has answered with all crash updates that it holds.
    void crashUpdatesReceived(const std::string &peer);
    /// Sends crash updates to one relay, with this entry VM as the sender to reply to or the one that replies.
    void sendCrashUpdates(const SendAllCrashUpdates &message, DirectoryActions &actions) const;
    /// @return peers with which reports on request limits are exchanged.
    LimitPeers limitPeers() const;
    /// Counts the outcome of an attempt at a server of @p service while a rollout is running.
    void recordVersionOutcome(const std::string &service, const VersionOutcome &outcome);
    void rolloutReportsReceived(TimePoint now, const RolloutReports &reports);
    /// @return addresses of the entry VMs that grant requests of workspaces: the relays of all availability zones that are known here.
    std::vector<std::string> quotaGranters() const;
    /// @return whether the configuration limits the requests of any workspace.
    bool hasQuotas() const;
    const std::string &localAddress() const;
    /// @return estimated number of entry VMs in the fleet.
    int entryVms() const;
    /// @return whether the store does not contain the latest crash report of this entry VM yet.
    bool hasUnwrittenCrashReport() const;

    /// @param since sequence number of the latest local change that the peer has received; 0 for a list.
    /// @return the changes that the peer lacks; nothing if it must list the collection again.
    std::optional<CollectionUpdate> updateSince(Collection collection, std::int64_t since) const;
    /// @param follower address of the requesting entry VM; may be empty. @return this relay's proof that it receives changes from the store; nothing if it
    /// has not received the whole directory yet or is not a relay.
    std::optional<RelayProof> proofFor(TimePoint now, const std::string &follower);
    /// @return names the relay of this zone if it has a recent proof, as far as this entry VM knows.
    std::optional<RelayReferral> referral(TimePoint now) const;
    /// A follower has reported that the store answers it. A relay that does not reach the store checks it at once.
    void storeReported(TimePoint now);
    /// @return whether this entry VM may have a proof soon: it has just started and is a relay, or has not decided yet.
    bool mayHaveProofSoon() const;

private:
    void on(TimePoint now, const DirectoryListed &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryChanged &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryHistoryExpired &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryCallFailed &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryChecked &event, DirectoryActions &actions);
    void on(TimePoint now, const RelayChecked &event, DirectoryActions &actions);
    void on(TimePoint now, const RelayRevisionsRead &event, DirectoryActions &actions);
    void on(TimePoint now, const LeaderRecordAnswered &event, DirectoryActions &actions);
    void on(TimePoint now, const CrashReportWritten &event, DirectoryActions &actions);
    void on(TimePoint now, const CrashUpdatesAnswered &event, DirectoryActions &actions);
    void on(TimePoint now, const RolloutStatusWritten &event, DirectoryActions &actions);

    /// Applies the answer to a confirmation.
    void confirmationAnswered(TimePoint now, Collection collection, const DirectoryEvent &event, DirectoryActions &actions);
    void applyChanges(TimePoint now, const DirectoryChanged &event, DirectoryActions &actions);
    /// @return whether routes, servers, evacuations and rollouts have been received, without which no request may be sent.
    bool isServable() const;
    /// Ends the wait for crash reports before the first state is published, once they have been received or have not arrived in time. @return whether the wait
    /// has just ended, so that the first state is to be published.
    bool updateCrashReportWait(TimePoint now);
    /// Requests an exchange of all crash updates with @p peer.
    void requestCrashUpdates(const std::string &peer, DirectoryActions &actions);
    /// Applies a page of a list. @param isComplete whether it was the last page. @return whether there is something new to publish.
    bool applyList(TimePoint now, const DirectoryListed &event, bool isComplete, DirectoryActions &actions);
    bool applyCrashList(TimePoint now, const DirectoryListed &event, bool isComplete, DirectoryActions &actions);
    bool applyEvacuationList(const DirectoryListed &event, bool isComplete, DirectoryActions &actions);
    bool applyRolloutList(TimePoint now, const DirectoryListed &event, bool isComplete, DirectoryActions &actions);
    /// Passes the orders in the store to the coordinator. @return whether requests are divided differently now.
    bool updateRollouts(TimePoint now, DirectoryActions &actions);
    /// Sends counts of answers by version to peers, and writes decisions about rollouts if this entry VM is a relay.
    void tickRollouts(TimePoint now, DirectoryActions &actions);
    /// Abandons all calls in flight and lists all collections again.
    void relistAll(TimePoint now);
    /// Logs which zones were evacuated or taken back. @return whether any was.
    bool updateEvacuatedZones(DirectoryActions &actions);
    /// Publishes the crash reports of all entry VMs and passes the stored one of this entry VM to the writer.
    void publishCrashes(TimePoint now, DirectoryActions &actions);
    /// Restarts watches that no longer receive changes, and requests the newest revisions of other zones' relays.
    void restartStaleWatches(TimePoint now, DirectoryActions &actions);
    void logFaults(const std::vector<DirectoryEntry> &entries, DirectoryActions &actions);
    CollectionWatch &watchOf(Collection collection);
    bool applyPlans(const std::vector<DirectoryEntry> &entries, DirectoryActions &actions);
    /// Logs server entries that could not be parsed.
    void logUnusableServers(DirectoryActions &actions);
    /// Logs an object that could not be parsed.
    void logFault(const DirectoryEntry &entry, DirectoryActions &actions);
    /// Logs the unusable parts of a configuration.
    void logUnusableParts(const RoutingPlan &plan, DirectoryActions &actions);
    /// @return the number of faults logged so far, as the suffix of a log line.
    std::string faultCountSuffix() const;
    const CollectionWatch &watchOf(Collection collection) const;
    /// Records up to which store revision the collection has been received.
    void recordStoreRevision(Collection collection, std::int64_t storeRevision);
    /// Restarts all calls if the source (the store or a relay) has changed.
    void switchSource(TimePoint now, DirectoryActions &actions);
    bool isAtStore() const;
    /// @return whether routes, servers, evacuations and rollouts are complete and watched at the source.
    bool isCurrent() const;
    void sourceAnswered(TimePoint now, DirectoryActions &actions);
    void storeAnswered(TimePoint now, DirectoryActions &actions);
    /// A call to the store received no answer, not even an error. Other open connections may be unresponsive too, and watches may wait on them.
    void storeCallUnresponsive(TimePoint now, DirectoryActions &actions);
    void storeFailed(TimePoint now, const std::string &reason, DirectoryActions &actions);
    /// Logs which state is in force, and how old its proof is, when the store answers this entry VM although its relay has no recent proof.
    void logUnprovenState(TimePoint now, DirectoryActions &actions) const;
    void scheduleCheck(TimePoint now);
    void publish(TimePoint now, DirectoryActions &actions);
    /// @return the followed relay and the relays of other zones.
    std::vector<std::string> knownRelays() const;
    /// @return the entry VMs that replace the relay of this zone if it is not followed.
    std::vector<std::string> substitutes() const;
    /// @return whether this entry VM neither is a relay nor follows the one of its zone, and so receives no reports of its zone.
    bool lacksRelay() const;
    /// Announces whether this entry VM is a proxy reporter, and exchanges crash updates with newly known relays if it is.
    void exchangeWithNewRelays(DirectoryActions &actions);
    /// Exchanges crash updates with the substitutes of this zone's relay.
    void exchangeWithSubstitutes(TimePoint now, DirectoryActions &actions);
    /// Sets this entry VM's rank within its zone, as assigned by the relay or by itself as the relay.
    void setRank(TimePoint now, const std::optional<FleetRank> &rank);
    /// @return whether this entry VM's rank has changed since the last state was published.
    bool hasRankChanged(TimePoint now) const;
    /// @return this entry VM's rank; empty if it has expired.
    std::optional<FleetRank> currentRank(TimePoint now) const;
    /// @return entry VMs to which requests can be forwarded.
    PeerAddresses forwardingPeers() const;
    /// @return a selection of the entry VMs of other zones, as their relays have named them.
    std::vector<std::string> peersOfOtherZones() const;
    /// Publishes the forwarding peers if they have changed, as seen at intervals.
    void publishForwardingPeers(TimePoint now, DirectoryActions &actions);
    /// Divides the shared budgets again if the estimated fleet size has changed. @param entryVms number of entry VMs in the zone.
    void updateFleetSize(TimePoint now, int entryVms, DirectoryActions &actions);

    FleetBudgets budgets_;
    FleetEstimate fleet_;
    Random random_;
    std::optional<FleetRank> rank_; ///< Rank among the entry VMs of the zone.
    TimePoint rankReceivedAt_;
    std::optional<FleetRank> publishedRank_;
    RelayElection election_;
    std::string source_; ///< Address of the followed relay; empty for the store.
    CollectionWatch routing_;
    CollectionWatch servers_;
    CollectionWatch crashes_;
    CollectionWatch evacuations_;
    CollectionWatch rollouts_;
    std::array<std::int64_t, CollectionCount> storeRevision_{}; ///< Store revision up to which each collection has been received.
    ServerRegistry registry_;
    std::string reportName_;
    ObjectTable crashTable_;
    ObjectTable evacuationTable_;
    std::vector<std::string> evacuatedZones_; ///< Sorted.
    ObjectTable rolloutTable_;
    RolloutCoordinator rolloutCoordinator_;
    CrashReportWriter crashWriter_;
    std::uint64_t crashesPublished_ = 0;
    bool wasProxyReporter_ = false; ///< As last announced.
    std::vector<std::string> contactedRelays_; ///< Relays of other zones with which crash updates were exchanged.
    ReportPeers reportPeers_;
    std::map<std::string, std::vector<std::string>> otherZonePeers_; ///< Entry VMs of other zones by the relay that named them; used by relays.
    std::optional<PeerAddresses> namedPeers_; ///< As last named by the followed relay.
    PeerAddresses publishedPeers_;
    std::uint64_t peersPublished_ = 0;
    TimePoint nextPeersCheck_; ///< When the forwarding peers are compared with those published.
    InitialCrashReports initialReports_; ///< Ends the wait for crash reports before the first state is published.
    WatchComparison comparison_;
    std::optional<RoutingPlan> plan_;
    DirectoryEntry planEntry_; ///< The directory object that contained plan_.
    std::int64_t planSequence_ = 1; ///< Sequence number of plan_ for peers; starts at 1, as 0 requests the current one.
    std::int64_t publishedVersion_ = 0;
    int failedChecks_ = 0; ///< Consecutive store checks without an answer.
    int faultCount_ = 0; ///< Logged by logFault() and logUnusableParts().
    bool isStoreUnreachable_ = false;
    std::optional<TimePoint> storeAnsweredAt_; ///< When the store last answered.
    std::optional<TimePoint> upToDateAt_; ///< When the store last answered while all of its content had been received.
    bool hasCheckFailed_ = false; ///< Whether a check has failed since the store last answered.
    bool isChecking_ = false;
    TimePoint nextCheck_;
    TimePoint nextReportedCheck_; ///< Before this time, reports of followers cause no further check.
};

} // namespace Cloverbarrow
