/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashnews.h"
#include "core/crashes/crashreport.h"
#include "core/crashes/crashverdicts.h"
#include "core/intent/intentkeeper.h"
#include "core/measuring/measuringshares.h"
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

/// Time has passed; comes several times a second.
struct ControlTick {
    WorkLeft left; ///< Requests and payouts only.
};

/// A peer's heartbeat, or its answer to the own one.
struct HeartbeatReceived {
    Heartbeat heartbeat;
};

/// No answer to the own heartbeat.
struct HeartbeatFailed {
    std::string address;
};

/// A peer that was asked has reached another.
struct PeerVouched {
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

/// The platform answered a watch; nothing means that there is nothing newer.
struct WatchAnswered {
    std::optional<StoreFound> newer;
};

struct WatchFailed {
};

struct StoreAnswered {
    StoreObject object;
    StoreResult result;
};

/// One machine of the platform's VM list.
struct ListedVm {
    std::string name;
    std::string peerAddress; ///< Entry VMs only; else empty.
    bool isLeaving = false;

    bool operator==(const ListedVm &) const = default;
};

struct VmsListed {
    std::vector<ListedVm> vms;
};

/// A backend server said that it is leaving.
struct LeavingSeen {
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

/// The directory has a newer state of routes and backend servers.
struct DirectoryPublished {
    std::shared_ptr<const IntentInForce> intent;
};

/// The answer of a backend server to a request of this entry VM was lost, so it may have ended.
struct ServerEndSuspected {
    std::string backend;
    RequestContent content;
};

/// A backend server has ended while it had requests of this entry VM.
struct ServerEndSeen {
    std::string backend;
    std::vector<RequestContent> contents;
};

/// A backend server of which that was told has not ended.
struct ServerHeardAgain {
    std::string backend;
    bool wasEnded = true; ///< It counted as ended; else it was only suspected.
};

/// A request under which servers had ended was answered.
struct SuspectAnswered {
    RequestContent content;
};

/// What entry VMs have told of servers that ended under requests; all that is known now.
struct CrashReportsTold {
    std::vector<NamedCrashReport> reports;
    std::uint64_t order = 0; ///< Rises with each such event; an older one that comes late is ignored.
};

/// Another entry VM has told crash news to this one.
struct CrashNewsHeard {
    CrashNewsMessage message;
};

/// The relay knows nothing of this entry VM yet, nor this one of what the relay has heard.
struct CrashNewsWanted {
    std::string relay;
};

/// Whether this entry VM tells the store what others may have seen and not told it: as a relay, or as one that has none.
struct WitnessingChanged {
    bool isWitness = false;
};

struct StopRequested {
};

using ControlEvent = std::variant<ControlTick,
                                  HeartbeatReceived,
                                  HeartbeatFailed,
                                  PeerVouched,
                                  IntentFetched,
                                  IntentFetchFailed,
                                  IntentAccepted,
                                  WatchAnswered,
                                  WatchFailed,
                                  StoreAnswered,
                                  VmsListed,
                                  LeavingSeen,
                                  ProbeFinished,
                                  PermitReturned,
                                  DirectoryPublished,
                                  ServerEndSuspected,
                                  ServerEndSeen,
                                  ServerHeardAgain,
                                  SuspectAnswered,
                                  CrashReportsTold,
                                  CrashNewsHeard,
                                  CrashNewsWanted,
                                  WitnessingChanged,
                                  StopRequested>;

// Actions

struct SendHeartbeat {
    std::string address;
    Heartbeat heartbeat;

    bool operator==(const SendHeartbeat &) const = default;
};

/// Ask a peer whether it can reach @p subject.
struct AskPeer {
    std::string address;
    Incarnation subject;
    std::string subjectAddress;

    bool operator==(const AskPeer &) const = default;
};

struct AskStore {
    StoreCall call;

    bool operator==(const AskStore &) const = default;
};

struct ListVms {
    bool operator==(const ListVms &) const = default;
};

/// The set of leaving backend servers has changed.
struct LeavingUpdated {
    bool operator==(const LeavingUpdated &) const = default;
};

struct FleetResized {
    int entryVms = 1;
    std::uint64_t order = 0; ///< Number of the event that decided it; threads may carry actions out of order.

    bool operator==(const FleetResized &) const = default;
};

/// Tell the platform's balancer whether to send callers here.
struct SetReady {
    bool isReady = false;
    std::string reason;
    std::uint64_t order = 0; ///< As in FleetResized.

    bool operator==(const SetReady &) const = default;
};

/// Tell the other entry VMs under which requests servers have ended.
struct TellCrashes {
    CrashReport report;
    std::uint64_t order = 0; ///< As in FleetResized.

    bool operator==(const TellCrashes &) const = default;
};

/// Tell relays, and followers where this entry VM relays, what the store may show too late.
struct SpreadCrashNews {
    CrashSpread spread;

    bool operator==(const SpreadCrashNews &) const = default;
};

/// Tell one relay all crash news that are known here.
struct SendCrashNews {
    std::string relay;
    std::vector<CrashNews> news;
    bool wantsAnswer = false; ///< The same is to be told in return.

    bool operator==(const SendCrashNews &) const = default;
};

/// Which requests are passed on to no server has changed.
struct CrashVerdictsReached {
    std::shared_ptr<const CrashVerdicts> verdicts;
    std::uint64_t order = 0; ///< As in FleetResized.

    bool operator==(const CrashVerdictsReached &other) const
    {
        return *verdicts == *other.verdicts;
    }
};

/// Take no more connections of callers.
struct StopAccepting {
    bool operator==(const StopAccepting &) const = default;
};

/// The process may end.
struct Exit {
    WorkLeft left;

    bool operator==(const Exit &other) const
    {
        return left.requests == other.left.requests && left.payouts == other.left.payouts && left.holdsShares == other.left.holdsShares;
    }
};

using ControlAction = std::variant<SendHeartbeat,
                                   AskPeer,
                                   AskStore,
                                   ListVms,
                                   InstallIntent,
                                   FetchIntent,
                                   WatchIntent,
                                   ReportBadIntent,
                                   PermitProbe,
                                   LeavingUpdated,
                                   FleetResized,
                                   SetReady,
                                   TellCrashes,
                                   SpreadCrashNews,
                                   SendCrashNews,
                                   CrashVerdictsReached,
                                   StopAccepting,
                                   Exit>;
using ControlActions = std::vector<ControlAction>;

} // namespace Cloverbarrow
