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

constexpr int FailuresToEject = 3;
constexpr Duration FirstEjection = seconds(1);
constexpr int MaxEjectionDoublings = 5;
// Where other servers have room, one that has failed is not chosen again, and so could never show that it is well.
constexpr Duration FailureForgotten = seconds(5);
// A server this many times slower than the median is a straggler: it costs callers more than its slots are worth.
constexpr double StragglerFactor = 3;
constexpr int SamplesToJudge = 5;
// After so many good answers in a row an ejection counts as the first again.
constexpr int SamplesToForgive = 50;
// Too many stragglers are no stragglers but an overload, and too many failing servers are one fault. At most one part in so many is ejected.
constexpr std::size_t MaxEjectedPart = 3;
constexpr Duration SilenceWorthProbe = milliseconds(500);
constexpr double LatencyWeight = 0.1;
constexpr Duration LimitCheckPause = seconds(1);
// While senders have requests, reports that a limit still stands come sooner after a window.
constexpr Duration LimitSilence = seconds(2);
constexpr Duration LimitTrialPause = seconds(1);
// A sender sends at most so many times faster than its share of a bound would be if it were spread evenly.
constexpr int LargestPaceFactor = 2;

bool isIn(std::span<const std::string> names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool isServing(const Backend &backend)
{
    return !backend.isLeaving && !backend.isEvacuated;
}

} // namespace

int failuresInForce(const Backend &backend, TimePoint now)
{
    return std::max(0, backend.failureStreak - static_cast<int>((now - backend.failedAt) / FailureForgotten));
}

BackendPool::BackendPool(PickPolicy policy, Location own)
    : policy_(policy)
    , own_(std::move(own))
{
}

void BackendPool::configure(const Service &service, TimePoint now)
{
    coldStart_ = service.coldStart;
    configuredAt_ = configuredAt_.value_or(now);
    const bool isPlaceNew = std::exchange(place_, service.place) != service.place;
    // Looked up by name in one pass: a service may have more than a thousand servers, and each change comes here.
    std::unordered_map<std::string_view, Backend *> known;
    for (Backend &backend : backends_) {
        known.emplace(backend.server.name, &backend);
    }
    std::vector<Backend> next;
    next.reserve(service.backendServers.size());
    for (const BackendServer &server : service.backendServers) {
        Backend backend;
        const auto found = known.find(server.name);
        const bool isKnown = found != known.end() && found->second->server.address == server.address;
        if (isKnown) {
            backend = *found->second;
        }
        backend.server = server;
        takeEntryWarmUp(backend, now);
        backend.isLeaving = leaving_.contains(server.name);
        backend.isEvacuated = isIn(service.evacuatedZones, server.zone);
        backend.distance = distanceTo(server);
        if (isPlaceNew || !isKnown) {
            rankSender(backend, now);
        }
        next.push_back(std::move(backend));
    }
    backends_ = std::move(next);
}

void BackendPool::rankSender(Backend &backend, TimePoint now) const
{
    // Entry VMs of other zones leave servers with a bound alone: they have no place among the senders.
    const bool isSender = place_ && backend.distance == Distance::SameZone;
    backend.senderRank = isSender ? std::optional(senderRank(*place_, backend.server.name)) : std::nullopt;
    if (!isSender || backend.senderRank == backend.lastSenderRank) {
        return;
    }
    if (backend.lastSenderRank) {
        backend.formerRankChangedAt = std::exchange(backend.rankChangedAt, now);
    }
    backend.lastSenderRank = backend.senderRank;
}

void BackendPool::takeEntryWarmUp(Backend &backend, TimePoint now)
{
    const TimePoint warmAt = now + backend.server.warmUp;
    // The server may have told of itself since its entry was written. Only an entry that tells of a later end is news.
    if (backend.server.warmUp > Duration(0) && warmAt > backend.warmAtByEntry + WarmUpTolerance) {
        backend.warmAt = warmAt;
        backend.warmAtByEntry = warmAt;
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

std::optional<std::size_t> BackendPool::take(TimePoint now, Random &random, std::span<const std::string> tried)
{
    return takeOneOf(now, random, candidates(now, tried));
}

std::optional<std::size_t> BackendPool::takeFresh(TimePoint now, Random &random, std::span<const std::string> tried)
{
    return takeOneOf(now, random, open(now, tried, false));
}

std::optional<std::size_t> BackendPool::takeUnheard(TimePoint now, Random &random, std::span<const std::string> tried)
{
    std::vector<std::size_t> indices = candidates(now, tried);
    std::erase_if(indices, [this, now](std::size_t index) { return coldStart_ && !isWithin(backends_[index], *coldStart_, now); });
    return takeOneOf(now, random, indices);
}

std::optional<std::size_t> BackendPool::takeOneOf(TimePoint now, Random &random, std::span<const std::size_t> indices)
{
    if (indices.empty()) {
        return std::nullopt;
    }
    const std::size_t index = pickBackend(policy_, backends_, indices, now, random);
    countTaken(backends_[index], now);
    return index;
}

std::optional<std::size_t> BackendPool::takeNamed(TimePoint now, std::string_view name)
{
    Backend *backend = findMutable(name);
    if (!backend || !mayTake(*backend, now, false)) {
        return std::nullopt;
    }
    countTaken(*backend, now);
    return static_cast<std::size_t>(backend - backends_.data());
}

void BackendPool::countTaken(Backend &backend, TimePoint now)
{
    ++backend.inFlight;
    ++backend.sentSinceReport;
    // Kept for servers without a bound as well: one that gets a bound has had requests just before.
    backend.sends.started(now);
}

std::vector<std::size_t> BackendPool::openServers(TimePoint now, std::span<const std::string> excluded) const
{
    return open(now, excluded, false);
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
    return servingCount() > 0;
}

void BackendPool::release(std::string_view name, AttemptQuality quality, Duration latency, TimePoint now)
{
    Backend *backend = findMutable(name);
    if (!backend) {
        return;
    }
    backend->inFlight = std::max(0, backend->inFlight - 1);
    backend->sends.ended(now, now - latency);
    backend->heardAt = now;
    if (quality == AttemptQuality::Failed) {
        countFailure(*backend, now);
    } else if (quality == AttemptQuality::Good) {
        countGood(*backend, latency, now);
    }
}

void BackendPool::warmUpTold(std::string_view name, Duration left, TimePoint now)
{
    if (Backend *backend = findMutable(name)) {
        backend->warmAt = now + left;
    }
}

bool BackendPool::takeLimitNotice(TimePoint now, TimePoint askedAt, std::string_view name, NoticeSource source, const LimitNotice &notice)
{
    Backend *backend = findMutable(name);
    return backend && backend->limit.take(now, askedAt, source, notice);
}

bool BackendPool::takeLimitReport(TimePoint now, const LimitReport &report)
{
    Backend *backend = findMutable(report.server);
    return backend && backend->limit.takeReport(now, report);
}

bool BackendPool::takeLimitConfirmation(std::string_view name)
{
    Backend *backend = findMutable(name);
    return backend && backend->limit.takeConfirmation();
}

std::optional<std::size_t> BackendPool::wantsLimitCheck(TimePoint now) const
{
    // Who sends nothing to a server hears nothing of the end of its limit. Where probes do not tell, the answer to one lets a request go there.
    const auto isDue = [this, now](const Backend &backend) {
        const bool isAsked = backend.limitProbedAt && now - *backend.limitProbedAt < LimitCheckPause;
        const bool isTelling = backend.limit.isNamedBy(NoticeSource::Probe) || mayTake(backend, now, true);
        return isServing(backend) && isLimitSilent(backend, now) && !isAsked && isTelling;
    };
    const auto found = std::find_if(backends_.begin(), backends_.end(), isDue);
    if (found == backends_.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - backends_.begin());
}

std::optional<std::size_t> BackendPool::takeLimitTrial(TimePoint now, std::span<const std::string> tried)
{
    // Choices go to servers that have just told of themselves, as those with many requests do; others would get none as long as these have room.
    const auto isDue = [this, now, tried](const Backend &backend) {
        const bool isAlive = backend.reportedAt && now - *backend.reportedAt < LimitCheckPause;
        const bool hasRoom = isAlive && backend.report->running + backend.report->waiting < std::max(1, backend.report->slots);
        return isLimitSilent(backend, now) && hasRoom && mayTake(backend, now, false) && !isIn(tried, backend.server.name);
    };
    const auto found = std::find_if(backends_.begin(), backends_.end(), isDue);
    if (found == backends_.end()) {
        return std::nullopt;
    }
    countTaken(*found, now);
    return static_cast<std::size_t>(found - backends_.begin());
}

bool BackendPool::isLimitSilent(const Backend &backend, TimePoint now)
{
    return backend.limit.perSecond() && backend.inFlight == 0 && now - backend.limit.heardAt() >= LimitConfirmPause;
}

void BackendPool::limitChecked(std::string_view name, TimePoint now)
{
    if (Backend *backend = findMutable(name)) {
        backend->limitProbedAt = now;
    }
}

std::optional<int> BackendPool::limitShare(const Backend &backend, TimePoint now) const
{
    const auto allowance = backend.limit.allowance(now);
    return allowance ? std::optional(ownShare(backend, *allowance)) : std::nullopt;
}

std::optional<TimePoint> BackendPool::boundedUntil(TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const Backend &backend : backends_) {
        if (!isServing(backend)) {
            continue;
        }
        if (isWithinBounds(backend, now)) {
            return std::nullopt;
        }
        TimePoint open = now;
        for (const FleetAllowance &allowance : bounds(backend, now)) {
            open = std::max(open, openingOf(backend, allowance, now).value_or(TimePoint::max()));
        }
        first = std::min(first.value_or(TimePoint::max()), open);
    }
    return first;
}

void BackendPool::setPeersInFlight(std::string_view name, int count)
{
    if (Backend *backend = findMutable(name)) {
        backend->peersInFlight = count;
    }
}

void BackendPool::report(std::string_view name, const LoadReport &report, TimePoint now)
{
    if (Backend *backend = findMutable(name)) {
        // Own attempts are counted exactly; only the others' part of the report is news.
        backend->reportedLoad = std::max(0, report.running + report.waiting - backend->inFlight);
        backend->report = report;
        backend->reportedAt = now;
        backend->sentSinceReport = 0;
    }
}

void BackendPool::probed(std::string_view name, bool isHealthy, TimePoint now)
{
    Backend *backend = findMutable(name);
    if (!backend) {
        return;
    }
    backend->heardAt = now;
    if (!isHealthy) {
        countProbeFailure(*backend, now);
        return;
    }
    backend->probeFailureStreak = 0;
    // A server may answer probes well and fail all requests. Were these forgotten with each probe, which choices make by the dozen, it would never be
    // ejected: 18 payouts in 6 s were lost by one entry VM at one server, of 313 at five servers.
    if (!backend->isEjectedByRequests) {
        backend->ejectedUntil = std::min(backend->ejectedUntil, now);
    }
}

std::optional<std::size_t> BackendPool::wantsProbe(TimePoint now) const
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < backends_.size(); ++index) {
        const Backend &backend = backends_[index];
        // Servers that carry requests tell of themselves for nothing.
        const bool isSilent = !backend.heardAt || now - *backend.heardAt >= SilenceWorthProbe;
        if (!isServing(backend) || !isSilent) {
            continue;
        }
        if (!best || backend.heardAt < backends_[*best].heardAt) {
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
    if (server.zone == own_.zone) {
        return Distance::SameZone;
    }
    return server.region.empty() || server.region == own_.region ? Distance::SameRegion : Distance::OtherRegion;
}

Backend *BackendPool::findMutable(std::string_view name)
{
    return const_cast<Backend *>(std::as_const(*this).find(name));
}

bool BackendPool::mayTake(const Backend &backend, TimePoint now, bool ignoreEjection) const
{
    // Every way to a server passes here: first attempts, retries, second attempts, and probes that choose a server for them.
    if (!isServing(backend) || backend.inFlight >= inFlightCap_ || !isWithinBounds(backend, now)) {
        return false;
    }
    if (ignoreEjection) {
        return true;
    }
    const bool isTrialTaken = backend.isOnTrial && backend.inFlight > 0;
    return now >= backend.ejectedUntil && !isTrialTaken;
}

std::vector<FleetAllowance> BackendPool::bounds(const Backend &backend, TimePoint now) const
{
    std::vector<FleetAllowance> all;
    if (coldStart_ && now < backend.warmAt) {
        // Idle servers look best to all entry VMs at once, and a cold one crashes at a rate that it bears when warm.
        all.push_back(*coldStart_);
    }
    if (const auto limit = backend.limit.allowance(now)) {
        all.push_back(*limit);
    }
    return all;
}

bool BackendPool::isWithinBounds(const Backend &backend, TimePoint now) const
{
    const auto all = bounds(backend, now);
    return std::all_of(all.begin(), all.end(), [this, &backend, now](const FleetAllowance &allowance) { return isWithin(backend, allowance, now); });
}

bool BackendPool::isWithin(const Backend &backend, const FleetAllowance &allowance, TimePoint now) const
{
    const auto opening = openingOf(backend, allowance, now);
    return opening && now >= *opening;
}

std::optional<TimePoint> BackendPool::silenceEnd(const Backend &backend, const FleetAllowance &allowance) const
{
    if (!backend.limit.perSecond() || !backend.senderRank) {
        return std::nullopt;
    }
    // The senders may have no requests, or not reach the server. One entry VM after the other then finds out whether the limit still stands.
    const TimePoint last = std::max(backend.limit.heardAt(), backend.sends.lastStart());
    return last + allowance.window + LimitSilence + LimitTrialPause * *backend.senderRank;
}

int BackendPool::ownShare(const Backend &backend, const FleetAllowance &allowance) const
{
    return backend.senderRank && place_ ? shareOf(allowance, *backend.senderRank, place_->count) : 0;
}

std::optional<TimePoint> BackendPool::openingOf(const Backend &backend, const FleetAllowance &allowance, TimePoint now) const
{
    const int share = ownShare(backend, allowance);
    const auto opening = share > 0 ? backend.sends.fewerAt(now, share, allowance.window) : silenceEnd(backend, allowance);
    if (!opening) {
        return std::nullopt;
    }
    if (share == 0) {
        return opening;
    }
    // A server that takes few requests does not take the share of a window at once.
    const TimePoint paced = backend.sends.lastStart() + allowance.window / (share * LargestPaceFactor);
    // Allowances leave room for the senders by one change of places, not by two. Others notice a change later by the lifetime of a place.
    const TimePoint settled = backend.formerRankChangedAt + allowance.window + FleetPlaceLifetime;
    // What a former process of this entry VM sent is in no window any more by then.
    const TimePoint forgotten = *configuredAt_ + allowance.window;
    return std::max({*opening, paced, settled, forgotten});
}

std::vector<std::size_t> BackendPool::candidates(TimePoint now, std::span<const std::string> tried) const
{
    // In falling order of preference: fresh and healthy, healthy, fresh, any. An ejection is only a guess of this
    // entry VM, so it never empties the pool.
    for (const bool ignoreEjection : {false, true}) {
        for (const auto excluded : {tried, std::span<const std::string>()}) {
            if (auto indices = open(now, excluded, ignoreEjection); !indices.empty()) {
                return indices;
            }
        }
    }
    return {};
}

std::vector<std::size_t> BackendPool::open(TimePoint now, std::span<const std::string> excluded, bool ignoreEjection) const
{
    std::vector<std::size_t> indices;
    for (std::size_t index = 0; index < backends_.size(); ++index) {
        const Backend &backend = backends_[index];
        if (!isIn(excluded, backend.server.name) && mayTake(backend, now, ignoreEjection)) {
            indices.push_back(index);
        }
    }
    return indices;
}

void BackendPool::countGood(Backend &backend, Duration latency, TimePoint now)
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
    if (backend.samples >= SamplesToForgive) {
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
    if (latencies.empty() || (ejected + 1) * MaxEjectedPart > backends_.size()) {
        return false;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return backend.latencyMs > StragglerFactor * *middle;
}

void BackendPool::countFailure(Backend &backend, TimePoint now)
{
    backend.failureStreak = std::min(failuresInForce(backend, now) + 1, FailuresToEject);
    backend.failedAt = now;
    const bool isIll = backend.failureStreak >= FailuresToEject || backend.isOnTrial;
    if (isIll && mayEjectByRequests(backend, now)) {
        eject(backend, now);
        backend.isEjectedByRequests = true;
    }
}

void BackendPool::countProbeFailure(Backend &backend, TimePoint now)
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
    const auto isOut = [&backend, now](const Backend &other) { return &other != &backend && other.isEjectedByRequests && now < other.ejectedUntil; };
    const auto out = static_cast<std::size_t>(std::count_if(backends_.begin(), backends_.end(), isOut));
    // Requests that fail at many servers tell of this entry VM's own link, or of something that avoiding servers does not mend.
    return out < std::max<std::size_t>(1, backends_.size() / MaxEjectedPart);
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
