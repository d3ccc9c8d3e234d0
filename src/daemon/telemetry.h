/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/burn/burncounter.h"
#include "core/intent/configuration.h"
#include "core/support/time.h"

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

/// How a caller's request ended, as metrics tell it apart.
enum class CallerOutcome {
    Answered, ///< By a backend server, with a status below 500.
    ServerError, ///< By a backend server, with a status of 500 or more.
    NotRun,
    Unknown,
};

/// State of this entry VM, as metrics tell it.
struct NodeGauges {
    std::size_t liveEntryVms = 0;
    std::size_t clearedSuspicions = 0; ///< Peers that were suspected and turned out alive.
    std::int64_t configurationVersion = 0;
    bool isReady = false;
    std::uint64_t platformCalls = 0;
};

/// Metrics of this entry VM and the counts behind the report on service-level burn.
/// Labels come from the configuration only, so callers cannot make their number grow.
class Telemetry
{
public:
    Telemetry();
    ~Telemetry();

    /// Counts a caller's request.
    void requestEnded(TimePoint now, const Service &service, const RequestKind &kind, CallerOutcome outcome, Duration latency);
    void attemptStarted(const std::string &service, bool isRetry);
    void probeStarted(const std::string &service);
    /// A backend server's limit on requests has changed. @param perSecond nothing when it has ended.
    void limitChanged(const std::string &service, const std::string &server, const std::optional<double> &perSecond);
    void limitUnreadable(const std::string &service);
    void setGauges(const NodeGauges &gauges);

    /// One service and kind over one window.
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

    std::shared_ptr<prometheus::Registry> registry_;
    std::unique_ptr<Families> families_;
    mutable std::mutex burnMutex_;
    std::map<Key, BurnCounter> burn_;
    std::mutex limitMutex_;
    std::map<std::string, std::set<std::string>> limited_; ///< Servers with a limit, by service.
};

} // namespace Cloverbarrow
