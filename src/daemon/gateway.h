/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/requestcontent.h"
#include "core/node.h"
#include "core/routing/routingtable.h"
#include "core/routing/trafficsplitter.h"
#include "daemon/eventhandler.h"
#include "daemon/requestcheck.h"
#include "daemon/requestlog.h"
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

/// Carries callers' requests: turns them into events for the core, and the core's actions into exchanges with
/// backend servers and answers to callers. Exchanges stand in shards, each under its own lock.
class Gateway
{
public:
    /// @param platform holds payout records; nullptr where no kind of request needs them.
    /// @param nonce of this process; begins every exchange tag.
    Gateway(Node &node,
            EventHandler &events,
            HttpClient &backends,
            PlatformClient *platform,
            const ExchangeProtocol &protocol,
            Telemetry &telemetry,
            std::string nonce);

    /// Takes a caller's whole request.
    void accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request);
    /// Carries out an action of the core.
    void perform(const ActionOfService &action);
    /// Refuses requests that come from now on.
    void stopAccepting();
    /// Gives up requests whose callers have gone.
    void sweep();
    /// @return whether any caller waits for an answer.
    bool hasOpenExchanges() const;

private:
    struct Exchange {
        std::shared_ptr<CallerConnection> connection;
        std::shared_ptr<const HttpRequest> request;
        std::shared_ptr<const ActiveIntent> intent; ///< Under which it was routed.
        Route route;
        TimePoint arrivedAt;
        RequestFingerprint content;
        std::string callerId; ///< The caller's own id of the request, or a number of this process.
        int attemptAbove = 1; ///< Highest attempt number of the levels above.
        std::map<int, HttpAnswer> answers;
    };

    static constexpr std::size_t ShardCount = 16;

    struct Shard {
        std::mutex mutex;
        std::map<RequestId, Exchange> exchanges;
    };

    void start(const ActionOfService &of, const StartAttempt &action);
    void cancel(const CancelAttempt &action);
    void drop(const DropRequest &action);
    void pass(const ReturnAnswer &action);
    void replay(const ReplayAnswer &action);
    void refuse(const Refuse &action);
    void askStore(const ActionOfService &of, const CallPayoutStore &action);
    void probe(const ActionOfService &of, const StartProbe &action);

    /// Finds the route and checks the request by it.
    std::variant<CheckedRequest, Problem> check(const HttpRequest &request, const Configuration &configuration, RequestId id, TimePoint now);
    void attemptDone(const std::string &service, RequestId request, int attempt, HttpOutcome outcome);
    HttpCall callFor(const Exchange &exchange, const StartAttempt &action) const;
    std::string callerIdOf(const HttpRequest &request, RequestId id) const;
    /// @return the same of a request that is open; empty when it is not.
    std::string callerIdOf(RequestId request);
    /// @return what a request that is open asks for; empty when it is not.
    RequestFingerprint contentOf(RequestId request);
    std::optional<Exchange> takeExchange(RequestId request);
    void finish(const Exchange &exchange, const HttpAnswer &answer, CallerOutcome outcome);
    Shard &shardOf(RequestId request);

    Node &node_;
    EventHandler &events_;
    HttpClient &backends_;
    PlatformClient *platform_;
    const ExchangeProtocol &protocol_;
    Telemetry &telemetry_;
    RequestLog log_;
    std::string nonce_;
    std::atomic<RequestId> nextRequest_{1};
    std::atomic<HttpCallId> nextProbe_;
    std::atomic<bool> isAccepting_{true};
    std::atomic<int> openExchanges_{0};
    std::mutex splitterMutex_;
    TrafficSplitter splitter_;
    std::array<Shard, ShardCount> shards_;
};

} // namespace Cloverbarrow
