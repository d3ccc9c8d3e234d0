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
    SameRegion, ///< Or nothing is known of regions.
    OtherRegion,
};

/// Where this entry VM stands.
struct Location {
    std::string zone;
    std::string region;
};

/// What one entry VM knows of one backend server.
struct Backend {
    BackendServer server;
    Distance distance = Distance::SameRegion;
    int inFlight = 0; ///< Attempts of this entry VM.
    int peersInFlight = 0; ///< Attempts of peers, as they last told.
    int reportedLoad = 0; ///< Requests of others in hand at the server, as it last said.
    std::optional<LoadReport> report; ///< Its last one, whole.
    std::optional<TimePoint> reportedAt;
    int sentSinceReport = 0; ///< Attempts of this entry VM since then.
    TimePoint warmAt; ///< Until then it is slow after its start, and gets few requests.
    TimePoint warmAtByEntry; ///< The same, as its entry last told.
    KnownLimit limit;
    std::optional<int> senderRank; ///< Of this entry VM among those that send to it while it has a bound; nothing where it is none of them.
    std::optional<int> lastSenderRank; ///< The same, also while it is none of them.
    TimePoint rankChangedAt;
    TimePoint formerRankChangedAt; ///< The change before.
    SendHistory sends;
    double latencyMs = 0; ///< Moving average over good answers; 0 when none was seen.
    int samples = 0; ///< Good answers since the last ejection.
    int failureStreak = 0; ///< Requests that failed in a row, at most as many as eject it; see failuresInForce().
    TimePoint failedAt; ///< The last of them.
    int probeFailureStreak = 0; ///< Probes that failed in a row.
    int ejections = 0;
    TimePoint ejectedUntil;
    bool isEjectedByRequests = false; ///< The last time; then no probe ends it.
    std::optional<TimePoint> ejectedAt; ///< The last time.
    bool isOnTrial = false; ///< Was ejected and has given no good answer since.
    bool isLeaving = false;
    bool isEvacuated = false; ///< Its availability zone gets no requests until operators take it back.
    std::optional<TimePoint> limitProbedAt; ///< When it was last asked whether its limit still stands.
    std::optional<TimePoint> heardAt; ///< Last answer of any kind, good or bad.
};

/// @return failures of requests in a row that still tell against @p backend: each is forgotten after some seconds without another.
int failuresInForce(const Backend &backend, TimePoint now);

/// How an attempt ended, as far as choosing a server is concerned.
enum class AttemptQuality {
    Good,
    Failed, ///< No answer, or an answer that says the server is ill.
    Neutral, ///< Says nothing of the server's health, as a shed request does.
};

/// The backend servers of one service, with the rules for which of them gets an attempt.
class BackendPool
{
public:
    /// @param own where this entry VM stands.
    BackendPool(PickPolicy policy, Location own);

    /// Takes over a service's servers; what is known of those that stay is kept.
    void configure(const Service &service, TimePoint now);
    void setLeaving(std::span<const std::string> names);
    void markLeaving(std::string_view name);
    /// @param cap most attempts of this entry VM at one server at a time.
    void setInFlightCap(int cap);

    /// Chooses a server and counts the attempt.
    /// @param tried servers that earlier attempts of the request used; taken only when no other is left.
    /// @return its index, or nothing when none may take an attempt now.
    std::optional<std::size_t> take(TimePoint now, Random &random, std::span<const std::string> tried);

    /// Like take(), but only a server that was not tried and has room now.
    std::optional<std::size_t> takeFresh(TimePoint now, Random &random, std::span<const std::string> tried);

    /// Like take(), where servers have not told of themselves lately: each is kept to the bound of a cold one, which it may be by now.
    std::optional<std::size_t> takeUnheard(TimePoint now, Random &random, std::span<const std::string> tried);

    /// Counts an attempt at the server called @p name. @return its index, or nothing when it may take none now.
    std::optional<std::size_t> takeNamed(TimePoint now, std::string_view name);
    /// @return servers that may take an attempt now and are not in @p excluded.
    std::vector<std::size_t> openServers(TimePoint now, std::span<const std::string> excluded) const;

    /// @return the mean latency of the servers that take requests, in milliseconds; 0 when none was seen.
    double meanLatencyMs() const;
    /// @return servers that are neither leaving nor evacuated.
    std::size_t servingCount() const;
    /// @return whether any server might take requests of this service, now or soon.
    bool hasCandidate() const;

    /// Counts an attempt's end. Names of servers that were removed meanwhile are ignored.
    void release(std::string_view name, AttemptQuality quality, Duration latency, TimePoint now);
    /// The server called @p name has told how much longer it stays cold.
    void warmUpTold(std::string_view name, Duration left, TimePoint now);
    /// Takes what an answer says of a limit. @param askedAt when the request was sent that it answers. @return whether the limit in force has changed.
    bool takeLimitNotice(TimePoint now, TimePoint askedAt, std::string_view name, NoticeSource source, const LimitNotice &notice);
    /// Takes what a peer has heard of a limit. @return as above.
    bool takeLimitReport(TimePoint now, const LimitReport &report);
    /// @return whether peers are to be told that the limit of the server called @p name still stands.
    bool takeLimitConfirmation(std::string_view name);
    /// @return a server that is to be asked whether its limit still stands, if any is.
    std::optional<std::size_t> wantsLimitCheck(TimePoint now) const;
    /// @return a server that should get the next request, so that it is heard whether its limit still stands; nothing where none is due.
    std::optional<std::size_t> takeLimitTrial(TimePoint now, std::span<const std::string> tried);
    /// The server called @p name is being asked that.
    void limitChecked(std::string_view name, TimePoint now);
    /// @return requests that this entry VM may send to @p backend in a window of its limit; nothing without one.
    std::optional<int> limitShare(const Backend &backend, TimePoint now) const;
    /// @return when a server may take an attempt again, where nothing but their bounds keeps all servers from it, TimePoint::max() when this entry VM
    /// sends to none of them; nothing where a server takes one now or is kept from it by something else.
    std::optional<TimePoint> boundedUntil(TimePoint now) const;
    void setPeersInFlight(std::string_view name, int count);
    void report(std::string_view name, const LoadReport &report, TimePoint now);

    /// Takes a probe's result: a good one ends an ejection that probes had brought about, a bad one is a failure.
    void probed(std::string_view name, bool isHealthy, TimePoint now);
    /// @return the server whose state a probe would tell most about, if any is worth one.
    std::optional<std::size_t> wantsProbe(TimePoint now) const;

    std::span<const Backend> backends() const;
    /// @return the server called @p name, or nullptr.
    const Backend *find(std::string_view name) const;

private:
    Distance distanceTo(const BackendServer &server) const;
    Backend *findMutable(std::string_view name);
    /// Takes what the server's entry tells of its warm-up.
    static void takeEntryWarmUp(Backend &backend, TimePoint now);
    /// Finds out the rank of this entry VM among the senders to @p backend.
    void rankSender(Backend &backend, TimePoint now) const;
    /// @return bounds on the requests that @p backend gets from all entry VMs, as far as any is in force.
    std::vector<FleetAllowance> bounds(const Backend &backend, TimePoint now) const;
    /// @return whether the bounds in force leave room for a request to @p backend.
    bool isWithinBounds(const Backend &backend, TimePoint now) const;
    /// @return when this entry VM, which has no share, may send a request to @p backend to hear whether its limit still stands; nothing when it may not.
    std::optional<TimePoint> silenceEnd(const Backend &backend, const FleetAllowance &allowance) const;
    /// @return whether it has not been heard for a while whether the server's limit still stands.
    static bool isLimitSilent(const Backend &backend, TimePoint now);
    int ownShare(const Backend &backend, const FleetAllowance &allowance) const;
    bool isWithin(const Backend &backend, const FleetAllowance &allowance, TimePoint now) const;
    /// @return when @p allowance leaves room for a request of this entry VM; nothing when it never does.
    std::optional<TimePoint> openingOf(const Backend &backend, const FleetAllowance &allowance, TimePoint now) const;
    void countTaken(Backend &backend, TimePoint now);
    bool mayTake(const Backend &backend, TimePoint now, bool ignoreEjection) const;
    std::vector<std::size_t> candidates(TimePoint now, std::span<const std::string> tried) const;
    std::vector<std::size_t> open(TimePoint now, std::span<const std::string> excluded, bool ignoreEjection) const;
    std::optional<std::size_t> takeOneOf(TimePoint now, Random &random, std::span<const std::size_t> indices);
    void countGood(Backend &backend, Duration latency, TimePoint now);
    bool isStraggler(const Backend &backend, TimePoint now) const;
    void eject(Backend &backend, TimePoint now);
    void countFailure(Backend &backend, TimePoint now);
    void countProbeFailure(Backend &backend, TimePoint now);
    /// @return whether so few servers are ejected by requests that another may be.
    bool mayEjectByRequests(const Backend &backend, TimePoint now) const;

    PickPolicy policy_;
    Location own_;
    std::vector<Backend> backends_;
    std::set<std::string, std::less<>> leaving_; ///< Names, also of servers that come back into the configuration.
    int inFlightCap_ = 1000;
    std::optional<FleetAllowance> coldStart_;
    std::optional<FleetPlace> place_;
    std::optional<TimePoint> configuredAt_; ///< For the first time.
};

} // namespace Cloverbarrow
