/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/backendpool.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace Cloverbarrow
{

namespace
{

constexpr int FailuresToEject = 3; // consecutive
constexpr Duration FirstEjection = seconds(1);
constexpr int MaxEjectionDoublings = 5;
// A failed server is not chosen while others have free capacity, so without expiry it could never prove that it has recovered.
constexpr Duration FailureLifetime = seconds(5);
// A server this many times slower than the median is a straggler: it delays callers by more than its slots contribute.
constexpr double StragglerFactor = 3;
constexpr int SamplesToJudge = 5;
// After this many good answers since the last ejection, the ejection time starts from its minimum again.
constexpr int SamplesToReset = 50;
// At most one server in this many is ejected: many slow servers indicate an overload, and many failing ones a common fault.
constexpr std::size_t MaxEjectedDivisor = 3;
constexpr Duration UnresponsiveBeforeProbe = milliseconds(500);
constexpr double LatencyWeight = 0.1;
constexpr Duration LimitCheckInterval = seconds(1);
// While the senders have requests, their confirmations of a limit arrive within this time after a window.
constexpr Duration LimitConfirmationTimeout = seconds(2);
constexpr Duration LimitCheckStagger = seconds(1);
// A sender may exceed the rate of its evenly spread share by at most this factor.
constexpr int MaxPaceFactor = 2;

bool isIn(std::span<const std::string> names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool isServing(const Backend &backend)
{
    return !backend.isLeaving && !backend.isEvacuated;
}

} // namespace

int unexpiredFailures(const Backend &backend, TimePoint now)
{
    return std::max(0, backend.failureStreak - static_cast<int>((now - backend.lastFailureAt) / FailureLifetime));
}

BackendPool::BackendPool(PickPolicy policy, Location location)
    : policy_(policy)
    , location_(std::move(location))
{
}

void BackendPool::configure(const Service &service, TimePoint now)
{
    coldStartQuota_ = service.coldStartQuota;
    configuredAt_ = configuredAt_.value_or(now);
    const bool isRankNew = std::exchange(rank_, service.entryVmRank) != service.entryVmRank;
    // Indexed by name, since a service may have more than a thousand servers and every change of the configuration calls this function.
    std::unordered_map<std::string_view, Backend *> existing;
    for (Backend &backend : backends_) {
        existing.emplace(backend.server.name, &backend);
    }
    std::vector<Backend> next;
    next.reserve(service.backendServers.size());
    for (const BackendServer &server : service.backendServers) {
        Backend backend;
        const auto found = existing.find(server.name);
        const bool isKnown = found != existing.end() && found->second->server.address == server.address;
        if (isKnown) {
            backend = std::move(*found->second);
        }
        backend.server = server;
        applyRegisteredWarmUp(backend, now);
        backend.isLeaving = leaving_.contains(server.name);
        const auto backoff = backoffs_.find(server.name);
        backend.backoffUntil = backoff == backoffs_.end() ? TimePoint() : backoff->second;
        backend.isEvacuated = isIn(service.evacuatedZones, server.zone);
        backend.isTargetVersion = service.versionShift && server.version == service.versionShift->targetVersion;
        backend.distance = distanceTo(server);
        if (isRankNew || !isKnown) {
            updateSenderRank(backend, now);
        }
        next.push_back(std::move(backend));
    }
    backends_ = std::move(next);
}

void BackendPool::updateSenderRank(Backend &backend, TimePoint now) const
{
    // Entry VMs of other zones send nothing to a server while a quota is in force there.
    const bool isSender = rank_ && backend.distance == Distance::SameZone;
    backend.senderRank = isSender ? std::optional(senderRank(*rank_, backend.server.name)) : std::nullopt;
    if (!isSender || backend.senderRank == backend.lastSenderRank) {
        return;
    }
    if (backend.lastSenderRank) {
        backend.previousRankChangedAt = std::exchange(backend.rankChangedAt, now);
    }
    backend.lastSenderRank = backend.senderRank;
}

void BackendPool::applyRegisteredWarmUp(Backend &backend, TimePoint now)
{
    const TimePoint warmAt = now + backend.server.warmUp;
    // The server may have reported a newer value since it was registered. Only a registration with a later end of the warm-up is an update.
    if (backend.server.warmUp > Duration(0) && warmAt > backend.registeredWarmAt + WarmUpTolerance) {
        backend.warmAt = warmAt;
        backend.registeredWarmAt = warmAt;
    }
}

void BackendPool::setLeaving(std::span<const std::string> names)
{
    leaving_ = {names.begin(), names.end()};
    for (Backend &backend : backends_) {
        backend.isLeaving = leaving_.contains(backend.server.name);
    }
}

void BackendPool::markLeaving(std::string_view name)
{
    leaving_.emplace(name);
    if (Backend *backend = findMutable(name)) {
        backend->isLeaving = true;
    }
}

void BackendPool::setInFlightCap(int cap)
{
    inFlightCap_ = std::max(1, cap);
}

std::optional<std::size_t> BackendPool::take(TimePoint now, Random &random, const ServerFilter &filter)
{
    return takeOneOf(now, random, candidates(now, filter));
}

std::optional<std::size_t> BackendPool::takeUntried(TimePoint now, Random &random, const ServerFilter &filter)
{
    return takeOneOf(now, random, available(now, filter, false));
}

std::optional<std::size_t> BackendPool::takeUnreported(TimePoint now, Random &random, const ServerFilter &filter)
{
    std::vector<std::size_t> indices = candidates(now, filter);
    std::erase_if(indices, [this, now](std::size_t index) { return coldStartQuota_ && !isWithinQuota(backends_[index], *coldStartQuota_, now); });
    return takeOneOf(now, random, indices);
}

std::optional<std::size_t> BackendPool::takeOneOf(TimePoint now, Random &random, std::span<const std::size_t> indices)
{
    if (indices.empty()) {
        return std::nullopt;
    }
    const std::size_t index = pickBackend(policy_, backends_, indices, now, random);
    recordSend(backends_[index], now);
    return index;
}

std::optional<std::size_t> BackendPool::takeNamed(TimePoint now, std::string_view name)
{
    Backend *backend = findMutable(name);
    if (!backend || !mayTake(*backend, now, false)) {
        return std::nullopt;
    }
    recordSend(*backend, now);
    return static_cast<std::size_t>(backend - backends_.data());
}

void BackendPool::recordSend(Backend &backend, TimePoint now)
{
    ++backend.inFlight;
    ++backend.sentSinceReport;
    // Also recorded while no quota is in force, because requests sent just before one takes effect count against it.
    backend.sendHistory.recordStart(now);
}

std::vector<std::size_t> BackendPool::availableServers(TimePoint now, const ServerFilter &filter) const
{
    return available(now, filter, false);
}

double BackendPool::meanLatencyMs() const
{
    double sum = 0;
    int count = 0;
    for (const Backend &backend : backends_) {
        if (isServing(backend) && backend.latencyMs > 0) {
            sum += backend.latencyMs;
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

std::size_t BackendPool::servingCount() const
{
    return static_cast<std::size_t>(std::count_if(backends_.begin(), backends_.end(), isServing));
}

bool BackendPool::hasCandidate() const
{
    return hasCandidate(VersionGroup::Any);
}

bool BackendPool::hasCandidate(VersionGroup versions) const
{
    return std::any_of(backends_.begin(), backends_.end(), [versions](const Backend &backend) {
        return isServing(backend) && passes(backend, {{}, versions});
    });
}

bool BackendPool::passes(const Backend &backend, const ServerFilter &filter)
{
    const bool isInGroup = filter.versions == VersionGroup::Any || backend.isTargetVersion == (filter.versions == VersionGroup::Target);
    return isInGroup && !isIn(filter.excluded, backend.server.name) && !std::ranges::binary_search(filter.unusable, backend.server.name);
}

void BackendPool::release(std::string_view name, AttemptQuality quality, Duration latency, TimePoint now)
{
    Backend *backend = findMutable(name);
    if (!backend) {
        return;
    }
    backend->inFlight = std::max(0, backend->inFlight - 1);
    backend->sendHistory.recordEnd(now, now - latency);
    backend->lastAnswerAt = now;
    if (quality == AttemptQuality::Failed) {
        recordFailure(*backend, now);
    } else if (quality == AttemptQuality::Good) {
        recordGoodAnswer(*backend, latency, now);
    }
}

void BackendPool::setWarmUp(std::string_view name, Duration left, TimePoint now)
{
    if (Backend *backend = findMutable(name)) {
        backend->warmAt = now + left;
    }
}

bool BackendPool::applyLimitNotice(TimePoint now, TimePoint sentAt, std::string_view name, NoticeSource source, const LimitNotice &notice)
{
    Backend *backend = findMutable(name);
    return backend && backend->limit.apply(now, sentAt, source, notice);
}

bool BackendPool::applyLimitReport(TimePoint now, const LimitReport &report)
{
    Backend *backend = findMutable(report.server);
    return backend && backend->limit.applyReport(now, report);
}

bool BackendPool::applyBackoff(std::string_view name, Duration duration, TimePoint now)
{
    std::erase_if(backoffs_, [now](const auto &entry) { return entry.second <= now; });
    TimePoint &until = backoffs_.try_emplace(std::string(name), now).first->second;
    if (now + duration <= until) {
        return false;
    }
    until = now + duration;
    if (Backend *backend = findMutable(name)) {
        backend->backoffUntil = until;
    }
    return true;
}

bool BackendPool::claimLimitConfirmation(std::string_view name)
{
    Backend *backend = findMutable(name);
    return backend && backend->limit.claimConfirmation();
}

std::optional<std::size_t> BackendPool::limitCheckCandidate(TimePoint now) const
{
    // An entry VM that sends nothing to a server would not notice the end of its limit. If answers to probes do not announce limits, the probe
    // refreshes the load report that takeForLimitCheck() needs to send a request there.
    const auto isDue = [this, now](const Backend &backend) {
        const bool isChecked = backend.limitProbedAt && now - *backend.limitProbedAt < LimitCheckInterval;
        const bool canTell = (backend.limit.isAnnouncedBy(NoticeSource::Probe) && now >= backend.backoffUntil) || mayTake(backend, now, true);
        return isServing(backend) && isLimitStale(backend, now) && !isChecked && canTell;
    };
    const auto found = std::find_if(backends_.begin(), backends_.end(), isDue);
    if (found == backends_.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - backends_.begin());
}

std::optional<std::size_t> BackendPool::takeForLimitCheck(TimePoint now, const ServerFilter &filter)
{
    // Requests usually go to servers with fresh reports, which are those with many requests; a limited server would get none while these have free
    // capacity.
    const auto isDue = [this, now, &filter](const Backend &backend) {
        const bool hasFreshReport = backend.reportedAt && now - *backend.reportedAt < LimitCheckInterval;
        const bool hasFreeSlot = hasFreshReport && backend.report->running + backend.report->waiting < std::max(1, backend.report->slots);
        return isLimitStale(backend, now) && hasFreeSlot && mayTake(backend, now, false) && passes(backend, filter);
    };
    const auto found = std::find_if(backends_.begin(), backends_.end(), isDue);
    if (found == backends_.end()) {
        return std::nullopt;
    }
    recordSend(*found, now);
    return static_cast<std::size_t>(found - backends_.begin());
}

bool BackendPool::isLimitStale(const Backend &backend, TimePoint now)
{
    return backend.limit.perSecond() && backend.inFlight == 0 && now - backend.limit.lastObservedAt() >= LimitConfirmInterval;
}

void BackendPool::markLimitChecked(std::string_view name, TimePoint now)
{
    if (Backend *backend = findMutable(name)) {
        backend->limitProbedAt = now;
    }
}

std::optional<int> BackendPool::limitShare(const Backend &backend, TimePoint now) const
{
    const auto quota = backend.limit.quota(now);
    return quota ? std::optional(localShare(backend, *quota)) : std::nullopt;
}

std::optional<TimePoint> BackendPool::rateLimitedUntil(TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const Backend &backend : backends_) {
        if (!isServing(backend)) {
            continue;
        }
        if (acceptsRequests(backend, now)) {
            return std::nullopt;
        }
        TimePoint allowedAt = std::max(now, backend.backoffUntil);
        for (const ServerQuota &quota : quotasInForce(backend, now)) {
            allowedAt = std::max(allowedAt, sendAllowedAt(backend, quota, now).value_or(TimePoint::max()));
        }
        first = std::min(first.value_or(TimePoint::max()), allowedAt);
    }
    return first;
}

void BackendPool::setPeersInFlight(std::string_view name, int count)
{
    if (Backend *backend = findMutable(name)) {
        backend->peersInFlight = count;
    }
}

void BackendPool::applyLoadReport(std::string_view name, const LoadReport &report, TimePoint now)
{
    if (Backend *backend = findMutable(name)) {
        // Attempts of this entry VM are counted exactly, so only the requests of other entry VMs are taken from the report.
        backend->reportedLoad = std::max(0, report.running + report.waiting - backend->inFlight);
        backend->report = report;
        backend->reportedAt = now;
        backend->sentSinceReport = 0;
    }
}

void BackendPool::applyProbeResult(std::string_view name, bool isHealthy, TimePoint now)
{
    Backend *backend = findMutable(name);
    if (!backend) {
        return;
    }
    backend->lastAnswerAt = now;
    if (!isHealthy) {
        recordProbeFailure(*backend, now);
        return;
    }
    backend->probeFailureStreak = 0;
    // A server may pass probes and fail all requests. If each of the frequent probes reset the request failures, it would never be ejected: one
    // entry VM lost 18 payouts at such a server within 6 s, of 313 payouts at five servers.
    if (!backend->isEjectedByRequests) {
        backend->ejectedUntil = std::min(backend->ejectedUntil, now);
    }
}

std::optional<std::size_t> BackendPool::probeCandidate(TimePoint now) const
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < backends_.size(); ++index) {
        const Backend &backend = backends_[index];
        // Answers to requests carry load reports, so servers that get requests need no probes.
        const bool isUnresponsive = !backend.lastAnswerAt || now - *backend.lastAnswerAt >= UnresponsiveBeforeProbe;
        if (!isServing(backend) || !isUnresponsive) {
            continue;
        }
        if (!best || backend.lastAnswerAt < backends_[*best].lastAnswerAt) {
            best = index;
        }
    }
    return best;
}

std::span<const Backend> BackendPool::backends() const
{
    return backends_;
}

const Backend *BackendPool::find(std::string_view name) const
{
    const auto found = std::find_if(backends_.begin(), backends_.end(), [name](const Backend &backend) { return backend.server.name == name; });
    return found == backends_.end() ? nullptr : &*found;
}

Distance BackendPool::distanceTo(const BackendServer &server) const
{
    if (server.zone == location_.zone) {
        return Distance::SameZone;
    }
    return server.region.empty() || server.region == location_.region ? Distance::SameRegion : Distance::OtherRegion;
}

Backend *BackendPool::findMutable(std::string_view name)
{
    return const_cast<Backend *>(std::as_const(*this).find(name));
}

bool BackendPool::mayTake(const Backend &backend, TimePoint now, bool ignoreEjection) const
{
    // All sends pass this check: first attempts, retries, hedges, and probes that select a server for them.
    if (!isServing(backend) || backend.inFlight >= inFlightCap_ || !acceptsRequests(backend, now)) {
        return false;
    }
    if (ignoreEjection) {
        return true;
    }
    const bool isTrialTaken = backend.isOnTrial && backend.inFlight > 0;
    return now >= backend.ejectedUntil && !isTrialTaken;
}

std::vector<ServerQuota> BackendPool::quotasInForce(const Backend &backend, TimePoint now) const
{
    std::vector<ServerQuota> all;
    if (coldStartQuota_ && now < backend.warmAt) {
        // An idle server looks best to all entry VMs at once, and a cold one crashes at a rate that it tolerates when warm.
        all.push_back(*coldStartQuota_);
    }
    if (const auto limit = backend.limit.quota(now)) {
        all.push_back(*limit);
    }
    return all;
}

bool BackendPool::acceptsRequests(const Backend &backend, TimePoint now) const
{
    const auto all = quotasInForce(backend, now);
    return now >= backend.backoffUntil
        && std::all_of(all.begin(), all.end(), [this, &backend, now](const ServerQuota &quota) { return isWithinQuota(backend, quota, now); });
}

bool BackendPool::isWithinQuota(const Backend &backend, const ServerQuota &quota, TimePoint now) const
{
    const auto allowedAt = sendAllowedAt(backend, quota, now);
    return allowedAt && now >= *allowedAt;
}

std::optional<TimePoint> BackendPool::limitCheckAllowedAt(const Backend &backend, const ServerQuota &quota) const
{
    if (!backend.limit.perSecond() || !backend.senderRank) {
        return std::nullopt;
    }
    // The senders may have no requests or may not reach the server. The other entry VMs then check one after another, in the order of their ranks,
    // whether the limit is still in force.
    const TimePoint last = std::max(backend.limit.lastObservedAt(), backend.sendHistory.lastStart());
    return last + quota.window + LimitConfirmationTimeout + LimitCheckStagger * *backend.senderRank;
}

int BackendPool::localShare(const Backend &backend, const ServerQuota &quota) const
{
    return backend.senderRank && rank_ ? shareOf(quota, *backend.senderRank, assignedRanks(*rank_)) : 0;
}

std::optional<TimePoint> BackendPool::sendAllowedAt(const Backend &backend, const ServerQuota &quota, TimePoint now) const
{
    const int share = localShare(backend, quota);
    const auto allowedAt = share > 0 ? backend.sendHistory.dropsBelowAt(now, share, quota.window) : limitCheckAllowedAt(backend, quota);
    if (!allowedAt) {
        return std::nullopt;
    }
    if (share == 0) {
        return allowedAt;
    }
    // A server with a small quota cannot take the share of a whole window in one burst.
    const TimePoint paced = backend.sendHistory.lastStart() + quota.window / (share * MaxPaceFactor);
    // Quotas leave a margin for two sets of senders, hence for one change of ranks within a window, not for two. Peers may notice a change later by
    // the lifetime of a rank.
    const TimePoint settled = backend.previousRankChangedAt + quota.window + FleetRankLifetime;
    // From then on no window contains requests that a previous process of this entry VM sent.
    const TimePoint restarted = *configuredAt_ + quota.window;
    return std::max({*allowedAt, paced, settled, restarted});
}

std::vector<std::size_t> BackendPool::candidates(TimePoint now, const ServerFilter &filter) const
{
    // In descending order of preference: not excluded and not ejected, not ejected, not excluded, any. An ejection is only an estimate of this entry VM, so it
    // never leaves a request without a server.
    for (const bool ignoreEjection : {false, true}) {
        for (const auto excluded : {filter.excluded, std::span<const std::string>()}) {
            if (auto indices = available(now, {excluded, filter.versions, filter.unusable}, ignoreEjection); !indices.empty()) {
                return indices;
            }
        }
    }
    return {};
}

std::vector<std::size_t> BackendPool::available(TimePoint now, const ServerFilter &filter, bool ignoreEjection) const
{
    std::vector<std::size_t> indices;
    for (std::size_t index = 0; index < backends_.size(); ++index) {
        const Backend &backend = backends_[index];
        if (passes(backend, filter) && mayTake(backend, now, ignoreEjection)) {
            indices.push_back(index);
        }
    }
    return indices;
}

void BackendPool::recordGoodAnswer(Backend &backend, Duration latency, TimePoint now)
{
    const double sample = toMilliseconds(latency);
    const bool isFirst = backend.isOnTrial || backend.latencyMs == 0;
    backend.latencyMs = isFirst ? sample : backend.latencyMs + LatencyWeight * (sample - backend.latencyMs);
    ++backend.samples;
    backend.failureStreak = 0;
    if (isStraggler(backend, now)) {
        eject(backend, now);
        return;
    }
    backend.isOnTrial = false;
    if (backend.samples >= SamplesToReset) {
        backend.ejections = 0;
    }
}

bool BackendPool::isStraggler(const Backend &backend, TimePoint now) const
{
    if (backend.samples < SamplesToJudge && !backend.isOnTrial) {
        return false;
    }
    std::vector<double> latencies;
    std::size_t ejected = 0;
    for (const Backend &other : backends_) {
        if (other.latencyMs > 0) {
            latencies.push_back(other.latencyMs);
        }
        ejected += &other != &backend && now < other.ejectedUntil ? 1 : 0;
    }
    if (latencies.empty() || (ejected + 1) * MaxEjectedDivisor > backends_.size()) {
        return false;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return backend.latencyMs > StragglerFactor * *middle;
}

void BackendPool::recordFailure(Backend &backend, TimePoint now)
{
    backend.failureStreak = std::min(unexpiredFailures(backend, now) + 1, FailuresToEject);
    backend.lastFailureAt = now;
    const bool isUnhealthy = backend.failureStreak >= FailuresToEject || backend.isOnTrial;
    if (isUnhealthy && mayEjectByRequests(backend, now)) {
        eject(backend, now);
        backend.isEjectedByRequests = true;
    }
}

void BackendPool::recordProbeFailure(Backend &backend, TimePoint now)
{
    ++backend.probeFailureStreak;
    if (backend.probeFailureStreak >= FailuresToEject || backend.isOnTrial) {
        const bool wasByRequests = backend.isEjectedByRequests && now < backend.ejectedUntil;
        eject(backend, now);
        backend.isEjectedByRequests = wasByRequests;
    }
}

bool BackendPool::mayEjectByRequests(const Backend &backend, TimePoint now) const
{
    const auto isEjected = [&backend, now](const Backend &other) { return &other != &backend && other.isEjectedByRequests && now < other.ejectedUntil; };
    const auto ejected = static_cast<std::size_t>(std::count_if(backends_.begin(), backends_.end(), isEjected));
    // Failures at many servers indicate a fault of this entry VM's network link, or another fault that ejecting servers does not help against.
    return ejected < std::max<std::size_t>(1, backends_.size() / MaxEjectedDivisor);
}

void BackendPool::eject(Backend &backend, TimePoint now)
{
    backend.ejectedUntil = now + FirstEjection * (1 << std::min(backend.ejections, MaxEjectionDoublings));
    backend.ejectedAt = now;
    ++backend.ejections;
    backend.failureStreak = 0;
    backend.probeFailureStreak = 0;
    backend.isEjectedByRequests = false;
    backend.samples = 0;
    backend.isOnTrial = true;
}

} // namespace Cloverbarrow
