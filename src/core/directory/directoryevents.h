/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashnews.h"
#include "core/crashes/crashreport.h"
#include "core/directory/limitexchange.h"
#include "core/intent/configuration.h"
#include "core/intent/operatorintent.h"
#include "core/support/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// What a directory holds: each collection is listed and watched for itself.
enum class Collection {
    Routing,
    Servers,
    Crashes, ///< What entry VMs tell of servers that ended under requests.
    Evacuations, ///< Availability zones whose servers get no requests until operators take them back.
};

/// How many there are.
constexpr std::size_t Collections = 4;

/// @return where the collection stands in arrays of all.
constexpr std::size_t indexOf(Collection collection)
{
    return static_cast<std::size_t>(collection);
}

/// The operators' newest configuration: routes and services, without backend servers.
struct RoutingPlan {
    std::int64_t version = 0; ///< The operators' own; only rises.
    std::string versionText; ///< As operators write it.
    std::vector<TrafficRoute> routes;
    std::vector<Service> services;
    CallerLimits limits;
    std::vector<std::string> leftOut; ///< Parts that could not be used, and why; the rest holds without them.

    bool operator==(const RoutingPlan &) const = default;
};

/// One start of a backend server, as it registered itself.
struct Registration {
    std::string service;
    BackendServer server; ///< Its name is that of this start: a server that starts again under its id gets another.
    bool isDraining = false;

    bool operator==(const Registration &) const = default;
};

/// Operators want no request sent to the servers of this availability zone, as long as the object stands.
struct ZoneEvacuation {
    std::string zone;

    bool operator==(const ZoneEvacuation &) const = default;
};

using DirectoryValue = std::variant<RoutingPlan, Registration, CrashReport, ZoneEvacuation>;

/// One object of a collection at one revision.
struct DirectoryEntry {
    std::string name;
    std::int64_t revision = 0;
    std::optional<DirectoryValue> value; ///< Nothing when the object was deleted or cannot be read.
    bool isDeleted = false;
    std::string text; ///< The object as the store wrote it, to be told on to peers unread.
    std::string fault = {}; ///< Why it has no value although it was not deleted.
};

// Events

/// One page of a list.
struct DirectoryListed {
    Collection collection = Collection::Routing;
    std::vector<DirectoryEntry> entries;
    bool hasMore = false;
    std::string last; ///< Name after which the next page begins.
    std::int64_t revision = 0; ///< To watch from: of the whole store, or the number of a relay's latest change.
    std::int64_t storeRevision = 0; ///< Up to which the store has told this; what is missing had been deleted by then.
    std::int64_t latest = 0; ///< A relay's latest change when it answered; above its revision where the list is a little older.
};

/// What has changed since the revision that was watched from; nothing when the wait was over.
struct DirectoryChanged {
    Collection collection = Collection::Routing;
    std::vector<DirectoryEntry> entries;
    std::int64_t revision = 0;
    std::int64_t storeRevision = 0; ///< As with a list.
};

/// The history that was asked for is gone.
struct DirectoryHistoryGone {
    Collection collection = Collection::Routing;
};

/// A call had no useful answer.
struct DirectoryCallFailed {
    Collection collection = Collection::Routing;
    std::string reason;
};

/// The check whether the store answers has ended.
struct DirectoryChecked {
    bool hasAnswered = false;
};

/// The newest revision of any entry that is known of each collection; 0 where none is.
using NewestRevisions = std::array<std::int64_t, Collections>;

/// What a relay shows of itself.
struct RelayProof {
    Duration age{0}; ///< Since the store last answered the relay.
    bool hearsFromStore = false; ///< Itself, and now; otherwise from another relay, or no longer.
    int entryVms = 1; ///< Of the availability zone, as the relay counts them.
    std::vector<std::string> otherRelays; ///< Of other zones, as the relay knows them.
    std::optional<FleetPlace> place = {}; ///< Of the asking entry VM, if it is of the relay's zone and these have been counted long enough.
    NewestRevisions newest{}; ///< That the relay knows.
    LimitVersion limits = {}; ///< Of the relay's reports on request limits.
    std::vector<std::string> standbys = {}; ///< Followers that stand in for the relay when it does not answer.
};

/// The check whether a relay answers has ended.
struct RelayChecked {
    std::string relay;
    std::optional<RelayProof> proof; ///< Nothing without an answer.
};

/// A relay of another zone has told what it knows.
struct RelayCompared {
    std::string relay;
    std::optional<RelayProof> proof; ///< Nothing without an answer.
};

/// A read or write of the seat has ended.
struct SeatAnswered {
    bool hasAnswered = false; ///< False when what became of the call is not known.
    std::string holder; ///< Address of the relay.
    std::int64_t revision = 0; ///< 0 when nobody has ever taken the seat.
    std::vector<std::string> others; ///< Holders of other zones' seats; empty when they were not read.
    bool wasSilent = false; ///< No answer of any kind came.
};

/// A write of this entry VM's crash report has ended.
struct CrashReportWritten {
    std::int64_t revision = 0; ///< Of the object as it is now; 0 when what became of the call is not known.
    CrashReport report; ///< As the object has it now: not as it was to be written where another revision was found.
    bool wasSilent = false; ///< No answer of any kind came.
};

using DirectoryEvent = std::variant<DirectoryListed,
                                    DirectoryChanged,
                                    DirectoryHistoryGone,
                                    DirectoryCallFailed,
                                    DirectoryChecked,
                                    RelayChecked,
                                    RelayCompared,
                                    SeatAnswered,
                                    CrashReportWritten>;

// Actions

struct ListDirectory {
    Collection collection = Collection::Routing;
    std::string after; ///< Empty for the first page.
    std::string relay; ///< Address of the relay to ask; empty for the store.
    int call = 0; ///< Number of the call; a later one makes its answer worthless.

    bool operator==(const ListDirectory &) const = default;
};

struct WatchDirectory {
    Collection collection = Collection::Routing;
    std::int64_t since = 0;
    Duration wait{0};
    std::string relay; ///< Address of the relay to ask; empty for the store.
    int call = 0;

    bool operator==(const WatchDirectory &) const = default;
};

/// Ask anything of the store that costs little, to see whether it answers.
struct CheckDirectory {
    bool operator==(const CheckDirectory &) const = default;
};

/// Ask a relay when the store last answered it.
struct CheckRelay {
    std::string relay;
    std::string follower; ///< Address under which this entry VM relays; empty when it is of another zone.

    bool operator==(const CheckRelay &) const = default;
};

/// Ask a relay of another zone what it knows, to see whether watches here still hear of changes.
struct CompareRelay {
    std::string relay;

    bool operator==(const CompareRelay &) const = default;
};

/// Read who relays in this availability zone.
struct ReadSeat {
    bool mayBeOld = false; ///< Costs less, and may tell of an earlier holder.

    bool operator==(const ReadSeat &) const = default;
};

/// Take the seat, if it still is at the revision that was read.
struct WriteSeat {
    std::string holder;
    std::int64_t expectedRevision = 0; ///< 0 when there must be none.

    bool operator==(const WriteSeat &) const = default;
};

/// Put this entry VM's crash report, if the object still is at the revision that was read.
struct WriteCrashReport {
    CrashReport report;
    std::int64_t expectedRevision = 0; ///< 0 when there must be none.

    bool operator==(const WriteCrashReport &) const = default;
};

/// Tell other entry VMs crash news, which the store may not show for a while.
struct TellCrashNews {
    std::vector<std::string> addresses; ///< Under which they relay, or would.
    CrashNewsMessage message;
};

/// A relay is followed, or known as another zone's by this one, from now on: what both have heard of crashes is to be exchanged.
struct ExchangeCrashNews {
    std::string relay;
};

/// Whether this entry VM relays, or follows no relay, has changed: then it tells the store of crashes for others that may have ended.
struct PublishWitnessing {
    bool isWitness = false;
};

/// What entry VMs tell of servers that ended under requests has changed.
struct PublishCrashReports {
    std::vector<NamedCrashReport> reports;
    std::uint64_t order = 0; ///< Rises with each.
};

/// A newer state of routes and servers is to be put in force.
struct PublishDirectory {
    std::shared_ptr<const IntentInForce> intent;
};

/// A belief about the store or its objects has changed; for the log.
struct ReportDirectory {
    std::string what;
    std::string detail;

    bool operator==(const ReportDirectory &) const = default;
};

using DirectoryAction = std::variant<ListDirectory,
                                     WatchDirectory,
                                     CheckDirectory,
                                     CheckRelay,
                                     CompareRelay,
                                     ReadSeat,
                                     WriteSeat,
                                     WriteCrashReport,
                                     TellCrashNews,
                                     ExchangeCrashNews,
                                     PublishWitnessing,
                                     PublishCrashReports,
                                     PublishDirectory,
                                     ReportDirectory>;
using DirectoryActions = std::vector<DirectoryAction>;

/// What a relay tells of one collection.
struct DirectoryNews {
    std::int64_t revision = 0; ///< Number of the latest change at the relay; unlike the store's revisions.
    std::int64_t storeRevision = 0; ///< Up to which the store has told the relay.
    std::vector<DirectoryEntry> entries; ///< With their texts; values are left out.
};

/// An event with the number of the call that it answers.
struct DirectoryAnswer {
    int call = 0;
    DirectoryEvent event;
};

} // namespace Cloverbarrow
