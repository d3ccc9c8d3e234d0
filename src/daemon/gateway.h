/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/requestfingerprint.h"
#include "core/node.h"
#include "core/routing/routingtable.h"
#include "core/routing/trafficsplitter.h"
#include "core/workspaces/access.h"
#include "daemon/admissiongate.h"
#include "daemon/eventhandler.h"
#include "daemon/quotarunner.h"
#include "daemon/requestcheck.h"
#include "daemon/requestlog.h"
#include "daemon/stallguard.h"
#include "daemon/telemetry.h"
#include "net/callerconnection.h"
#include "net/exchangeprotocol.h"
#include "net/httpclient.h"
#include "net/platformclient.h"

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Cloverbarrow
{

/// Forwards callers' requests: converts them to events for the core, and performs the core's actions as calls to
/// backend servers and answers to callers. Open exchanges are spread over shards with one lock each.
class Gateway
{
public:
    /// @param platform stores payout records; nullptr if no kind of request needs them.
    /// @param nonce of this process; the prefix of every exchange tag.
    Gateway(Node &node,
            EventHandler &events,
            HttpClient &backendClient,
            PlatformClient *platform,
            const ExchangeProtocol &protocol,
            Telemetry &telemetry,
            std::string nonce);

    /// Sets what enforces the quotas of workspaces. Without it they are not enforced.
    void setQuotas(QuotaRunner *quotas);

    /// Holds requests that arrive before the configuration is applied, within @p limits. @param startedAt when this process started.
    void setStartupLimits(const AdmissionQueueLimits &limits, TimePoint startedAt, std::uint64_t seed);
    /// Serves the requests that were held during the start. Call when this entry VM is ready.
    void releaseHeld();
    /// Refuses the requests that are held, and holds no more.
    void refuseHeld();
    /// Holds requests after a stall of this process until confirmed() is called. @param startedAt when this process started.
    void enableStallGuard(TimePoint startedAt, std::uint64_t seed);
    /// @return what holds requests after a stall; null if none are held.
    StallGuard *stallGuard();
    /// @return number of requests that are held until this entry VM is ready.
    std::size_t heldRequests() const;

    /// Lets requests be forwarded to other entry VMs, and those of others be accepted. @param client sends them. @param region of this entry VM.
    void setForwarding(HttpClient *client, std::string region);
    /// Handles a request that another entry VM has forwarded.
    void acceptForwarded(const std::shared_ptr<CallerConnection> &connection, HttpRequest request);

    /// @return the answer to a request whose body does not fit into memory. @param head the request without its body.
    HttpAnswer refuseForMemory(const HttpRequest &head, const MemoryCounts &counts) const;
    /// Handles a complete request of a caller.
    void accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request);
    /// Performs an action of the core.
    void perform(const ActionOfService &action);
    /// Refuses all later requests.
    void stopAccepting();
    /// Reports requests to the core whose callers have disconnected, and ends the wait of those held for their longest time.
    void checkCallers();
    /// @return whether any caller is waiting for an answer.
    bool hasOpenExchanges() const;
    /// @return requests that callers are waiting for, with those that other threads are about to route or to refuse.
    std::size_t openRequests() const;

private:
    /// Counts something while it exists.
    class CountScope
    {
    public:
        explicit CountScope(std::atomic<int> &count)
            : count_(count)
        {
            ++count_;
        }
        ~CountScope()
        {
            --count_;
        }
        CountScope(const CountScope &) = delete;
        CountScope &operator=(const CountScope &) = delete;

    private:
        std::atomic<int> &count_;
    };

    struct RequestedBackoff {
        std::string server;
        TimePoint until;
    };

    struct Exchange {
        std::shared_ptr<CallerConnection> connection;
        std::shared_ptr<const HttpRequest> request;
        std::shared_ptr<const ActiveIntent> intent; ///< The configuration by which the request was routed.
        Route route;
        TimePoint arrivedAt;
        RequestFingerprint fingerprint;
        std::string callerId; ///< The request id that the caller sent, or one that this process generated.
        int incomingAttemptNumber = 1; ///< Attempt number that the caller sent; above 1 if the caller or a load balancer in front of this one is retrying.
        const Workspace *workspace = nullptr; ///< Owned by the intent; nullptr if the caller is anonymous.
        std::map<int, HttpAnswer> answers;
        std::optional<std::string> forwardTag = {}; ///< Tag of the forwarding if another entry VM has forwarded the request.
        bool reportsBackoffs = false; ///< Whether that entry VM is told of the backoffs that servers have requested.
        std::vector<RequestedBackoff> backoffs = {}; ///< As servers have requested in rejections of its attempts.
    };

    static constexpr std::size_t ShardCount = 16;

    struct Shard {
        std::mutex mutex;
        std::map<RequestId, Exchange> exchanges;
    };

    /// Holds or refuses a request that arrived before a configuration is in force. @return whether it did; if not, one is in force now.
    bool holdUntilReady(TimePoint now, const std::shared_ptr<CallerConnection> &connection, HttpRequest &request);
    /// Holds or refuses a request while the state of the directory is not confirmed after a stall. @return whether it did.
    bool holdAfterStall(TimePoint now, const std::shared_ptr<CallerConnection> &connection, HttpRequest &request);
    /// @return how long the caller waits, if it states that.
    std::optional<Duration> callerTimeLeft(const HttpRequest &request) const;
    AdmissionGate::Callbacks admissionCallbacks(std::function<void(const char *)> count);
    /// Routes a request. @param arrivedAt when it arrived, which is earlier if it was held.
    void serve(const std::shared_ptr<CallerConnection> &connection, HttpRequest request, TimePoint arrivedAt);
    /// Refuses a request before it reaches a service. @param id 0 if the request has none yet. @param intent null if no configuration is active yet.
    void refuseOnArrival(
        const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, RequestId id, const Problem &problem, const ActiveIntent *intent);
    static HttpCallId callId(RequestId request, int attempt);
    void startAttempt(const ActionOfService &serviceAction, const StartAttempt &action);
    void startForward(const ActionOfService &serviceAction, const StartForward &action);
    /// @return the backoffs that the answer of a peer reports.
    std::vector<ServerBackoff> backoffsIn(const HttpAnswer &answer, const std::string &service, const StartForward &action) const;
    /// Adds the backoffs that servers have requested from a forwarded request to its answer.
    static void addBackoffs(const Exchange &exchange, HttpAnswer &answer);
    /// @return the call that forwards the request of @p exchange.
    HttpCall forwardCallFor(const Exchange &exchange, const std::string &service, const StartForward &action) const;
    void forwardFinished(const std::string &service, const StartForward &action, HttpOutcome outcome);
    void cancelAttempt(const CancelAttempt &action);
    void dropRequest(const DropRequest &action);
    void returnAnswer(const ReturnAnswer &action);
    void replayAnswer(const ReplayAnswer &action);
    void refuseRequest(const Refuse &action);
    void callPayoutStore(const ActionOfService &serviceAction, const CallPayoutStore &action);
    void startProbe(const ActionOfService &serviceAction, const StartProbe &action);

    /// Passes a request to its service when the quota of the workspace allows it.
    void admit(RequestArrived event, const std::string &service, const Workspace &workspace, std::int64_t version);
    void handleQuotaVerdict(const RequestArrived &event, const std::string &service, const QuotaVerdict &verdict);
    /// Finds the route and validates the request for it. Removes the caller's key from the request.
    std::variant<CheckedRequest, Problem> routeAndCheck(HttpRequest &request, const Configuration &configuration, RequestId id, TimePoint now);
    /// Decides by the caller's key, which is removed from the request, whether the request may be served.
    Access checkAccess(HttpRequest &request, const Configuration &configuration, const TrafficRoute &route) const;
    void attemptFinished(const std::string &service, const StartAttempt &action, HttpOutcome outcome);
    HttpCall callFor(const Exchange &exchange, const StartAttempt &action) const;
    std::string callerIdOf(const HttpRequest &request, RequestId id) const;
    /// @return the caller's id of an open request; empty if the request is not open.
    std::string callerIdOf(RequestId request);
    /// @return the fingerprint of an open request; empty if the request is not open.
    RequestFingerprint fingerprintOf(RequestId request);
    bool isCallerGone(RequestId request);
    /// @return name of the caller's workspace; empty if it is anonymous or the request is not open.
    std::string workspaceOf(RequestId request);
    std::optional<Exchange> takeExchange(RequestId request);
    void sendFinalAnswer(const Exchange &exchange, const HttpAnswer &answer, CallerOutcome outcome);
    Shard &shardOf(RequestId request);

    Node &node_;
    EventHandler &events_;
    HttpClient &backendClient_;
    PlatformClient *platform_;
    const ExchangeProtocol &protocol_;
    QuotaRunner *quotas_ = nullptr;
    std::unique_ptr<AdmissionGate> startup_; ///< Null if requests that arrive too early are not held.
    std::unique_ptr<StallGuard> stallGuard_; ///< Null if no requests are held after a stall.
    HttpClient *forwardClient_ = nullptr; ///< Null if requests are not forwarded.
    std::string region_;
    Telemetry &telemetry_;
    RequestLog log_;
    std::string nonce_;
    std::atomic<RequestId> nextRequest_{1};
    std::atomic<HttpCallId> nextProbeCall_;
    std::atomic<bool> isAccepting_{true};
    std::atomic<int> openExchanges_{0};
    std::atomic<int> arrivals_{0}; ///< Requests that threads are about to route or to refuse. Counted before isAccepting_ is read.
    std::mutex splitterMutex_;
    TrafficSplitter splitter_;
    std::array<Shard, ShardCount> shards_;
};

} // namespace Cloverbarrow
