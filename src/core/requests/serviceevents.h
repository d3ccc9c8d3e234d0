/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashverdicts.h"
#include "core/crashes/requestcontent.h"
#include "core/crashes/serverendwatch.h"
#include "core/intent/configuration.h"
#include "core/servers/loadreport.h"
#include "core/servers/requestlimit.h"
#include "core/storecall.h"
#include "core/support/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// Names a caller's request within one entry VM; never used twice.
using RequestId = std::uint64_t;

/// What a caller is told about a request that got no answer of a backend server.
enum class Fate {
    NotRun, ///< It was certainly not run; repeating it is safe.
    Unknown, ///< It may have been run.
};

/// A refusal, told to the caller as application/problem+json.
struct Problem {
    int status = 503;
    Fate fate = Fate::NotRun;
    std::string step;
    std::string peer;
    std::string detail;
    std::optional<Duration> retryAfter;

    bool operator==(const Problem &) const = default;
};

// Events

/// A checked request of a caller.
struct RequestArrived {
    RequestId request = 0;
    std::size_t kind = 0;
    KindClass kindClass = KindClass::Read; ///< As routed, whatever the configuration says later.
    TimePoint deadline;
    bool isRetryAbove = false; ///< A level above is already retrying; only what never left is tried again here.
    int maxAttempts = 0; ///< As the route says; 0 where the service's rule counts.
    Duration latencyObjective{0}; ///< As the route says; 0 where it says nothing.
    int priority = 0; ///< 0 goes first when there is too little room.
    Duration callerTimeLeft{0}; ///< How long the caller will wait; 0 where it does not say.
    TimePoint arrivedAt; ///< Set by the shard.
    Duration waitedBefore{0}; ///< How long the caller had waited before, with earlier requests. Set by the shard.
    std::string idempotencyKey; ///< Payouts only.
    std::string digest; ///< Of method, target and body; payouts only.
    RequestContent content; ///< Tells it when it comes again.
};

/// The caller has gone; nobody waits for the answer.
struct CallerGone {
    RequestId request = 0;
};

/// A whole answer.
struct AnsweredWhole {
    int status = 200;
    bool isNotRun = false; ///< The backend server declares that it did not run the request.
    bool isLeaving = false; ///< The backend server says that it is leaving.
    bool isRetriedBelow = false; ///< A level below has done the retrying that there was to do.
    std::string contentType;
    std::string shortResult; ///< The body, where short enough to keep with a payout.
    bool isResultWhole = true; ///< False when the body is too long to keep.
    bool isMisleading = false; ///< Passed on, it would tell the caller what the backend server did not say.
    bool isByAnother = false; ///< Another backend server answered, which has the address of the one that was asked now.
};

/// Nothing of the request left this entry VM.
struct NeverLeft {
    std::string reason;
};

/// The request left, and no whole answer came.
struct LostAnswer {
    std::string reason;
    bool isTimeout = false;
};

using AttemptOutcome = std::variant<AnsweredWhole, NeverLeft, LostAnswer>;

/// An attempt has ended, however it did.
struct AttemptEnded {
    RequestId request = 0;
    int attempt = 1;
    AttemptOutcome outcome;
    std::optional<LoadReport> report; ///< As the backend server told when it answered.
    std::optional<Duration> warmUp = {}; ///< How much longer it stays cold, as it told then.
    std::optional<LimitNotice> limit = {}; ///< Nothing without a whole answer.
};

/// A share of the measuring budget may be used for one probe now.
struct ProbePermitted {
    int share = 0;
};

/// The result of a probe.
struct ProbeEnded {
    std::string backend;
    bool isHealthy = false;
    bool isLeaving = false;
    std::optional<LoadReport> report;
    std::optional<RequestId> request; ///< That waits for it to choose a server.
    LifeSign sign = LifeSign::Silent;
    bool isExtra = false; ///< As in StartProbe.
    std::optional<Duration> warmUp = {}; ///< How much longer the server stays cold, as it told.
    std::optional<LimitNotice> limit = {}; ///< Nothing without a whole answer.
    TimePoint askedAt = {}; ///< When the probe was sent.
};

/// The platform's answer about a payout's record.
struct PayoutStoreAnswered {
    RequestId request = 0;
    StoreResult result;
};

/// The part of a configuration that concerns this service.
struct ServiceConfigured {
    std::int64_t version = 0;
    Service service;
};

/// Which backend servers are known to be leaving, by name.
struct LeavingChanged {
    std::vector<std::string> leaving;
    std::uint64_t order = 0; ///< Rises with each such event; an older one that comes late is ignored.
};

/// How many entry VMs share the connections of the backend servers.
struct FleetSizeChanged {
    int entryVms = 1;
    std::uint64_t order = 0; ///< As in LeavingChanged.
};

/// Attempts of peers at one backend server, as they last told.
struct PeersInFlightTold {
    std::string backend;
    int count = 0;
};

/// Which requests are not passed on, as this entry VM knows now.
struct CrashVerdictsChanged {
    std::shared_ptr<const CrashVerdicts> verdicts;
    std::uint64_t order = 0; ///< As in LeavingChanged.
};

/// What peers have heard of limits on requests, also of servers of other services.
struct LimitsReported {
    std::vector<LimitReport> reports;
};

struct Tick {
};

using ServiceEvent = std::variant<RequestArrived,
                                  CallerGone,
                                  AttemptEnded,
                                  ProbePermitted,
                                  ProbeEnded,
                                  PayoutStoreAnswered,
                                  ServiceConfigured,
                                  LeavingChanged,
                                  FleetSizeChanged,
                                  PeersInFlightTold,
                                  CrashVerdictsChanged,
                                  LimitsReported,
                                  Tick>;

// Actions

/// Why an attempt is made, and what its server was chosen by; for the log.
struct ChoiceNote {
    enum class Cause {
        First,
        Retry,
        Hedge,
    };

    Cause cause = Cause::First;
    std::optional<LoadReport> report; ///< The server's last one.
    Duration reportAge{0};
    int probes = 0; ///< Servers that were asked for this choice.
    Duration waitedBefore{0}; ///< How long the caller had waited with earlier requests.
    std::optional<double> limit; ///< On the server's requests a second.
    Duration limitAge{0}; ///< Since it was last heard.
    int limitShare = 0; ///< Requests of this entry VM in a window of it.
};

/// Send the request to a backend server.
struct StartAttempt {
    RequestId request = 0;
    int attempt = 1;
    std::string backend;
    std::string address;
    TimePoint deadline;
    bool mayReuseConnection = false;
    ChoiceNote note;

    bool operator==(const StartAttempt &other) const
    {
        // The note decides nothing.
        return request == other.request && attempt == other.attempt && backend == other.backend && address == other.address && deadline == other.deadline
            && mayReuseConnection == other.mayReuseConnection;
    }
};

/// Nobody needs the attempt's answer any more.
struct CancelAttempt {
    RequestId request = 0;
    int attempt = 1;
    std::string address;

    bool operator==(const CancelAttempt &) const = default;
};

/// The request ends without an answer, since its caller has gone.
struct DropRequest {
    RequestId request = 0;

    bool operator==(const DropRequest &) const = default;
};

/// Give the caller the answer of this attempt.
struct PassAnswer {
    RequestId request = 0;
    int attempt = 1;

    bool operator==(const PassAnswer &) const = default;
};

/// Give the caller the recorded result of an earlier instruction with the same key.
struct ReplayAnswer {
    RequestId request = 0;
    int status = 200;
    std::string contentType;
    std::string body;

    bool operator==(const ReplayAnswer &) const = default;
};

/// Tell the caller at once that the request gets no answer of a backend server.
struct Refuse {
    RequestId request = 0;
    Problem problem;

    bool operator==(const Refuse &) const = default;
};

/// Ask the platform about a payout's record.
struct AskPayoutStore {
    RequestId request = 0;
    StoreCall call;

    bool operator==(const AskPayoutStore &) const = default;
};

/// Measure a backend server.
struct StartProbe {
    int share = 0;
    std::string backend;
    std::string address;
    std::string path;
    std::optional<RequestId> request; ///< That waits for it to choose a server; such a probe uses no share.
    bool isExtra = false; ///< Asks whether the server has ended, after a lost answer, or whether its limit still stands; uses no share.

    bool operator==(const StartProbe &) const = default;
};

/// No server is worth a probe now.
struct ReturnPermit {
    int share = 0;

    bool operator==(const ReturnPermit &) const = default;
};

/// Tell all entry VMs that a backend server is leaving.
struct TellLeaving {
    std::string backend;

    bool operator==(const TellLeaving &) const = default;
};

/// A backend server has ended while it had requests of this entry VM.
struct TellServerEnded {
    std::string backend;
    std::vector<RequestContent> contents; ///< Of these requests.

    bool operator==(const TellServerEnded &) const = default;
};

/// The answer of a backend server to a request of this entry VM was lost; whether it has ended is being found out.
struct TellServerSuspected {
    std::string backend;
    RequestContent content; ///< Of the request.

    bool operator==(const TellServerSuspected &) const = default;
};

/// A backend server of which that was told has not ended.
struct TellServerHeardAgain {
    std::string backend;
    bool wasEnded = true; ///< It counted as ended; else it was only suspected.

    bool operator==(const TellServerHeardAgain &) const = default;
};

/// A request under which servers had ended was answered.
struct TellSuspectAnswered {
    RequestContent content;

    bool operator==(const TellSuspectAnswered &) const = default;
};

/// A backend server gets no attempts for a while; for the log.
struct ServerEjected {
    std::string backend;
    Duration lasts{0};
    std::string reason;

    bool operator==(const ServerEjected &) const = default;
};

/// The limit on a backend server's requests was named, has changed, or has ended, or has been named again after a while.
struct ServerLimitHeard {
    std::string backend;
    std::optional<double> perSecond; ///< Nothing when it has ended.
    std::optional<int> share; ///< Requests that this entry VM may send in a window of it.
    std::optional<NoticeSource> source; ///< Nothing when a peer has told.
    TimePoint heardAt;
    bool isChanged = true;

    bool operator==(const ServerLimitHeard &) const = default;
};

/// A backend server names a limit that cannot be read; the one in force stays.
struct ServerLimitUnreadable {
    std::string backend;
    std::string text;

    bool operator==(const ServerLimitUnreadable &) const = default;
};

using ServiceAction = std::variant<StartAttempt,
                                   CancelAttempt,
                                   DropRequest,
                                   PassAnswer,
                                   ReplayAnswer,
                                   Refuse,
                                   AskPayoutStore,
                                   StartProbe,
                                   ReturnPermit,
                                   TellLeaving,
                                   TellServerSuspected,
                                   TellServerEnded,
                                   TellServerHeardAgain,
                                   TellSuspectAnswered,
                                   ServerEjected,
                                   ServerLimitHeard,
                                   ServerLimitUnreadable>;
using ServiceActions = std::vector<ServiceAction>;

} // namespace Cloverbarrow
