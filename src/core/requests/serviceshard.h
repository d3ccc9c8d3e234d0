/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/answeredrequestcache.h"
#include "core/crashes/crashdetector.h"
#include "core/crashes/requestblocklist.h"
#include "core/payouts/payoutcoordinator.h"
#include "core/requests/abandonedattempts.h"
#include "core/requests/admissionthreshold.h"
#include "core/requests/callertimeoutestimator.h"
#include "core/requests/forwardingpeers.h"
#include "core/requests/longestresponses.h"
#include "core/requests/retrybudget.h"
#include "core/requests/serviceevents.h"
#include "core/requests/workspaceusage.h"
#include "core/rollouts/versionsplitter.h"
#include "core/servers/backendpool.h"
#include "core/servers/reachabilitymonitor.h"
#include "core/servers/serverchooser.h"
#include "core/servers/silentserverdetector.h"
#include "core/servers/slowserverdetector.h"
#include "core/servers/unresponsiveservers.h"
#include "core/support/latest.h"
#include "core/support/random.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// All decisions of one entry VM about the requests of one service: admission, the choice of a
/// backend server, retries, deadlines and payouts. Pass it events in time order and carry out the
/// resulting actions, in their order. Not thread-safe; Node keeps each shard under its own lock.
class ServiceShard
{
public:
    /// @param self this process. @param location zone and region of this process. @param name name of the service.
    ServiceShard(Incarnation self, Location location, std::string name, PickPolicy policy, std::uint64_t seed);

    /// @param actions the actions to carry out are appended to it.
    void handle(TimePoint now, const ServiceEvent &event, ServiceActions &actions);

    /// @return requests that have no final answer yet.
    std::size_t openRequests() const;
    /// @return payouts whose record is not yet in its final state.
    std::size_t openPayouts() const;
    const BackendPool &pool() const;

private:
    /// An attempt in flight.
    struct Attempt {
        int number = 1;
        std::string backend;
        std::string address;
        TimePoint startedAt;
        ServerSnapshot serverAtStart; ///< State of the server when the attempt started.
        std::optional<TimePoint> checkedAt; ///< When the server was probed because its answer took long.
        std::optional<TimePoint> reportedDroppedAt; ///< When a report of the server first showed that it has dropped the request.
        bool isForward = false; ///< Forwarded to the entry VM at the address; the name of the server is empty.
        bool wasServerFull = false; ///< All slots of its server were taken when it started or, by a report of the server, later.
        Duration expectedTime{0}; ///< Response time expected when it started.
        bool isReportedSlow = false; ///< Its server was reported as slow because of it.
    };

    struct Request {
        RequestArrived arrival;
        int attempts = 0; ///< Started so far.
        int unsentAttempts = 0; ///< Number of these attempts that were never sent.
        std::vector<Attempt> running;
        std::optional<Choice> choice; ///< While a server is being chosen by probes.
        int serversProbed = 0; ///< Servers probed so far.
        TimePoint choiceDeadline; ///< When the choice of a server is abandoned.
        std::vector<std::string> triedServers; ///< Servers of all attempts, and those that it was to avoid on arrival.
        VersionGroup versions = VersionGroup::Any; ///< Servers that may get its next attempt.
        bool mayHaveExecuted = false; ///< An earlier attempt may have been executed.
        bool isCallerGone = false;
        std::vector<std::string> serversOfLostAnswers; ///< Servers whose answers were lost.
        int forwards = 0; ///< How often it was forwarded to a peer.
        bool isHandedOver = false; ///< A peer may have made all remaining attempts.
    };

    /// What to do after an attempt.
    enum class Disposition {
        Return,
        RetryOrReturn,
        RetryOrRefuse,
        Refuse,
    };

    void on(TimePoint now, const RequestArrived &event, ServiceActions &actions);
    void on(TimePoint now, const CallerGone &event, ServiceActions &actions);
    void on(TimePoint now, const AttemptEnded &event, ServiceActions &actions);
    void on(TimePoint now, const ForwardEnded &event, ServiceActions &actions);
    void on(TimePoint now, const ForwardingPeersChanged &event, ServiceActions &actions);
    void on(TimePoint now, const ProbePermitted &event, ServiceActions &actions);
    void on(TimePoint now, const ProbeEnded &event, ServiceActions &actions);
    void on(TimePoint now, const PayoutStoreAnswered &event, ServiceActions &actions);
    void on(TimePoint now, const ServiceConfigured &event, ServiceActions &actions);
    void on(TimePoint now, const LeavingServersChanged &event, ServiceActions &actions);
    void on(TimePoint now, const FleetSizeChanged &event, ServiceActions &actions);
    void on(TimePoint now, const PeersInFlightReported &event, ServiceActions &actions);
    void on(TimePoint now, const BlocklistChanged &event, ServiceActions &actions);
    void on(TimePoint now, const LimitsReported &event, ServiceActions &actions);
    void on(TimePoint now, const SlowServersReported &event, ServiceActions &actions);
    void on(TimePoint now, const ExitScheduled &event, ServiceActions &actions);
    void on(TimePoint now, const ProcessExiting &event, ServiceActions &actions);
    void on(TimePoint now, const Tick &event, ServiceActions &actions);

    /// Processes the end of an attempt for crash detection. After a lost answer, determines by probes whether the server has crashed.
    void watchForCrash(TimePoint now, const Attempt &attempt, const AttemptEnded &event, ServiceActions &actions);
    /// Passes the result of an answer or a probe to the crash detection.
    void recordLiveness(TimePoint now, const std::string &backend, ServerLiveness liveness, ServiceActions &actions);
    void recordAnswered(TimePoint now, const RequestFingerprint &fingerprint, ServiceActions &actions);
    CrashDetector::DirectoryStatus directoryStatusOf(const std::string &backend) const;
    void reportCrashFindings(const std::string &backend, const CrashDetector::Finding &found, ServiceActions &actions);
    /// Counts servers that have been removed from the configuration as crashed, if their answers were lost shortly before.
    void checkRemovedServers(TimePoint now, ServiceActions &actions);
    void probeSuspectedServers(TimePoint now, ServiceActions &actions);
    /// Refuses requests that wait for a server and have meanwhile been blocked.
    void refuseBlockedRequests(TimePoint now, ServiceActions &actions);
    /// @return whether the request is on the blocklist and has not been answered through this entry VM.
    bool isBlocked(TimePoint now, const RequestFingerprint &fingerprint) const;
    /// @return whether one more attempt may crash more servers than are tolerated, assuming that each lost answer was a crash.
    bool mayCrashTooManyServers(TimePoint now, const Request &request) const;
    Problem blockedRequestProblem(const RequestFingerprint &fingerprint, ExecutionStatus status) const;
    /// Records what the outcome of an attempt shows about the connection to its server, and whether the server answers.
    void recordReachability(TimePoint now, const Attempt &attempt, const Request &request, const AttemptEnded &event);
    /// Records what the result of a probe shows about the connection to its server, and whether the server answers.
    void recordReachability(TimePoint now, const ProbeEnded &event);
    /// @return whether an attempt of such a request opens a new connection.
    bool needsNewConnection(KindClass kindClass) const;
    /// @return whether this entry VM is partitioned from all servers that could execute such a request.
    bool isPartitionedFor(TimePoint now, KindClass kindClass) const;
    /// @return whether a request that a peer has forwarded may be accepted.
    bool mayAcceptForwarded(TimePoint now, KindClass kindClass) const;
    /// Forwards the request to a peer if this entry VM is partitioned from the servers. @return whether it was forwarded.
    bool tryForward(TimePoint now, Request &request, ServiceActions &actions);
    /// @return the servers that have requested a backoff, up to the number that a forwarded request may name.
    std::vector<std::string> serversInBackoff(TimePoint now) const;
    /// Forwards requests that wait for a server while this entry VM is partitioned.
    void forwardWaiting(TimePoint now, ServiceActions &actions);
    /// Forwards a read whose only attempt gets no answer, as its second attempt. @return whether it was forwarded.
    bool forwardHedge(TimePoint now, Request &request, ServiceActions &actions);
    /// Probes servers over new connections, to detect a partition or its end.
    void checkReachability(TimePoint now, ServiceActions &actions);
    /// @return the start of the first attempt over a new connection that has had no answer for a quarter of its time, if there is one.
    std::optional<TimePoint> silentNewConnectionSince(TimePoint now) const;
    /// @return indices of the servers in the order in which they should be checked over new connections.
    std::vector<std::size_t> checkOrder(TimePoint now);
    void reportReachability(TimePoint now, ServiceActions &actions);
    /// Compares the load report of a server with the attempts of this entry VM there. @param askedAt when the request or probe that the report answers
    /// was started.
    void findDroppedAttempts(TimePoint now, const std::string &backend, const LoadReport &report, TimePoint askedAt, ServiceActions &actions);
    /// @return whether the server has certainly dropped the request.
    bool isDropped(TimePoint now, const Attempt &attempt) const;
    /// Records that the service drops requests if one in flight has certainly been dropped.
    void confirmDrops(TimePoint now);
    /// Probes the server of a slow write if servers of the service drop requests.
    void checkWrite(TimePoint now, Request &request, ServiceActions &actions);
    void reportSilence(TimePoint now, ServiceActions &actions);
    /// @return whether the configuration requires that entry VMs report slow servers to each other.
    bool sharesSlowServers() const;
    /// Records what the end of an attempt shows about the speed of its server.
    void recordSpeed(TimePoint now, Attempt &attempt, const AttemptEnded &event, ServiceActions &actions);
    /// Reports the servers of attempts that have been in flight for many times the usual time.
    void findSlowServers(TimePoint now, ServiceActions &actions);
    /// @return the age from which the attempt counts as slow.
    static Duration slowAfter(const Attempt &attempt, const Request &request);
    /// Removes expired hints on slow servers.
    void updateHints(TimePoint now, ServiceActions &actions);
    /// Reports the server of the attempt if that has been in flight for many times the usual time.
    void reportIfSlow(TimePoint now, Attempt &attempt, const Request &request, ServiceActions &actions);
    /// Reports the server of the attempt, unless the attempt may be slow for another reason.
    void reportSlowServer(TimePoint now, Attempt &attempt, const Request &request, SlowServerCause cause, ServiceActions &actions);
    std::optional<Problem> admissionProblem(TimePoint now, const RequestArrived &event) const;
    /// @return whether the configuration requires that scarce capacity is shared by rule.
    bool sharesScarceCapacity() const;
    /// Adds the report that a server has sent in answer to a probe to the estimate of free capacity.
    void recordCapacity(TimePoint now, const std::string &backend);
    /// @return the reason for refusing the request on arrival because capacity is scarce, if there is one.
    std::optional<Problem> scarcityProblem(TimePoint now, const RequestArrived &arrival, ServiceActions &actions);
    /// @param workMs expected service time in milliseconds.
    AdmissionRank rankOf(TimePoint now, const RequestArrived &arrival, double workMs);
    /// @return how long the request may wait for free capacity before it is sent or refused.
    Duration holdTime(TimePoint now, const Request &request) const;
    /// @return the delay after which the caller should retry; nothing if it cannot be served before its deadline.
    std::optional<Duration> retryAfterScarcity(TimePoint now, const RequestArrived &arrival);
    std::string scarcityDetail(const RequestArrived &arrival, const AdmissionRank &rank, const Capacity &capacity) const;
    /// @return the maximum number of requests that this entry VM may hold so that they can still be answered in time.
    std::size_t maxHeldRequests(Duration timeLeft) const;
    ServerFilter filterOf(const Request &request) const;
    /// While a rollout is running, reports an outcome of an attempt for the comparison of versions.
    void reportVersionOutcome(TimePoint now, const Attempt &attempt, const AttemptEnded &event, ServiceActions &actions) const;
    bool isPayout(const Request &request) const;
    KindClass kindClass(const Request &request) const;
    /// Starts the next attempt, or queues the request until a server has free capacity.
    void startOrQueue(TimePoint now, Request &request, ServiceActions &actions);
    bool tryStart(TimePoint now, Request &request, ServiceActions &actions);
    void startAt(TimePoint now, const Backend &backend, Request &request, ServiceActions &actions);
    /// @return whether servers are probed before a request is sent to one of them.
    bool probesBeforeChoice() const;
    void beginChoice(TimePoint now, Request &request, bool isHedge, ServiceActions &actions);
    void continueChoice(TimePoint now, Request &request, ServiceActions &actions);
    /// Sends waiting requests to servers that newly report free capacity, in the order in which they should be served.
    void dispatch(TimePoint now, ServiceActions &actions);
    std::vector<RequestId> choosingRequestsInOrder(TimePoint now) const;
    ChoiceRequirements requirementsOf(TimePoint now, const Request &request) const;
    /// @return time until the latency objective is missed, counted from the caller's first request; negative when it has been missed.
    Duration objectiveLeft(TimePoint now, const Request &request) const;
    void probeServers(TimePoint now, Request &request, ServiceActions &actions);
    /// Chooses without new probes: by earlier load reports, or any server when none has reported. Servers that are known to be down are not chosen.
    void chooseByEarlierReports(TimePoint now, Request &request, ServiceActions &actions);
    /// Sends the request to the chosen server, if there is one.
    void startChosen(TimePoint now, std::optional<std::size_t> index, Request &request, ServiceActions &actions);
    /// Ends a choice that has taken too long. @return whether the request has got its final answer.
    bool abandonChoice(TimePoint now, Request &request, ServiceActions &actions);
    /// @return the text for a refusal for lack of free capacity, with what the servers have reported.
    std::string noCapacityDetail(TimePoint now, const Request &request) const;
    void tickChoices(TimePoint now, ServiceActions &actions);
    int maxAttempts(const Request &request) const;
    /// Probes the server of a slow attempt: once, or repeatedly if servers of the service drop requests.
    void probeSlowServer(TimePoint now, Request &request, ServiceActions &actions);
    /// @return whether the server of the only attempt in flight has not answered the probe that was sent meanwhile.
    bool isServerUnresponsive(TimePoint now, const Request &request) const;
    /// @return whether a second attempt may be started beside the only one in flight.
    bool mayHedge(TimePoint now, const Request &request) const;
    /// Sends reads whose servers have become unresponsive to a second server as well. Used where servers answer probes.
    void hedgeUnresponsive(TimePoint now, ServiceActions &actions);
    /// Sends slow reads to a second server as well. Used where servers do not answer probes.
    void hedgeSlow(TimePoint now, ServiceActions &actions);
    bool takeHedgeFromBudget(TimePoint now);
    /// @param latencyMs mean latency of the servers.
    static bool isSlow(TimePoint now, const Request &request, double latencyMs);
    /// @return number of attempts that may have reached a server.
    static int sentAttempts(const Request &request);
    /// Ends the attempts in flight of a request that is over. Those that may still be rejected are kept for that time.
    void cancelRunning(TimePoint now, Request &request, ServiceActions &actions);
    void cancelAbandoned(TimePoint now, ServiceActions &actions);
    /// Removes the attempt from those in flight. @return the attempt, or nothing when it has already ended.
    std::optional<Attempt> takeRunning(RequestId request, int number);
    /// Reports the ejection, if the server was ejected just now. @param after what led to it: an attempt or a probe.
    void reportEjection(TimePoint now, const std::string &backend, const char *after, ServiceActions &actions);
    /// Applies what a server reported about itself with an answer or a probe. @param askedAt when the answered request or probe was started.
    void applyServerReport(TimePoint now,
                           TimePoint askedAt,
                           const std::string &backend,
                           const std::optional<LoadReport> &report,
                           const std::optional<Duration> &warmUp,
                           ServiceActions &actions);
    /// Applies what an answer announced about a limit. @param sentAt when the answered request was sent.
    void applyLimitNotice(
        TimePoint now, TimePoint sentAt, const std::string &backend, NoticeSource source, const std::optional<LimitNotice> &notice, ServiceActions &actions);
    /// Applies all that a server announced about itself with the answer to an attempt. @param sentAt when the attempt was started.
    void applyAnnouncements(TimePoint now, TimePoint sentAt, const std::string &backend, const AttemptEnded &event, ServiceActions &actions);
    void applyBackoffNotice(TimePoint now, const std::string &backend, const BackoffNotice &notice, ServiceActions &actions);
    /// Reports the limit on a server's requests. @param source empty when a peer has reported the limit.
    void reportLimit(TimePoint now, const std::string &backend, std::optional<NoticeSource> source, bool isChanged, ServiceActions &actions) const;
    /// Probes servers that get no requests, to check whether their limits still apply.
    void checkLimits(TimePoint now, ServiceActions &actions);
    /// @return the delay after which a caller should retry, if limits and requested backoffs keep requests from all servers for longer than one may be queued;
    /// otherwise nothing.
    std::optional<Duration> retryAfterIfAllLimited(TimePoint now, Duration objective) const;
    void markLeaving(const std::string &backend, ServiceActions &actions);
    AttemptQuality qualityOf(const Attempt &attempt, const AttemptOutcome &outcome) const;
    void recordOutcome(TimePoint now, Attempt &attempt, const AttemptEnded &event, ServiceActions &actions);
    void startQueued(TimePoint now, ServiceActions &actions);
    /// Refuses a queued request that can wait no longer. @return whether the request is no longer queued.
    bool expireIfDue(TimePoint now, RequestId id, ServiceActions &actions);
    void expireQueued(TimePoint now, ServiceActions &actions);
    Disposition dispositionOf(const Request &request, const AttemptOutcome &outcome) const;
    /// @param isUnsent whether the last attempt was never sent, so that its retry does not use the budget.
    bool mayRetry(TimePoint now, const Request &request, bool isUnsent);
    /// @return whether an attempt that is started now may finish before the deadline.
    bool hasTimeForAttempt(TimePoint now, const Request &request) const;
    void finishRequest(TimePoint now, Request &request, const Attempt &attempt, const AttemptEnded &event, Disposition disposition, ServiceActions &actions);
    /// @return the delay after which the caller should retry a request that was not executed, given its last attempt.
    Duration clientRetryDelay(const Attempt &attempt, const Request &request) const;
    /// @return the time that an attempt of such a request may take; nothing if it is unknown.
    std::optional<Duration> requiredTime(TimePoint now, const RequestArrived &arrival) const;
    /// @return whether a request that is sent now ends before the process does.
    bool canFinishBeforeExit(TimePoint now, const RequestArrived &arrival) const;
    /// @return the reason for refusing the request on arrival because the process exits, if there is one.
    std::optional<Problem> exitProblemOf(TimePoint now, const RequestArrived &arrival) const;
    std::string unfinishableDetail(TimePoint now, const RequestArrived &arrival) const;
    /// Refuses the requests at no server that would not finish before the process exits if they were sent now.
    void refuseUnfinishable(TimePoint now, ServiceActions &actions);
    /// @return the refusal of a request that cannot be sent or finished before the process exits.
    Problem exitProblem(ExecutionStatus status, std::string detail) const;
    /// Refuses the request for the exit of the process if it is at no server. @return whether it has its final answer.
    bool refuseUnsent(const Request &request, ServiceActions &actions);
    /// Ends an attempt that this process has aborted at its exit, which says nothing about the server.
    void endAborted(RequestId id, int attempt, bool mayHaveExecuted, ServiceActions &actions);
    void refuse(const Request &request, Problem problem, ServiceActions &actions);
    void applyConnectionCap();

    Incarnation self_;
    std::string name_;
    std::int64_t version_ = 0;
    std::shared_ptr<const Service> service_ = std::make_shared<const Service>();
    BackendPool pool_;
    ServerChooser chooser_;
    RetryBudget retryBudget_;
    RetryBudget hedgeBudget_;
    CallerTimeoutEstimator callerTimeouts_;
    CapacityEstimate capacity_;
    AdmissionThreshold admission_;
    WorkspaceUsage workspaceUsage_;
    PayoutCoordinator payouts_;
    Random random_;
    VersionSplitter versions_;
    Latest<int> entryVms_{1};
    std::uint64_t leavingOrder_ = 0; ///< Order of the newest event that has been applied.
    Latest<std::shared_ptr<const RequestBlocklist>> blocklist_{std::make_shared<const RequestBlocklist>()};
    CrashDetector crashDetector_;
    AnsweredRequestCache answeredRequests_;
    ReachabilityMonitor reachability_;
    UnresponsiveServers unresponsive_;
    ForwardingPeers forwardingPeers_;
    std::uint64_t forwardingPeersOrder_ = 0; ///< Order of the newest event that has been applied.
    ServerReachabilityChanged reportedReachability_; ///< As last reported.
    SilentServerDetector silence_;
    SlowServerDetector slowServers_;
    bool reportedSilence_ = false; ///< Whether the service counts as dropping requests, as last reported.
    int lowestPriority_ = 0; ///< The greatest priority number seen; 0 is the most urgent.
    std::map<RequestId, Request> requests_;
    std::deque<RequestId> queuedRequests_;
    AbandonedAttempts abandonedAttempts_;
    LongestResponses longestResponses_;
    std::optional<TimePoint> exitAt_; ///< When the process exits at the latest, once it has been asked to stop.
    bool isExiting_ = false; ///< No more attempts are started.
};

} // namespace Cloverbarrow
