/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashreport.h"
#include "core/crashes/crashupdate.h"
#include "core/directory/limitexchange.h"
#include "core/intent/configuration.h"
#include "core/intent/operatorintent.h"
#include "core/requests/forwardingpeers.h"
#include "core/rollouts/rolloutcoordinator.h"
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

/// A collection of objects in the directory. Each one is listed and watched separately.
enum class Collection {
    Routing,
    Servers,
    Crashes, ///< Crash reports: which requests were in flight when backend servers crashed, one object per entry VM.
    Evacuations, ///< Availability zones whose servers receive no requests until operators end the evacuation.
    Rollouts, ///< Operators' orders to move services to other versions, with the decisions of the entry VMs.
};

constexpr std::size_t CollectionCount = 5;

/// @return index of @p collection in arrays with one element per collection.
constexpr std::size_t indexOf(Collection collection)
{
    return static_cast<std::size_t>(collection);
}

/// The operators' newest configuration: routes and services, without backend servers.
struct RoutingPlan {
    std::int64_t version = 0; ///< Assigned by the operators; only increases.
    std::string versionText; ///< The version in the form in which operators write it.
    std::vector<TrafficRoute> routes;
    std::vector<Service> services;
    CallerLimits limits;
    std::shared_ptr<const WorkspaceTable> workspaces; ///< Null if the configuration has no workspaces.
    std::vector<std::string> unusableParts; ///< Unusable parts, each with the reason; the remaining configuration is applied without them.

    bool operator==(const RoutingPlan &) const = default;
};

/// Registration that a backend server wrote for its current process.
struct Registration {
    std::string service;
    BackendServer server; ///< The name identifies the process: a server that restarts under the same id gets a new name.
    bool isDraining = false;

    bool operator==(const Registration &) const = default;
};

/// Operators' order to send no requests to servers of this availability zone. It holds as long as the object exists.
struct ZoneEvacuation {
    std::string zone;

    bool operator==(const ZoneEvacuation &) const = default;
};

using DirectoryValue = std::variant<RoutingPlan, Registration, CrashReport, ZoneEvacuation, Rollout>;

/// One object of a collection at a given revision.
struct DirectoryEntry {
    std::string name;
    std::int64_t revision = 0;
    std::optional<DirectoryValue> value; ///< Empty when the object was deleted or could not be parsed.
    bool isDeleted = false;
    std::string text; ///< The object as received from the store; a relay forwards it to peers unparsed.
    std::string fault = {}; ///< Why the object could not be parsed; empty otherwise.
};

// Events

/// One page of a list.
struct DirectoryListed {
    Collection collection = Collection::Routing;
    std::vector<DirectoryEntry> entries;
    bool hasMore = false;
    std::string lastName; ///< Name of the last entry; the next page begins after it.
    std::int64_t revision = 0; ///< Revision to watch from: of the store, or the sequence number of the relay's latest change.
    std::int64_t storeRevision = 0; ///< Store revision that the list reflects; objects missing from the list were deleted at or before it.
    std::int64_t latestRevision = 0; ///< Sequence number of the relay's latest change when it answered; higher than revision if the list is slightly older.
};

/// Answer of a watch: changes since the watched revision. Has no entries if the watch timed out.
struct DirectoryChanged {
    Collection collection = Collection::Routing;
    std::vector<DirectoryEntry> entries;
    std::int64_t revision = 0;
    std::int64_t storeRevision = 0; ///< Store revision up to which changes are included.
};

/// The watched revision is older than the history that the source keeps; the collection must be listed again.
struct DirectoryHistoryExpired {
    Collection collection = Collection::Routing;
};

/// A list or watch failed or its answer could not be used.
struct DirectoryCallFailed {
    Collection collection = Collection::Routing;
    std::string reason;
};

/// Result of a store check (CheckDirectory).
struct DirectoryChecked {
    bool hasAnswered = false;
};

/// Newest revision received per collection; 0 where no entry was received.
using NewestRevisions = std::array<std::int64_t, CollectionCount>;

/// A relay's proof that its state is recent: how long ago the store last answered it while it had all of the store's changes.
struct RelayProof {
    Duration age{0}; ///< Time since the store last answered the relay.
    bool isStoreReachable = false; ///< Whether the relay itself currently reaches the store. False if it follows another relay or has no source.
    int entryVms = 1; ///< Number of entry VMs in the relay's availability zone, as counted by the relay.
    std::vector<std::string> otherRelays; ///< Addresses of other zones' relays known to this relay.
    std::optional<FleetRank> rank = {}; ///< Rank of the requesting entry VM; set if it is in the relay's zone and the relay has counted the zone long enough.
    NewestRevisions newestRevisions{}; ///< Newest revisions received by the relay.
    LimitVersion limitVersion = {}; ///< Version of the relay's reports on request limits.
    std::vector<std::string> standbys = {}; ///< Addresses of followers that replace the relay for exchanges of reports when it does not answer.
    std::optional<PeerAddresses> peers = {}; ///< A sample of entry VMs to which requests can be forwarded. Not in every proof.
    std::string slowServers = {}; ///< The relay's reports on slow servers, encoded; empty if none were requested. Invalid ones do not invalidate the proof.
};

/// Names the relay of an availability zone to another entry VM. The leader records of one zone are ordered by their revisions.
struct RelayReferral {
    std::string zone;
    std::string relay; ///< Address of the zone's relay.
    std::int64_t revision = 0; ///< Revision of the leader record that names it.
    Duration age{0}; ///< Time since the store last answered the relay.

    bool operator==(const RelayReferral &) const = default;
};

/// Result of a relay check (CheckRelay).
struct RelayChecked {
    std::string relay;
    std::optional<RelayProof> proof; ///< Empty if the relay did not answer or the entry VM is not a relay.
    std::optional<RelayReferral> referral = {}; ///< The relay that the entry VM leads or follows itself; empty if it has none with a recent proof.
};

/// Newest revisions of another zone's relay (answer to ReadRelayRevisions).
struct RelayRevisionsRead {
    std::string relay;
    std::optional<RelayProof> proof; ///< Empty if the relay did not answer.
};

/// Result of a read or write of the leader record, the store object that names the relay of this zone.
struct LeaderRecordAnswered {
    bool hasAnswered = false; ///< False if the outcome of the call is unknown.
    std::string leader; ///< Address of the zone's relay.
    std::int64_t revision = 0; ///< 0 if the record does not exist yet.
    std::vector<std::string> otherRelays; ///< Relays of other zones, from their leader records; empty if these were not read.
    bool wasUnresponsive = false; ///< Whether nothing was received, not even an error.
};

/// Result of a write of this entry VM's crash report.
struct CrashReportWritten {
    std::int64_t revision = 0; ///< Current revision of the object; 0 if the outcome of the call is unknown.
    CrashReport report; ///< Current content of the object. Differs from what was sent if the write conflicted with another revision.
    bool wasUnresponsive = false; ///< Whether nothing was received, not even an error.
};

/// A write of a rollout's status has ended. Its result arrives with the watch.
struct RolloutStatusWritten {
    std::string service;
    bool isConfirmed = false;
};

/// What the response to a request for a peer's crash updates tells.
enum class CrashExchangeOutcome {
    Failed, ///< The peer could not be reached or has not accepted the request.
    NothingToSend, ///< The peer has no updates that this entry VM lacks, so no reply follows.
    ReplyFollows, ///< The peer sends its updates in a message of its own, or runs an earlier release that does not say whether it does.
};

/// A request for the crash updates of a peer has been answered or has failed.
struct CrashUpdatesAnswered {
    std::string peer;
    CrashExchangeOutcome outcome = CrashExchangeOutcome::Failed;
};

using DirectoryEvent = std::variant<DirectoryListed,
                                    DirectoryChanged,
                                    DirectoryHistoryExpired,
                                    DirectoryCallFailed,
                                    DirectoryChecked,
                                    RelayChecked,
                                    RelayRevisionsRead,
                                    LeaderRecordAnswered,
                                    CrashReportWritten,
                                    RolloutStatusWritten,
                                    CrashUpdatesAnswered>;

// Actions

struct ListDirectory {
    Collection collection = Collection::Routing;
    std::string after; ///< Empty for the first page.
    std::string relay; ///< Address of the relay to call; empty for the store.
    int call = 0; ///< Number of the call. An answer to it is ignored once a later call was made.

    bool operator==(const ListDirectory &) const = default;
};

struct WatchDirectory {
    Collection collection = Collection::Routing;
    std::int64_t since = 0;
    Duration wait{0};
    std::string relay; ///< Address of the relay to call; empty for the store.
    int call = 0;

    bool operator==(const WatchDirectory &) const = default;
};

/// Makes a cheap call to the store to find out whether it answers.
struct CheckDirectory {
    bool operator==(const CheckDirectory &) const = default;
};

/// Requests a relay's proof, which states when the store last answered the relay.
struct CheckRelay {
    std::string relay;
    std::string follower; ///< Address of this entry VM; empty if the relay belongs to another zone.
    bool reportsStore = false; ///< Whether to report that the store answers this entry VM, so that a relay without a recent proof checks it at once.

    bool operator==(const CheckRelay &) const = default;
};

/// Requests the newest revisions of another zone's relay, to find out whether local watches still receive changes.
struct ReadRelayRevisions {
    std::string relay;

    bool operator==(const ReadRelayRevisions &) const = default;
};

/// Reads the leader record of this availability zone.
struct ReadLeaderRecord {
    bool allowsStale = false; ///< Allows a stale read, which costs less and may return an earlier leader.

    bool operator==(const ReadLeaderRecord &) const = default;
};

/// Makes this entry VM the leader if the leader record still has the revision that was read.
struct WriteLeaderRecord {
    std::string leader;
    std::int64_t expectedRevision = 0; ///< 0 if the record must not exist.

    bool operator==(const WriteLeaderRecord &) const = default;
};

/// Writes this entry VM's crash report if the object still has the revision that was read.
struct WriteCrashReport {
    CrashReport report;
    std::int64_t expectedRevision = 0; ///< 0 if the object must not exist.

    bool operator==(const WriteCrashReport &) const = default;
};

/// Sends crash updates directly to other entry VMs, since they may read them from the store only later.
struct SendCrashUpdates {
    std::vector<std::string> addresses; ///< Relay addresses of the receivers, also of those that are not relays now.
    CrashUpdateMessage message;
    bool isUrgent = false; ///< Whether the updates may make a request blocked that would otherwise crash a further server.
};

/// Requests an exchange of all crash updates with a relay that is newly followed or newly known to this relay.
struct ExchangeCrashUpdates {
    std::string relay;
};

/// Sends counts of answers by version to another entry VM.
struct SendRolloutReports {
    std::string address;
    RolloutReports reports;
};

/// Passes the addresses of entry VMs to which requests can be forwarded to the core.
struct PublishForwardingPeers {
    PeerAddresses peers;
    std::uint64_t order = 0; ///< Increases with each such action.
};

/// Announces whether this entry VM is a proxy reporter: a relay, or an entry VM without a relay, which publishes crash reports to the store on
/// behalf of entry VMs that may be dead.
struct PublishProxyReporting {
    bool isProxyReporter = false;
};

/// Publishes the changed crash reports of all entry VMs.
struct PublishCrashReports {
    std::vector<NamedCrashReport> reports;
    std::uint64_t sequence = 0; ///< Increases with each publication.
};

/// Applies a newer state of routes and servers.
struct PublishDirectory {
    std::shared_ptr<const ActiveIntent> intent;
};

/// Logs a change in the state of the store, its objects or the relay.
struct LogDirectoryEvent {
    std::string message;
    std::string detail;

    bool operator==(const LogDirectoryEvent &) const = default;
};

using DirectoryAction = std::variant<ListDirectory,
                                     WatchDirectory,
                                     CheckDirectory,
                                     CheckRelay,
                                     ReadRelayRevisions,
                                     ReadLeaderRecord,
                                     WriteLeaderRecord,
                                     WriteCrashReport,
                                     SendCrashUpdates,
                                     ExchangeCrashUpdates,
                                     SendRolloutReports,
                                     WriteRolloutStatus,
                                     PublishForwardingPeers,
                                     PublishProxyReporting,
                                     PublishCrashReports,
                                     PublishDirectory,
                                     LogDirectoryEvent>;
using DirectoryActions = std::vector<DirectoryAction>;

/// Changes of one collection that a relay sends to followers.
struct CollectionUpdate {
    std::int64_t revision = 0; ///< Sequence number of the relay's latest change; unrelated to store revisions.
    std::int64_t storeRevision = 0; ///< Store revision up to which the relay has received changes.
    std::vector<DirectoryEntry> entries; ///< Carry text only, no parsed values.
};

/// An event and the number of the call that it answers.
struct DirectoryAnswer {
    int call = 0;
    DirectoryEvent event;
};

} // namespace Cloverbarrow
