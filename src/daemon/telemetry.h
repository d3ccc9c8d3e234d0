/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/burn/burncounter.h"
#include "core/crashes/crashupdate.h"
#include "core/intent/configuration.h"
#include "core/requests/memorybudget.h"
#include "core/requests/serviceevents.h"
#include "core/support/time.h"
#include "core/workspaces/quotagranter.h"
#include "daemon/slowserverrunner.h"
#include "net/connectionmonitor.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
class Registry;
}

namespace Cloverbarrow
{

/// Outcome of a caller's request, as distinguished by the metrics.
enum class CallerOutcome {
    Answered, ///< A backend server answered with a status below 500.
    ServerError, ///< A backend server answered with a status of 500 or more.
    NotExecuted, ///< Refused, and no backend server has executed it.
    Unknown, ///< Failed, and a backend server may have executed it.
};

/// How a request that was sent to a backend server ended without a complete response.
enum class UnansweredEnd {
    Timeout,
    Closed, ///< The connection was closed, or the response was invalid.
    Cancelled, ///< By this entry VM, which no longer needed the response.
};

/// What happened to a hint that a server is slow.
enum class SlowServerHintChange {
    Observed, ///< By this entry VM.
    Received, ///< From another entry VM.
    Overridden, ///< By a response in the usual time.
};

/// State of this entry VM for the metrics.
struct NodeGauges {
    std::size_t liveEntryVms = 0;
    std::size_t clearedSuspicions = 0; ///< Number of suspicions of peers that turned out to be alive.
    std::int64_t configurationVersion = 0;
    bool isReady = false;
    std::uint64_t platformCalls = 0;
    CrashUpdateCounts crashUpdates;
    CrashMessageCounts crashMessages;
    std::size_t heldAtStart = 0; ///< Requests that wait until this entry VM is ready.
    QuotaCounts quotas;
    SlowServerCounts slowServers;
    MemoryCounts memory;
    ConnectionCounts callers;
    ConnectionCounts peers;
};

/// Metrics of this entry VM and the counts for the burn report of service-level objectives.
/// Labels come only from the configuration, so that callers cannot increase the number of time series.
class Telemetry
{
public:
    Telemetry();
    ~Telemetry();

    /// Counts a caller's request.
    void requestFinished(TimePoint now, const Service &service, const RequestKind &kind, CallerOutcome outcome, Duration latency);
    void attemptStarted(const std::string &service, bool isRetry);
    /// A request was forwarded to another entry VM.
    void requestForwarded(const std::string &service);
    /// A request that was sent to a backend server never got a complete response.
    void requestUnanswered(const std::string &service, UnansweredEnd end);
    /// A load report showed that its server has dropped a request.
    void requestDropped(const std::string &service);
    void probeStarted(const std::string &service);
    /// A request arrived before requests are served, or one that was held is not held any more. @param outcome one of a fixed set of names.
    void startupRequest(const char *outcome);
    /// A request arrived before the directory was confirmed after a stall. @param outcome as for startupRequest().
    void requestAfterStall(const char *outcome);
    /// This process has not run for a while.
    void stalled(Duration duration);
    /// A backend server's request limit has changed. @param perSecond nothing if the limit was removed.
    void limitChanged(const std::string &service, const std::string &server, const std::optional<double> &perSecond);
    void limitUnreadable(const std::string &service);
    /// A backend server has requested a backoff.
    void backoffStarted(const std::string &service);
    /// A backend server has requested a backoff that cannot be parsed.
    void backoffUnreadable(const std::string &service);
    /// A request was refused because capacity is scarce.
    void scarcityRefusal(const std::string &service, RefusalCause cause);
    /// @param hints servers of the service that are named as slow afterwards.
    void slowServerHint(const std::string &service, SlowServerHintChange change, std::size_t hints);
    void slowServerHintsExpired(const std::string &service, std::size_t expired, std::size_t hints);
    /// An attempt was sent to a server that is named as slow.
    void attemptAtSlowServer(const std::string &service);
    void setGauges(const NodeGauges &gauges);

    /// Counts of one service and request kind over one window.
    struct Burn {
        std::string service;
        std::string kind;
        Duration window;
        BurnCounts counts;
    };

    std::vector<Burn> burn(TimePoint now) const;
    /// @return all metrics in the Prometheus text format.
    std::string exposition() const;

private:
    using Key = std::pair<std::string, std::string>;

    struct Families;

    void setConnectionGauges(const std::string &side, const ConnectionCounts &counts);

    std::shared_ptr<prometheus::Registry> registry_;
    std::unique_ptr<Families> families_;
    mutable std::mutex burnMutex_;
    std::map<Key, BurnCounter> burnCounters_;
    std::mutex limitMutex_;
    std::map<std::string, std::set<std::string>> limitedServers_; ///< Servers with a request limit, by service.
};

} // namespace Cloverbarrow
