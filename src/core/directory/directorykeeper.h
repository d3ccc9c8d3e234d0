/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/collectionwatch.h"
#include "core/directory/crashreportwriter.h"
#include "core/directory/directoryevents.h"
#include "core/directory/fleetestimate.h"
#include "core/directory/objectbook.h"
#include "core/directory/relayseat.h"
#include "core/directory/reportpeers.h"
#include "core/directory/serverregistry.h"
#include "core/directory/watchcomparison.h"
#include "core/requests/fleetbudgets.h"
#include "core/support/random.h"

#include <array>
#include <memory>
#include <optional>

namespace Cloverbarrow
{

/// What one entry VM believes of routes, backend servers and evacuated zones, followed at a store that is watched. It publishes a state
/// once these collections have been read whole, and again with each change. Operators' versions only rise.
class DirectoryKeeper
{
public:
    /// @param seat decides where the directory is followed.
    /// @param self name of this entry VM's crash report.
    DirectoryKeeper(const FleetBudgets &budgets, RelaySeat seat, std::uint64_t seed, std::string self = {});

    void tick(TimePoint now, DirectoryActions &actions);
    void handle(TimePoint now, const DirectoryAnswer &answer, DirectoryActions &actions);
    void setBudgets(TimePoint now, const FleetBudgets &budgets, DirectoryActions &actions);
    /// What this entry VM tells of servers that ended under requests. @param order rises with each.
    void tellCrashes(std::uint64_t order, const CrashReport &report);
    /// Tells relays and followers crash news beside the store.
    void spreadCrashNews(TimePoint now, const CrashSpread &spread, DirectoryActions &actions) const;
    /// The entry VM at address @p peer has asked for all crash news.
    void crashNewsAsked(TimePoint now, const std::string &peer);
    /// The entry VM at address @p peer has told all crash news that it holds.
    void crashNewsAnswered(const std::string &peer);
    /// Tells one relay all crash news. @param wantsAnswer the same is to be told in return.
    void sendCrashNews(const std::string &relay, std::vector<CrashNews> news, bool wantsAnswer, DirectoryActions &actions) const;
    /// @return with whom reports on request limits are exchanged.
    LimitPeers limitPeers() const;
    /// @return whether the store does not hold that yet.
    bool hasUntoldCrashes() const;

    /// @param since number of the latest change here that the peer knows; 0 for a list.
    /// @return what a peer has missed; nothing when it must begin with a list.
    std::optional<DirectoryNews> newsSince(Collection collection, std::int64_t since) const;
    /// @param follower that asks. @return what shows that this relay hears from the store; nothing when it never has,
    /// or this is no relay.
    std::optional<RelayProof> proofFor(TimePoint now, const std::string &follower);
    /// @return whether this entry VM has just started, and will relay as far as it knows yet.
    bool mayProveSoon() const;

private:
    void on(TimePoint now, const DirectoryListed &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryChanged &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryHistoryGone &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryCallFailed &event, DirectoryActions &actions);
    void on(TimePoint now, const DirectoryChecked &event, DirectoryActions &actions);
    void on(TimePoint now, const RelayChecked &event, DirectoryActions &actions);
    void on(TimePoint now, const RelayCompared &event, DirectoryActions &actions);
    void on(TimePoint now, const SeatAnswered &event, DirectoryActions &actions);
    void on(TimePoint now, const CrashReportWritten &event, DirectoryActions &actions);

    /// @return whether all is known that a request must not be sent without.
    bool isServable() const;
    /// @return whether the first state is to be published now: crash reports are known, or have been waited for long enough.
    bool hasWaitedForCrashes(TimePoint now);
    /// @return whether the store and the zone's relay have told their crash reports.
    bool knowsCrashReports() const;
    /// Asks the zone's relay for crash reports before the first state is published.
    void askFirstReports(const std::string &holder, DirectoryActions &actions);
    /// Takes a page of a list. @return whether there is something new to publish. @param isWhole it was the last page.
    bool takeList(TimePoint now, const DirectoryListed &event, bool isWhole, DirectoryActions &actions);
    bool takeCrashList(TimePoint now, const DirectoryListed &event, bool isWhole, DirectoryActions &actions);
    bool takeEvacuationList(const DirectoryListed &event, bool isWhole, DirectoryActions &actions);
    /// Begins all collections with a list.
    void renewAll(TimePoint now);
    /// Tells which zones were evacuated or taken back. @return whether any was.
    bool takeEvacuatedZones(DirectoryActions &actions);
    /// Tells what has changed in the crash reports.
    void publishCrashes(TimePoint now, DirectoryActions &actions);
    /// Renews watches that hear of nothing any more, and asks other relays what they have heard.
    void compareWatches(TimePoint now, DirectoryActions &actions);
    void reportFaults(const std::vector<DirectoryEntry> &entries, DirectoryActions &actions);
    CollectionWatch &watchOf(Collection collection);
    bool takePlans(const std::vector<DirectoryEntry> &entries, DirectoryActions &actions);
    void reportUnusable(DirectoryActions &actions);
    /// Tells of an entry that has no value although it was not deleted.
    void reportFault(const DirectoryEntry &entry, DirectoryActions &actions);
    /// Tells which parts of a configuration are in force without.
    void reportLeftOut(const RoutingPlan &plan, DirectoryActions &actions);
    /// @return how often something that cannot be used was told of, for the end of a line.
    std::string countedFaults() const;
    const CollectionWatch &watchOf(Collection collection) const;
    void heardUpTo(Collection collection, std::int64_t storeRevision);
    /// Begins calls anew when they go to another place from now on.
    void followSource(TimePoint now, DirectoryActions &actions);
    bool isAtStore() const;
    /// @return whether all that the source holds is known here and watched.
    bool isCurrent() const;
    void sourceAnswered(TimePoint now, DirectoryActions &actions);
    void storeAnswered(TimePoint now, DirectoryActions &actions);
    /// A call to the store got no answer of any kind. Open connections may have fallen silent, and the watches wait on such ones.
    void storeCallSilent(TimePoint now, DirectoryActions &actions);
    void storeFailed(TimePoint now, const std::string &reason, DirectoryActions &actions);
    void planCheck(TimePoint now);
    void publish(TimePoint now, DirectoryActions &actions);
    /// @return the relay that is followed, and those of other zones.
    std::vector<std::string> knownRelays() const;
    /// @return whoever stands in for the relay of the own zone, where none is followed.
    std::vector<std::string> substitutes() const;
    /// @return whether no relay tells this entry VM what others of its zone report.
    bool lacksRelay() const;
    /// Tells whether this entry VM relays or follows none, and brings about an exchange of crash news with relays that are new to it.
    void meetPeers(DirectoryActions &actions);
    /// Exchanges crash news with whoever stands in for the relay of the own zone.
    void meetSubstitutes(TimePoint now, DirectoryActions &actions);
    /// Takes this entry VM's place among those of its zone, as its relay told it, or as it has it as the relay.
    void takePlace(TimePoint now, const std::optional<FleetPlace> &place);
    /// @return whether this entry VM's place has changed since the last state was published.
    bool hasPlaceChanged(TimePoint now) const;
    /// @return this entry VM's place, unless it was told too long ago.
    std::optional<FleetPlace> placeNow(TimePoint now) const;
    /// Cuts the common budgets anew when the fleet has another size.
    void countedInZone(TimePoint now, int entryVms, DirectoryActions &actions);

    FleetBudgets budgets_;
    FleetEstimate fleet_;
    Random random_;
    std::optional<FleetPlace> place_; ///< Among the entry VMs of the zone.
    TimePoint placeToldAt_;
    std::optional<FleetPlace> publishedPlace_;
    RelaySeat seat_;
    std::string source_; ///< Relay that calls go to; empty for the store.
    CollectionWatch routing_;
    CollectionWatch servers_;
    CollectionWatch crashes_;
    CollectionWatch evacuations_;
    std::array<std::int64_t, Collections> storeRevision_{}; ///< Up to which the store has told of each collection.
    ServerRegistry registry_;
    std::string self_;
    ObjectBook crashBook_;
    ObjectBook evacuationBook_;
    std::vector<std::string> evacuatedZones_; ///< By the book, in order.
    CrashReportWriter crashWriter_;
    std::uint64_t crashesPublished_ = 0;
    bool wasWitness_ = false; ///< As last published.
    std::vector<std::string> metRelays_; ///< Of other zones, with which crash news were exchanged.
    ReportPeers reportPeers_;
    std::string firstReporter_; ///< Relay that is asked for crash reports before the first state is published.
    bool hasFirstReports_ = false; ///< It has answered, or there is none.
    bool hasLookedForReporter_ = false;
    std::optional<TimePoint> servedSince_; ///< When all else that is needed to serve was first known.
    bool isCrashWaitOver_ = false;
    WatchComparison comparison_;
    std::optional<RoutingPlan> plan_;
    DirectoryEntry planEntry_; ///< The same, as it came.
    std::int64_t planSequence_ = 1; ///< Counts plans, for peers; 0 asks for the present one.
    std::int64_t published_ = 0;
    int lostChecks_ = 0; ///< Without an answer, in a row.
    int faults_ = 0; ///< Told of by reportFault() and reportLeftOut().
    bool isStoreLost_ = false;
    std::optional<TimePoint> provenAt_; ///< When the store last answered.
    std::optional<TimePoint> currentAt_; ///< When it last did while everything that it holds was known here.
    bool hasCheckFailed_ = false; ///< Since the store last answered.
    bool isChecking_ = false;
    TimePoint nextCheck_;
};

} // namespace Cloverbarrow
