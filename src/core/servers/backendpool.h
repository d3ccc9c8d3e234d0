/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"
#include "core/servers/loadreport.h"
#include "core/servers/pickpolicy.h"
#include "core/servers/requestlimit.h"
#include "core/servers/sendhistory.h"
#include "core/support/random.h"
#include "core/support/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// How far a backend server is from this entry VM.
enum class Distance {
    SameZone,
    SameRegion, ///< Another zone of the region, or the server's region is not configured.
    OtherRegion,
};

/// The availability zone and region of this entry VM.
struct Location {
    std::string zone;
    std::string region;
};

/// State that this entry VM tracks for one backend server.
struct Backend {
    BackendServer server;
    Distance distance = Distance::SameRegion;
    int inFlight = 0; ///< Attempts of this entry VM.
    int peersInFlight = 0; ///< Attempts of peers, as they last reported.
    int reportedLoad = 0; ///< Requests of other entry VMs at the server, from its last report.
    std::optional<LoadReport> report; ///< The last one received.
    std::optional<TimePoint> reportedAt;
    int sentSinceReport = 0; ///< Attempts of this entry VM since the last report.
    TimePoint warmAt; ///< The server is cold until then and gets few requests.
    TimePoint registeredWarmAt; ///< The same according to the server's registration.
    TrackedLimit limit;
    std::optional<int> senderRank; ///< Rank of this entry VM among the senders to this server; empty if it is not a sender.
    std::optional<int> lastSenderRank; ///< The last value of the rank, kept while this entry VM is not a sender.
    TimePoint rankChangedAt;
    TimePoint previousRankChangedAt; ///< Time of the change before that one.
    SendHistory sendHistory;
    double latencyMs = 0; ///< Moving average over good answers; 0 when none was seen.
    int samples = 0; ///< Good answers since the last ejection.
    int failureStreak = 0; ///< Consecutive failed requests, capped at the number that ejects the server; see unexpiredFailures().
    TimePoint lastFailureAt; ///< When the last request failed.
    int probeFailureStreak = 0; ///< Consecutive failed probes.
    int ejections = 0;
    TimePoint ejectedUntil;
    TimePoint backoffUntil; ///< The server has asked for no requests until then.
    bool isEjectedByRequests = false; ///< Whether failed requests caused the last ejection; a good probe does not end such an ejection.
    std::optional<TimePoint> ejectedAt; ///< Start of the last ejection.
    bool isOnTrial = false; ///< Has been ejected and has not given a good answer since.
    bool isTargetVersion = false; ///< Runs the version to which a rollout moves requests.
    bool isLeaving = false;
    bool isEvacuated = false; ///< Its availability zone is evacuated and gets no requests until an operator takes it back into service.
    std::optional<TimePoint> limitProbedAt; ///< When it was last probed to check whether its request limit is still in force.
    std::optional<TimePoint> lastAnswerAt; ///< When the last answer of any kind was received, good or bad.
};

/// @return consecutive request failures that still count against @p backend; one expires after every five seconds without another failure.
int unexpiredFailures(const Backend &backend, TimePoint now);

/// Servers that an attempt may use.
struct ServerFilter {
    std::span<const std::string> excluded; ///< Names of servers that earlier attempts of the request used.
    VersionGroup versions = VersionGroup::Any;
    std::span<const std::string> unusable = {}; ///< Sorted names of servers that are never chosen, even if no other is available.
};

/// What the outcome of an attempt says about the server's health.
enum class AttemptQuality {
    Good,
    Failed, ///< No answer, or an answer that shows that the server is unhealthy.
    Neutral, ///< Says nothing about the server's health, for example a request that the server shed.
};

/// The backend servers of one service, and the rules that decide which of them may get an attempt.
class BackendPool
{
public:
    /// @param location of this entry VM.
    BackendPool(PickPolicy policy, Location location);

    /// Applies the service's list of servers; the state of servers that remain is kept.
    void configure(const Service &service, TimePoint now);
    void setLeaving(std::span<const std::string> names);
    void markLeaving(std::string_view name);
    /// @param cap maximum concurrent attempts of this entry VM at one server.
    void setInFlightCap(int cap);

    /// Chooses a server and counts the attempt. Excluded servers are chosen only if no other server is available.
    /// @return its index, or nothing if no server may take an attempt now.
    std::optional<std::size_t> take(TimePoint now, Random &random, const ServerFilter &filter);

    /// Like take(), but chooses only among servers that are neither excluded nor ejected.
    std::optional<std::size_t> takeUntried(TimePoint now, Random &random, const ServerFilter &filter);

    /// Like take(), for servers without recent reports: the cold-start quota applies to all of them, since any may have restarted.
    std::optional<std::size_t> takeUnreported(TimePoint now, Random &random, const ServerFilter &filter);

    /// Counts an attempt at the server called @p name. @return its index, or nothing if it may not take an attempt now.
    std::optional<std::size_t> takeNamed(TimePoint now, std::string_view name);
    /// @return indices of the servers that may take an attempt now and pass the filter.
    std::vector<std::size_t> availableServers(TimePoint now, const ServerFilter &filter) const;

    /// @return the mean latency of the servers that are neither leaving nor evacuated, in milliseconds; 0 if none was measured.
    double meanLatencyMs() const;
    /// @return number of servers that are neither leaving nor evacuated.
    std::size_t servingCount() const;
    /// @return whether any server might take requests of this service, now or soon.
    bool hasCandidate() const;
    /// @return whether any server of these versions might.
    bool hasCandidate(VersionGroup versions) const;

    /// Counts the end of an attempt. Servers that have been removed meanwhile are ignored.
    void release(std::string_view name, AttemptQuality quality, Duration latency, TimePoint now);
    /// Applies the remaining warm-up time that the server called @p name has reported.
    void setWarmUp(std::string_view name, Duration left, TimePoint now);
    /// Applies the limit notice of an answer. @param sentAt when the answered request was sent. @return whether the limit in force has changed.
    bool applyLimitNotice(TimePoint now, TimePoint sentAt, std::string_view name, NoticeSource source, const LimitNotice &notice);
    /// Applies a limit that a peer has observed. @return whether the limit in force has changed.
    bool applyLimitReport(TimePoint now, const LimitReport &report);
    /// Keeps requests from the server called @p name for @p duration, as it has requested. @return whether this is later than any earlier backoff ends.
    bool applyBackoff(std::string_view name, Duration duration, TimePoint now);
    /// @return whether to notify peers that the limit of the server called @p name is still in force; if so, they count as notified.
    bool claimLimitConfirmation(std::string_view name);
    /// @return a server that is due for a probe of whether its limit is still in force, if any.
    std::optional<std::size_t> limitCheckCandidate(TimePoint now) const;
    /// Chooses a server whose limit was not confirmed within LimitConfirmInterval, so that the answer to this attempt confirms it, and counts the attempt.
    /// @return its index, or nothing if no server is due.
    std::optional<std::size_t> takeForLimitCheck(TimePoint now, const ServerFilter &filter);
    /// Records that a probe of the limit of the server called @p name has been started.
    void markLimitChecked(std::string_view name, TimePoint now);
    /// @return requests that this entry VM may send to @p backend in one window of its limit; nothing if no limit is in force.
    std::optional<int> limitShare(const Backend &backend, TimePoint now) const;
    /// @return when the first server may take an attempt again if quotas and requested backoffs keep attempts from all servers; TimePoint::max() if
    /// this entry VM has no share in any quota; nothing if at least one server may take an attempt.
    std::optional<TimePoint> rateLimitedUntil(TimePoint now) const;
    void setPeersInFlight(std::string_view name, int count);
    void applyLoadReport(std::string_view name, const LoadReport &report, TimePoint now);

    /// Applies the result of a probe: success ends an ejection that was not caused by failed requests, failure counts towards an ejection.
    void applyProbeResult(std::string_view name, bool isHealthy, TimePoint now);
    /// @return the server that has been unresponsive longest, if any has been unresponsive for so long that it should be probed.
    std::optional<std::size_t> probeCandidate(TimePoint now) const;

    std::span<const Backend> backends() const;
    /// @return the server called @p name, or nullptr.
    const Backend *find(std::string_view name) const;

private:
    Distance distanceTo(const BackendServer &server) const;
    Backend *findMutable(std::string_view name);
    /// Applies the warm-up time in the server's registration.
    static void applyRegisteredWarmUp(Backend &backend, TimePoint now);
    /// Updates the rank of this entry VM among the senders to @p backend.
    void updateSenderRank(Backend &backend, TimePoint now) const;
    /// @return the quotas in force for @p backend, for its cold start and for its request limit.
    std::vector<ServerQuota> quotasInForce(const Backend &backend, TimePoint now) const;
    /// @return whether all quotas in force and the backoff that the server requested allow a request to @p backend now.
    bool acceptsRequests(const Backend &backend, TimePoint now) const;
    /// @return when this entry VM, which has no share, may send one request to @p backend to check whether its limit is still in force; nothing if never.
    std::optional<TimePoint> limitCheckAllowedAt(const Backend &backend, const ServerQuota &quota) const;
    /// @return whether the server's limit was not confirmed within LimitConfirmInterval and no attempt in flight may confirm it.
    static bool isLimitStale(const Backend &backend, TimePoint now);
    /// @return requests that this entry VM may send to @p backend in one window.
    int localShare(const Backend &backend, const ServerQuota &quota) const;
    bool isWithinQuota(const Backend &backend, const ServerQuota &quota, TimePoint now) const;
    /// @return the earliest time at which @p quota allows a request of this entry VM; nothing if it never does.
    std::optional<TimePoint> sendAllowedAt(const Backend &backend, const ServerQuota &quota, TimePoint now) const;
    void recordSend(Backend &backend, TimePoint now);
    bool mayTake(const Backend &backend, TimePoint now, bool ignoreEjection) const;
    static bool passes(const Backend &backend, const ServerFilter &filter);
    std::vector<std::size_t> candidates(TimePoint now, const ServerFilter &filter) const;
    std::vector<std::size_t> available(TimePoint now, const ServerFilter &filter, bool ignoreEjection) const;
    std::optional<std::size_t> takeOneOf(TimePoint now, Random &random, std::span<const std::size_t> indices);
    void recordGoodAnswer(Backend &backend, Duration latency, TimePoint now);
    bool isStraggler(const Backend &backend, TimePoint now) const;
    void eject(Backend &backend, TimePoint now);
    void recordFailure(Backend &backend, TimePoint now);
    void recordProbeFailure(Backend &backend, TimePoint now);
    /// @return whether few enough other servers are ejected for failed requests to eject @p backend as well.
    bool mayEjectByRequests(const Backend &backend, TimePoint now) const;

    PickPolicy policy_;
    Location location_;
    std::vector<Backend> backends_;
    std::set<std::string, std::less<>> leaving_; ///< Names, kept for servers that are removed from the configuration and added again.
    std::map<std::string, TimePoint, std::less<>> backoffs_; ///< Ends of requested backoffs by name, kept for servers that are removed and added again.
    int inFlightCap_ = 1000;
    std::optional<ServerQuota> coldStartQuota_;
    std::optional<FleetRank> rank_;
    std::optional<TimePoint> configuredAt_; ///< Time of the first configure().
};

} // namespace Cloverbarrow
