/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashdetector.h"
#include "core/crashes/requestblocklist.h"
#include "core/crashes/requestfingerprint.h"
#include "core/intent/configuration.h"
#include "core/requests/forwardingpeers.h"
#include "core/rollouts/versionevidence.h"
#include "core/servers/backoffnotice.h"
#include "core/servers/loadreport.h"
#include "core/servers/requestlimit.h"
#include "core/servers/slowserverreport.h"
#include "core/storecall.h"
#include "core/support/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// Identifies a caller's request within one entry VM; never reused.
using RequestId = std::uint64_t;

/// Whether a request that got no answer from a backend server was executed; reported to the caller.
enum class ExecutionStatus {
    NotExecuted, ///< It was certainly not executed; retrying it is safe.
    Unknown, ///< It may have been executed.
};

/// Why a request is refused, as distinguished by the metrics.
enum class RefusalCause {
    Other,
    Capacity, ///< Capacity is scarce, and requests that rank before this one use it.
    Late, ///< The same, and the request can no longer meet its objective.
    QuotaUse, ///< The same, and the workspace sends more than its usual load.
    NoTime, ///< No server can answer before the deadline.
};

/// A refusal, sent to the caller as application/problem+json.
struct Problem {
    int status = 503;
    ExecutionStatus executionStatus = ExecutionStatus::NotExecuted;
    std::string step;
    std::string peer;
    std::string detail;
    std::optional<Duration> retryAfter;
    bool isLocalFault = false; ///< The cause lies with this entry VM, so another one may serve the request.
    RefusalCause cause = RefusalCause::Other;

    bool operator==(const Problem &) const = default;
};

// Events

/// A caller's request that has passed validation.
struct RequestArrived {
    RequestId request = 0;
    std::size_t kind = 0;
    KindClass kindClass = KindClass::Read; ///< As routed; later configurations do not change it.
    TimePoint deadline;
    bool isPartOfRetry = false; ///< The request belongs to a retry by a level above, so only attempts that were never sent are retried here.
    int maxAttempts = 0; ///< As configured for the route; 0 when the service's retry rule applies.
    Duration latencyObjective{0}; ///< As configured for the route; 0 for none.
    int priority = 0; ///< 0 is served first when there is too little free capacity.
    Duration callerTimeLeft{0}; ///< How long the caller would wait when the request arrived; 0 when it does not state it.
    Duration heldFor{0}; ///< How long ago the request arrived at this entry VM, which was starting.
    TimePoint arrivedAt; ///< Set by the shard.
    Duration priorWait{0}; ///< How long the caller had already waited, with earlier requests. Set by the shard.
    std::string idempotencyKey; ///< Payouts only.
    std::string digest; ///< Digest of method, target and body; payouts only.
    RequestFingerprint fingerprint; ///< Identifies the same request when it is sent again.
    bool isForwarded = false; ///< Another entry VM has forwarded it, which counts it for budgets and quotas. It is not forwarded again.
    std::uint64_t workspace = 0; ///< Hash of the workspace's name; 0 for an anonymous caller.
    std::vector<std::string> avoidedServers; ///< Servers that have requested a backoff from the entry VM that has forwarded the request.
    double quotaUse = 0; ///< Fraction of the workspace's quota in use lately, above 1 when it is exceeded; 0 if unknown.
};

/// The caller has disconnected and no longer waits for the answer.
struct CallerGone {
    RequestId request = 0;
};

/// A complete answer of a backend server.
struct CompleteAnswer {
    int status = 200;
    bool isNotExecuted = false; ///< The backend server declares that it did not execute the request.
    bool isLeaving = false; ///< The backend server reports that it is leaving.
    bool wasRetriedBelow = false; ///< A level below has already retried; another retry here would multiply the attempts.
    std::string contentType;
    std::string shortResult; ///< The body, if short enough to be stored in a payout record.
    bool isResultComplete = true; ///< False when the body is too long to be stored.
    bool isMisleading = false; ///< Returning it would tell the caller something that the backend server did not state.
    bool isFromAnotherServer = false; ///< Another backend server answered, which has taken over the address.
};

/// No byte of the request was sent.
struct NotSent {
    std::string reason;
};

/// The request was sent, but no complete answer arrived.
struct LostAnswer {
    std::string reason;
    bool isTimeout = false;
};

using AttemptOutcome = std::variant<CompleteAnswer, NotSent, LostAnswer>;

/// An attempt has ended, with or without success.
struct AttemptEnded {
    RequestId request = 0;
    int attempt = 1;
    AttemptOutcome outcome;
    std::optional<LoadReport> report; ///< As reported with the answer.
    std::optional<Duration> warmUp = {}; ///< Remaining warm-up time of the server, as reported with the answer.
    std::optional<LimitNotice> limit = {}; ///< Empty without a complete answer.
    BackoffNotice backoff = {};
    bool usedNewConnection = false; ///< A connection was opened for the attempt, or could not be opened.
};

/// A peer has returned the answer of a backend server to a forwarded request.
struct ForwardAnswered {
};

/// A peer has refused a forwarded request.
struct ForwardRefused {
    Problem problem;
};

using ForwardOutcome = std::variant<ForwardAnswered, ForwardRefused, NotSent, LostAnswer>;

/// The forwarding of a request to a peer has ended, with or without success.
struct ForwardEnded {
    RequestId request = 0;
    int attempt = 1;
    ForwardOutcome outcome;
    std::vector<ServerBackoff> backoffs = {}; ///< As servers have requested in rejections of the peer's attempts.
};

/// Other entry VMs to which requests can be forwarded.
struct ForwardingPeersChanged {
    PeerAddresses peers;
    std::uint64_t order = 0; ///< As in LeavingServersChanged.
};

/// One probe may be sent now, from this share of the probe budget.
struct ProbePermitted {
    int share = 0;
};

/// The result of a probe.
struct ProbeEnded {
    std::string backend;
    bool isHealthy = false;
    bool isLeaving = false;
    std::optional<LoadReport> report;
    std::optional<RequestId> request; ///< Request whose server choice waits for this probe.
    ServerLiveness liveness = ServerLiveness::Unresponsive;
    bool isStatusCheck = false; ///< As in StartProbe.
    std::optional<Duration> warmUp = {}; ///< Remaining warm-up time of the server, as reported with the answer.
    std::optional<LimitNotice> limit = {}; ///< Empty without a complete answer.
    TimePoint sentAt = {}; ///< When the probe was sent.
    BackoffNotice backoff = {};
    bool usedNewConnection = false; ///< A connection was opened for the probe, or could not be opened.
    bool isConnected = true; ///< False if no connection to the server was established.
};

/// The platform's answer to a call for a payout record.
struct PayoutStoreAnswered {
    RequestId request = 0;
    StoreResult result;
};

/// The part of a configuration that concerns this service.
struct ServiceConfigured {
    ServiceConfigured(std::int64_t number, Service configured)
        : version(number)
        , service(std::make_shared<const Service>(std::move(configured)))
    {
    }
    ServiceConfigured(std::int64_t number, std::shared_ptr<const Service> configured)
        : version(number)
        , service(std::move(configured))
    {
    }

    std::int64_t version = 0;
    std::shared_ptr<const Service> service; ///< Shared, since a service may have thousands of servers.
};

/// The names of all backend servers that are leaving.
struct LeavingServersChanged {
    std::vector<std::string> leaving;
    std::uint64_t order = 0; ///< Increases with each such event; an older one that arrives late is ignored.
};

/// The number of entry VMs that share the connections of the backend servers.
struct FleetSizeChanged {
    int entryVms = 1;
    std::uint64_t order = 0; ///< As in LeavingServersChanged.
};

/// Attempts of peers that are in flight at one backend server, as last reported.
struct PeersInFlightReported {
    std::string backend;
    int count = 0;
};

/// The current request blocklist.
struct BlocklistChanged {
    std::shared_ptr<const RequestBlocklist> blocklist;
    std::uint64_t order = 0; ///< As in LeavingServersChanged.
};

/// Request limits that peers have received from backend servers, including those of other services.
struct LimitsReported {
    std::vector<LimitReport> reports;
};

/// Reports of other entry VMs on slow servers, including those of other services.
struct SlowServersReported {
    std::vector<SlowServerReport> reports;
};

/// The process has been asked to stop and exits at this time, or earlier if it has nothing left to do.
struct ExitScheduled {
    TimePoint at;
};

/// The process is about to exit. Requests that have not been sent to a server by then will not be.
struct ProcessExiting {
};

struct Tick {
};

using ServiceEvent = std::variant<RequestArrived,
                                  CallerGone,
                                  AttemptEnded,
                                  ForwardEnded,
                                  ForwardingPeersChanged,
                                  ProbePermitted,
                                  ProbeEnded,
                                  PayoutStoreAnswered,
                                  ServiceConfigured,
                                  LeavingServersChanged,
                                  FleetSizeChanged,
                                  PeersInFlightReported,
                                  BlocklistChanged,
                                  LimitsReported,
                                  SlowServersReported,
                                  ExitScheduled,
                                  ProcessExiting,
                                  Tick>;

// Actions

/// Why an attempt is made and how its server was chosen; only for the log.
struct AttemptLogContext {
    enum class Cause {
        First,
        Retry,
        Hedge,
    };

    Cause cause = Cause::First;
    std::optional<LoadReport> report; ///< The server's latest load report.
    Duration reportAge{0};
    int serversProbed = 0; ///< Servers that were probed for this choice.
    Duration priorWait{0}; ///< How long the caller had already waited, with earlier requests.
    std::optional<double> limit; ///< Requests per second that the server accepts.
    Duration limitAge{0}; ///< Time since the server or a peer last reported the limit.
    int limitShare = 0; ///< Requests that this entry VM may send within a window of the limit.
    std::optional<Duration> slowHintAge; ///< Age of the report that names the server as slow, if there is one.
};

/// Send the request to a backend server.
struct StartAttempt {
    RequestId request = 0;
    int attempt = 1;
    std::string backend;
    std::string address;
    TimePoint deadline;
    bool mayReuseConnection = false;
    AttemptLogContext logContext;

    bool operator==(const StartAttempt &other) const
    {
        // The log context affects no decision.
        return request == other.request && attempt == other.attempt && backend == other.backend && address == other.address && deadline == other.deadline
            && mayReuseConnection == other.mayReuseConnection;
    }
};

/// Forward the request to another entry VM, since this one reaches no backend server.
struct StartForward {
    RequestId request = 0;
    int attempt = 1;
    std::string peer; ///< Address of the entry VM.
    TimePoint deadline;
    int maxAttempts = 1; ///< Attempts that the peer may make.
    Duration priorWait{0}; ///< How long the caller has waited so far.
    bool mayReuseConnection = false;
    std::vector<std::string> avoidedServers = {}; ///< Servers that have requested a backoff.

    bool operator==(const StartForward &) const = default;
};

/// Whether this entry VM reaches the servers of the service has changed; only for the log.
struct ServerReachabilityChanged {
    bool isPartitioned = false; ///< No server can be reached.
    bool rejectsNewConnections = false; ///< No new connection to any server can be opened.

    bool operator==(const ServerReachabilityChanged &) const = default;
};

/// A load report shows that its server has dropped the request of an attempt; for the log and the metrics.
struct ServerDroppedRequest {
    RequestId request = 0;
    int attempt = 1;
    std::string backend;
    LoadReport report;
    Duration reportAge{0}; ///< Time since the server was asked for the report.
    Duration attemptAge{0}; ///< Time since the attempt was started.
    int inFlight = 0; ///< Attempts of this entry VM at the server.

    bool operator==(const ServerDroppedRequest &) const = default;
};

/// Whether requests go only to servers that will not drop them has changed; only for the log.
struct SilentServersChanged {
    bool isActive = false;

    bool operator==(const SilentServersChanged &) const = default;
};

/// The answer of the attempt is no longer needed.
struct CancelAttempt {
    RequestId request = 0;
    int attempt = 1;
    std::string address;

    bool operator==(const CancelAttempt &) const = default;
};

/// The request ends without an answer, because its caller has disconnected.
struct DropRequest {
    RequestId request = 0;

    bool operator==(const DropRequest &) const = default;
};

/// Return the answer of this attempt to the caller.
struct ReturnAnswer {
    RequestId request = 0;
    int attempt = 1;

    bool operator==(const ReturnAnswer &) const = default;
};

/// Return the recorded result of an earlier instruction with the same key to the caller.
struct ReplayAnswer {
    RequestId request = 0;
    int status = 200;
    std::string contentType;
    std::string body;

    bool operator==(const ReplayAnswer &) const = default;
};

/// Refuse the request at once, without an answer from a backend server.
struct Refuse {
    RequestId request = 0;
    Problem problem;

    bool operator==(const Refuse &) const = default;
};

/// Call the platform's store for a payout record.
struct CallPayoutStore {
    RequestId request = 0;
    StoreCall call;

    bool operator==(const CallPayoutStore &) const = default;
};

/// Probe a backend server.
struct StartProbe {
    int share = 0;
    std::string backend;
    std::string address;
    std::string path;
    std::optional<RequestId> request; ///< Request whose server choice waits for this probe; such a probe uses no share.
    bool isStatusCheck = false; ///< Checks after a lost answer whether the server has crashed, or whether its limit still applies; uses no share.

    bool operator==(const StartProbe &) const = default;
};

/// Return an unused probe permit, since no server needs a probe now.
struct ReturnPermit {
    int share = 0;

    bool operator==(const ReturnPermit &) const = default;
};

/// Report to all entry VMs that a backend server is leaving.
struct ReportServerLeaving {
    std::string backend;

    bool operator==(const ReportServerLeaving &) const = default;
};

/// Report that a backend server crashed while requests of this entry VM were in flight there.
struct ReportServerCrash {
    std::string backend;
    std::vector<RequestFingerprint> fingerprints; ///< Fingerprints of these requests.

    bool operator==(const ReportServerCrash &) const = default;
};

/// Report that the answer of a backend server was lost, so that it may have crashed. Probes will show whether it has.
struct ReportServerSuspected {
    std::string backend;
    RequestFingerprint fingerprint; ///< Fingerprint of the request whose answer was lost.

    bool operator==(const ReportServerSuspected &) const = default;
};

/// Report that a backend server has not crashed, contrary to an earlier report.
struct ReportServerRecovered {
    std::string backend;
    bool wasCrashed = true; ///< It was reported as crashed; otherwise it was only suspected.

    bool operator==(const ReportServerRecovered &) const = default;
};

/// Report that a suspect request was answered: one that had been in flight at servers when they crashed.
struct ReportSuspectAnswered {
    RequestFingerprint fingerprint;

    bool operator==(const ReportSuspectAnswered &) const = default;
};

/// A backend server gets no attempts for some time; only for the log.
struct ServerEjected {
    std::string backend;
    Duration duration{0};
    std::string reason;

    bool operator==(const ServerEjected &) const = default;
};

/// The request limit of a backend server was announced, has changed or has ended, or was announced again after some time.
struct ServerLimitObserved {
    std::string backend;
    std::optional<double> perSecond; ///< Empty when the limit has ended.
    std::optional<int> share; ///< Requests that this entry VM may send within a window of the limit.
    std::optional<NoticeSource> source; ///< Empty when a peer has reported it.
    TimePoint observedAt;
    bool isChanged = true;

    bool operator==(const ServerLimitObserved &) const = default;
};

/// A backend server announced a limit that cannot be parsed; the current limit stays.
struct ServerLimitUnreadable {
    std::string backend;
    std::string text;

    bool operator==(const ServerLimitUnreadable &) const = default;
};

/// A backend server gets no requests for some time, as it has requested; only for the log.
struct ServerBackoffStarted {
    std::string backend;
    Duration duration{0};

    bool operator==(const ServerBackoffStarted &) const = default;
};

/// A backend server requested a backoff that cannot be parsed; it is ignored.
struct ServerBackoffUnreadable {
    std::string backend;
    std::string text;

    bool operator==(const ServerBackoffUnreadable &) const = default;
};

/// An attempt shows that its server is slow, to be reported to other entry VMs.
struct SlowServerObserved {
    SlowServerReport report;
    RequestId request = 0;
    int attempt = 1;
    Duration attemptAge{0}; ///< Time since the attempt was started.
    Duration slowAfter{0}; ///< Age from which the attempt counts as slow.
    std::optional<LoadReport> load; ///< The server's latest load report.
    Duration loadAge{0}; ///< Its age.
    std::size_t hints = 0; ///< Servers of the service that are named as slow, with this one.

    bool operator==(const SlowServerObserved &) const = default;
};

/// Another entry VM has reported a server as slow, which is now used only if no other has free capacity; for the log and the metrics.
struct SlowServerHintAdded {
    SlowServerReport report;
    Duration age{0}; ///< Time since the observation.
    Duration lifetime{0}; ///< Time until the hint expires.
    std::size_t hints = 0; ///< As in SlowServerObserved.

    bool operator==(const SlowServerHintAdded &) const = default;
};

/// A response in the usual time has overridden a report that its server is slow; for the log and the metrics.
struct SlowServerHintOverridden {
    std::string backend;
    Duration age{0}; ///< Time since the observation that was reported.
    Duration latency{0}; ///< Of the response.
    std::size_t hints = 0; ///< Servers of the service that are still named as slow.
    RequestId request = 0;
    int attempt = 1;

    bool operator==(const SlowServerHintOverridden &) const = default;
};

/// Hints on slow servers have expired, or have begun or ceased to affect the choice of servers; for the log and the metrics.
struct SlowServerHintsUpdated {
    std::size_t expired = 0;
    std::size_t hints = 0; ///< As in SlowServerHintOverridden.
    bool isSuspended = false; ///< Too many servers are named, so hints do not affect the choice.

    bool operator==(const SlowServerHintsUpdated &) const = default;
};

/// Outcome of an attempt while a rollout is running.
struct VersionOutcomeObserved {
    VersionOutcome outcome;

    bool operator==(const VersionOutcomeObserved &) const = default;
};

using ServiceAction = std::variant<StartAttempt,
                                   StartForward,
                                   ServerReachabilityChanged,
                                   ServerDroppedRequest,
                                   SilentServersChanged,
                                   CancelAttempt,
                                   DropRequest,
                                   ReturnAnswer,
                                   ReplayAnswer,
                                   Refuse,
                                   CallPayoutStore,
                                   StartProbe,
                                   ReturnPermit,
                                   ReportServerLeaving,
                                   ReportServerSuspected,
                                   ReportServerCrash,
                                   ReportServerRecovered,
                                   ReportSuspectAnswered,
                                   ServerEjected,
                                   ServerLimitObserved,
                                   ServerLimitUnreadable,
                                   ServerBackoffStarted,
                                   ServerBackoffUnreadable,
                                   SlowServerObserved,
                                   SlowServerHintAdded,
                                   SlowServerHintOverridden,
                                   SlowServerHintsUpdated,
                                   VersionOutcomeObserved>;
using ServiceActions = std::vector<ServiceAction>;

} // namespace Cloverbarrow
