/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/extraattemptlimiter.h"
#include "core/rollouts/rollout.h"
#include "core/servers/serverquota.h"
#include "core/support/time.h"
#include "core/workspaces/workspacetable.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Whether a request may be sent more than once.
enum class KindClass {
    Read, ///< Retried freely, within the retry budget.
    Write, ///< Retried only if it certainly was not executed.
    Payout, ///< Sent at most once; recorded at the platform before it is sent.
};

/// Group of requests of one service that share the same rules.
struct RequestKind {
    std::string name;
    std::vector<std::string> methods;
    std::string path; ///< Pattern: `*` matches one segment, a trailing `**` matches any remainder.
    KindClass kindClass = KindClass::Read;
    Duration deadline = seconds(2); ///< Used if the caller sends none; also the upper bound.

    bool operator==(const RequestKind &) const = default;
};

/// One backend server of a service.
struct BackendServer {
    std::string name;
    std::string address; ///< `IP:port`.
    std::string zone;
    std::string region; ///< Region of the zone according to Configuration::regions; empty if none lists the zone.
    int slots = 0; ///< Requests that it processes at the same time; 0 if the limit of the service applies.
    Duration warmUp{0}; ///< Remaining warm-up after its start, as of the time this was written.
    std::string version = {}; ///< Version of its software; empty if unknown.

    bool operator==(const BackendServer &) const = default;
};

/// Each reported state of a server contains its remaining warm-up. If the resulting end of the warm-up differs by less than this from the known end, the
/// difference is transmission delay.
constexpr Duration WarmUpTolerance = milliseconds(300);

/// Limits on extra attempts (retries and hedges).
struct RetryRules {
    int maxAttempts = 3;
    int budgetPercent = 10; ///< Retries as a percentage of first attempts.
    int hedgePercent = 0; ///< Hedges (parallel second attempts of slow reads) as a percentage of first attempts.
    std::vector<int> statuses = {502, 503, 504}; ///< HTTP statuses on which a read is retried.
    int budgetBurst = 10; ///< Most retries that can accumulate while few are made.
    int budgetAtStart = 3; ///< Retries available to a new process.
    bool hedgesFromBudget = false; ///< Hedges are charged to the retry budget instead of `hedgePercent`.
    std::optional<ExtraAttemptWindow> window; ///< Limits all extra attempts over a sliding window.

    bool operator==(const RetryRules &) const = default;
};

/// Load limits of a service.
struct ServiceLimits {
    int slotsPerServer = 3;
    int connectionsPerServer = 200; ///< Sum over all entry VMs.
    int maxInFlight = 1000; ///< Most requests of this service that one entry VM holds at the same time.

    bool operator==(const ServiceLimits &) const = default;
};

/// Most load probes of the backend servers of one service that all entry VMs together send in any window.
struct ProbeBudget {
    int probes = 0;
    Duration window = seconds(1);
    std::string path = "/load";

    bool operator==(const ProbeBudget &) const = default;
};

/// Probes of a few backend servers immediately before a request is sent to one of them.
struct ChoiceProbes {
    double probesPerSecond = 0; ///< Highest average probe rate of this entry VM per backend server; 0: no probes.
    std::string path;

    bool operator==(const ChoiceProbes &) const = default;
};

/// Service-level objective of one request kind.
struct Objective {
    std::string kind;
    double availabilityPercent = 99.9;
    Duration latency = milliseconds(500);
    double latencyPercent = 99.0; ///< Percentage of answers that must arrive within `latency`.

    bool operator==(const Objective &) const = default;
};

/// A service, the zones in which it may run, and its rules.
struct Service {
    std::string name;
    std::string host; ///< Host header; empty if only the path prefix selects the service.
    std::string pathPrefix; ///< Empty if only the host selects the service.
    std::vector<std::string> allowedZones; ///< Availability zones in which requests may be served.
    std::vector<std::string> evacuatedZones; ///< Availability zones to whose servers no request is sent until operators end the evacuation.
    bool echoesExchangeTag = false; ///< Backend servers echo the exchange tag, so connections may be reused.
    std::vector<RequestKind> kinds;
    std::vector<BackendServer> backendServers;
    RetryRules retry;
    ServiceLimits limits;
    ProbeBudget probeBudget;
    ChoiceProbes choiceProbes;
    double coldRequestsPerSecond = 0; ///< Request rate that one server tolerates after its start; 0 if operators set no limit.
    std::optional<ServerQuota> coldStartQuota; ///< Quota of requests to cold servers; empty if there is no limit.
    std::optional<VersionShift> versionShift; ///< Set while a rollout divides requests by version.
    bool sharesScarceCapacity = false; ///< Under shortage, requests are refused on arrival by priority, lateness and quota use.
    bool sharesSlowServers = false; ///< Entry VMs report slow servers to each other and avoid them.
    std::optional<FleetRank> entryVmRank; ///< Rank of this entry VM; without one it sends nothing to servers that have a limit.
    std::vector<Objective> objectives;

    /// @return whether a request may be served in @p zone.
    bool allowsZone(const std::string &zone) const;

    bool operator==(const Service &) const = default;
};

/// A service that receives a part of a route's requests.
struct Destination {
    std::string service;
    int weight = 1; ///< Its part is this weight divided by the sum of all weights.

    bool operator==(const Destination &) const = default;
};

/// Requests of one host and path prefix that go to one service, or are split by weight between several. If a configuration
/// has routes, only they determine which requests are served.
struct TrafficRoute {
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind; ///< Its methods and path are ignored.
    std::vector<Destination> destinations;
    int maxAttempts = 1; ///< Backend servers that one request may be sent to.
    Duration latencyObjective{0}; ///< Time within which an answer has its full value for the caller.
    int priority = 0; ///< 0 is served first when there is too little free capacity.
    bool isAnonymousAllowed = false; ///< Callers need no key of a workspace.

    bool operator==(const TrafficRoute &) const = default;
};

/// Limits on the requests of callers.
struct CallerLimits {
    std::size_t headerBytes = 32 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    Duration headerTime = seconds(10); ///< Time limit for sending the headers of a request.
    Duration idleTime = seconds(60); ///< Longest pause between two requests on a connection.

    bool operator==(const CallerLimits &) const = default;
};

/// A region and its availability zones.
struct Region {
    std::string name;
    std::vector<std::string> zones;

    bool operator==(const Region &) const = default;
};

/// All settings that operators control, read from one document.
struct Configuration {
    std::vector<Region> regions;
    std::vector<Service> services;
    std::vector<TrafficRoute> routes = {}; ///< If empty, the hosts, path prefixes and kinds of the services select the service.
    std::optional<CallerLimits> callerLimits = {};
    std::shared_ptr<const WorkspaceTable> workspaces = {}; ///< If set, a request needs the key of a workspace unless its route allows anonymous callers.

    /// @return the service called @p name, or nullptr.
    const Service *findService(const std::string &name) const;

    bool operator==(const Configuration &) const = default;
};

/// An accepted configuration. A higher version is newer; the platform assigns versions.
struct VersionedConfiguration {
    std::int64_t version = 0;
    std::string document;
    Configuration configuration;
};

} // namespace Cloverbarrow
