/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/repeatfence.h"
#include "core/servers/fleetallowance.h"
#include "core/support/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// How a request may be repeated.
enum class KindClass {
    Read, ///< Retried freely, within the retry budget.
    Write, ///< Retried only when it certainly was not run.
    Payout, ///< At most once; recorded at the platform before it is sent.
};

/// A group of requests of one service that share their rules.
struct RequestKind {
    std::string name;
    std::vector<std::string> methods;
    std::string path; ///< Pattern: `*` is one segment, a last `**` is any rest.
    KindClass kindClass = KindClass::Read;
    Duration deadline = seconds(2); ///< Used when the caller names none; also the upper bound.

    bool operator==(const RequestKind &) const = default;
};

/// One backend server of a service.
struct BackendServer {
    std::string name;
    std::string address; ///< `IP:port`.
    std::string zone;
    std::string region; ///< Of the zone, as the configuration's regions say; empty when they do not.
    int slots = 0; ///< Requests that it works on at a time; 0 when only the service says.
    Duration warmUp{0}; ///< How much longer it is slow after its start, when this was written.

    bool operator==(const BackendServer &) const = default;
};

/// A warm-up is told anew with each state of a server. What its end differs by less than this from the end that was known is the way it took.
constexpr Duration WarmUpTolerance = milliseconds(300);

/// Bounds on repeated attempts.
struct RetryRules {
    int maxAttempts = 3;
    int budgetPercent = 10; ///< Retries as a share of first attempts.
    int hedgePercent = 0; ///< Second attempts of slow reads, beside the first, as a share of first attempts.
    std::vector<int> statuses = {502, 503, 504}; ///< Answers on which a read is tried again.
    int budgetBurst = 10; ///< Most retries that quiet times may save up.
    int budgetAtStart = 3; ///< Retries that a new process may make at once.
    bool hedgesFromBudget = false; ///< Hedges draw on the retries' budget instead of `hedgePercent`.
    std::optional<RepeatWindow> window; ///< Bounds all of these over a sliding window.

    bool operator==(const RetryRules &) const = default;
};

/// Bounds on load.
struct ServiceLimits {
    int slotsPerServer = 3;
    int connectionsPerServer = 200; ///< All entry VMs together.
    int maxInFlight = 1000; ///< Requests of this service held by one entry VM.

    bool operator==(const ServiceLimits &) const = default;
};

/// Most measurements of one service's backend servers by all entry VMs together, in any window.
struct MeasuringBudget {
    int probes = 0;
    Duration window = seconds(1);
    std::string path = "/load";

    bool operator==(const MeasuringBudget &) const = default;
};

/// Probes of a few backend servers right before a request is sent to one of them.
struct ChoiceProbes {
    double probesPerSecond = 0; ///< Most probes a second of this entry VM for each backend server, in the mean; 0: no probes.
    std::string path;

    bool operator==(const ChoiceProbes &) const = default;
};

/// Service-level objective of one request kind.
struct Objective {
    std::string kind;
    double availabilityPercent = 99.9;
    Duration latency = milliseconds(500);
    double latencyPercent = 99.0; ///< Share of answers that must come within `latency`.

    bool operator==(const Objective &) const = default;
};

/// A service, the places where it may run and its rules.
struct Service {
    std::string name;
    std::string host; ///< Host header; empty when only the path prefix counts.
    std::string pathPrefix; ///< Empty when only the host counts.
    std::vector<std::string> places; ///< Availability zones in which requests may be served.
    std::vector<std::string> evacuatedZones; ///< Availability zones to whose servers no request is sent until operators take them back.
    bool echoesExchangeTag = false; ///< Backend servers echo the tag, so connections may be reused.
    std::vector<RequestKind> kinds;
    std::vector<BackendServer> backendServers;
    RetryRules retry;
    ServiceLimits limits;
    MeasuringBudget measuring;
    ChoiceProbes choiceProbes;
    double coldRequestsPerSecond = 0; ///< That one of its servers bears after its start; 0 when operators name no bound.
    std::optional<FleetAllowance> coldStart; ///< What cold servers may get; nothing where there is no bound.
    std::optional<FleetPlace> place; ///< Of this entry VM; without one it sends nothing to servers with a bound.
    std::vector<Objective> objectives;

    /// @return whether a request may be served in @p zone.
    bool allows(const std::string &zone) const;

    bool operator==(const Service &) const = default;
};

/// A service that gets a part of a route's requests.
struct Destination {
    std::string service;
    int weight = 1; ///< Its part is this over the sum of all weights.

    bool operator==(const Destination &) const = default;
};

/// Requests of one host and path prefix that go to one service, or to several in given parts. Where routes exist,
/// they alone say which requests are served.
struct TrafficRoute {
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind; ///< Its methods and path are not looked at.
    std::vector<Destination> destinations;
    int maxAttempts = 1; ///< Backend servers that one request may be sent to.
    Duration latencyObjective{0}; ///< Time within which an answer is worth most to the caller.
    int priority = 0; ///< 0 goes first when there is too little room.

    bool operator==(const TrafficRoute &) const = default;
};

/// Bounds on what callers send.
struct CallerLimits {
    std::size_t headerBytes = 32 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    Duration headerTime = seconds(10); ///< For sending a request.
    Duration idleTime = seconds(60); ///< Between two requests.

    bool operator==(const CallerLimits &) const = default;
};

/// A region and its availability zones.
struct Region {
    std::string name;
    std::vector<std::string> zones;

    bool operator==(const Region &) const = default;
};

/// Everything that operators decide, as one document.
struct Configuration {
    std::vector<Region> regions;
    std::vector<Service> services;
    std::vector<TrafficRoute> routes = {}; ///< Empty where the services' own hosts, prefixes and kinds route.
    std::optional<CallerLimits> callerLimits = {};

    /// @return the service called @p name, or nullptr.
    const Service *findService(const std::string &name) const;

    bool operator==(const Configuration &) const = default;
};

/// An accepted configuration. A higher version is newer; versions come from the platform.
struct VersionedConfiguration {
    std::int64_t version = 0;
    std::string document;
    Configuration configuration;
};

} // namespace Cloverbarrow
