/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashreport.h"
#include "core/crashes/crashupdate.h"
#include "core/crashes/requestblocklist.h"
#include "core/intent/intentmanager.h"
#include "core/measuring/probeshares.h"
#include "core/membership/member.h"
#include "core/shutdownsequence.h"
#include "core/storecall.h"
#include "core/support/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

// Events

/// Time has passed; sent several times a second.
struct ControlTick {
    RemainingWork remaining; ///< Only the numbers of requests and payouts are set.
};

/// A peer's heartbeat, or its answer to a heartbeat of this entry VM.
struct HeartbeatReceived {
    Heartbeat heartbeat;
};

/// A peer did not answer a heartbeat of this entry VM.
struct HeartbeatFailed {
    std::string address;
};

/// A peer has reached another one on behalf of this entry VM.
struct PeerReachedIndirectly {
    Incarnation subject;
};

struct IntentFetched {
    std::string address;
    std::int64_t version = 0;
    std::string value;
};

struct IntentFetchFailed {
    std::string address;
};

/// An operator's change was accepted through this entry VM.
struct IntentAccepted {
    std::int64_t version = 0;
    std::string value;
};

/// The platform answered a watch.
struct WatchAnswered {
    std::optional<StoreFound> newer; ///< Empty when there is no newer version.
};

struct WatchFailed {
};

struct StoreAnswered {
    StoreObject object;
    StoreResult result;
};

/// One VM in the platform's list.
struct ListedVm {
    std::string name;
    std::string peerAddress; ///< Empty except for entry VMs.
    bool isLeaving = false;

    bool operator==(const ListedVm &) const = default;
};

struct VmsListed {
    std::vector<ListedVm> vms;
};

/// A backend server has announced that it is leaving.
struct ServerLeaving {
    std::string service;
    std::string backend;
};

struct ProbeFinished {
    std::string service;
    int share = 0;
};

struct PermitReturned {
    std::string service;
    int share = 0;
};

/// The directory has a newer version of routes and backend servers.
struct DirectoryPublished {
    std::shared_ptr<const ActiveIntent> intent;
};

/// The answer of a backend server to a request of this entry VM was lost, so the server may have crashed.
struct ServerSuspected {
    std::string backend;
    RequestFingerprint fingerprint;
};

/// A backend server crashed while requests of this entry VM were in flight there.
struct ServerCrashed {
    std::string backend;
    std::vector<RequestFingerprint> fingerprints;
};

/// A backend server has not crashed, contrary to an earlier report.
struct ServerRecovered {
    std::string backend;
    bool wasCrashed = true; ///< It was reported as crashed; otherwise it was only suspected.
};

/// A suspect request was answered: one that had been in flight at servers when they crashed. The answer exonerates it.
struct SuspectAnswered {
    RequestFingerprint fingerprint;
};

/// All crash reports that entry VMs have published so far.
struct CrashReportsReceived {
    std::vector<NamedCrashReport> reports;
    std::uint64_t order = 0; ///< Increases with each such event; an older one that arrives late is ignored.
};

/// Another entry VM has sent crash updates to this one.
struct CrashUpdatesReceived {
    CrashUpdateMessage message;
    bool wereOthersRefused = false; ///< Whether messages of other entry VMs were refused since the last event, for lack of capacity.
};

/// A relay and this entry VM have not yet exchanged their crash updates, so all of them are requested in both directions.
struct CrashUpdatesRequested {
    std::string relay;
};

/// Whether this entry VM is a proxy reporter: it publishes to the store what peers may have observed but not published. Relays and entry VMs
/// without a relay do so.
struct ProxyReporterChanged {
    bool isProxyReporter = false;
};

struct StopRequested {
};

using ControlEvent = std::variant<ControlTick,
                                  HeartbeatReceived,
                                  HeartbeatFailed,
                                  PeerReachedIndirectly,
                                  IntentFetched,
                                  IntentFetchFailed,
                                  IntentAccepted,
                                  WatchAnswered,
                                  WatchFailed,
                                  StoreAnswered,
                                  VmsListed,
                                  ServerLeaving,
                                  ProbeFinished,
                                  PermitReturned,
                                  DirectoryPublished,
                                  ServerSuspected,
                                  ServerCrashed,
                                  ServerRecovered,
                                  SuspectAnswered,
                                  CrashReportsReceived,
                                  CrashUpdatesReceived,
                                  CrashUpdatesRequested,
                                  ProxyReporterChanged,
                                  StopRequested>;

// Actions

struct SendHeartbeat {
    std::string address;
    Heartbeat heartbeat;

    bool operator==(const SendHeartbeat &) const = default;
};

/// Ask a peer whether it can reach @p subject, which did not answer this entry VM.
struct RequestIndirectContact {
    std::string address;
    Incarnation subject;
    std::string subjectAddress;

    bool operator==(const RequestIndirectContact &) const = default;
};

struct CallStore {
    StoreCall call;

    bool operator==(const CallStore &) const = default;
};

struct ListVms {
    bool operator==(const ListVms &) const = default;
};

/// The set of leaving backend servers has changed.
struct UpdateLeavingServers {
    bool operator==(const UpdateLeavingServers &) const = default;
};

struct UpdateFleetSize {
    int entryVms = 1;
    std::uint64_t order = 0; ///< Number of the event that caused the action; threads may carry out actions in another order.

    bool operator==(const UpdateFleetSize &) const = default;
};

/// Set the readiness that the platform's load balancer sees.
struct SetReady {
    bool isReady = false;
    std::string reason;
    std::uint64_t order = 0; ///< As in UpdateFleetSize.

    bool operator==(const SetReady &) const = default;
};

/// Publish to the peers which requests were in flight at servers when these crashed.
struct PublishCrashReport {
    CrashReport report;
    std::uint64_t order = 0; ///< As in UpdateFleetSize.

    bool operator==(const PublishCrashReport &) const = default;
};

/// Send crash updates directly to relays, and to the followers if this entry VM is a relay, since the store may deliver them too late.
struct BroadcastCrashUpdates {
    CrashBroadcast broadcast;

    bool operator==(const BroadcastCrashUpdates &) const = default;
};

/// Send all crash updates of this entry VM to one relay.
struct SendAllCrashUpdates {
    std::string relay;
    std::vector<CrashUpdate> updates;
    bool wantsReply = false; ///< The relay is asked to send the updates that this entry VM lacks in return.
    std::vector<CrashUpdateVersion> held = {}; ///< Updates that this entry VM has, if it wants a reply.

    bool operator==(const SendAllCrashUpdates &) const = default;
};

/// The request blocklist has changed.
struct UpdateBlocklist {
    std::shared_ptr<const RequestBlocklist> blocklist;
    std::uint64_t order = 0; ///< As in UpdateFleetSize.

    bool operator==(const UpdateBlocklist &other) const
    {
        return *blocklist == *other.blocklist;
    }
};

/// Announce with each answer to a caller that its connection closes.
struct AnnounceClose {
    bool operator==(const AnnounceClose &) const = default;
};

/// Refuse requests that cannot be expected to finish before the process exits, which it does at this time at the latest.
struct ScheduleExit {
    TimePoint at;

    bool operator==(const ScheduleExit &) const = default;
};

/// Refuse further requests of callers, and close their connections.
struct StopAccepting {
    bool operator==(const StopAccepting &) const = default;
};

/// Refuse the requests that have not been sent to a server, and start no more attempts.
struct RefuseUnsent {
    bool operator==(const RefuseUnsent &) const = default;
};

/// The process may exit.
struct Exit {
    RemainingWork remaining;

    bool operator==(const Exit &other) const
    {
        return remaining.requests == other.remaining.requests && remaining.payouts == other.remaining.payouts
            && remaining.holdsShares == other.remaining.holdsShares;
    }
};

using ControlAction = std::variant<SendHeartbeat,
                                   RequestIndirectContact,
                                   CallStore,
                                   ListVms,
                                   InstallIntent,
                                   FetchIntent,
                                   WatchIntent,
                                   ReportInvalidIntent,
                                   ProbePermit,
                                   UpdateLeavingServers,
                                   UpdateFleetSize,
                                   SetReady,
                                   PublishCrashReport,
                                   BroadcastCrashUpdates,
                                   SendAllCrashUpdates,
                                   UpdateBlocklist,
                                   AnnounceClose,
                                   ScheduleExit,
                                   StopAccepting,
                                   RefuseUnsent,
                                   Exit>;
using ControlActions = std::vector<ControlAction>;

} // namespace Cloverbarrow
