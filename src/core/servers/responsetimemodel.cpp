/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/responsetimemodel.h"

#include <algorithm>
#include <cmath>

namespace Cloverbarrow
{

namespace
{

constexpr int UsualSlots = 3;
// Half-life of a reported slowness. The speed of a server changes about every 150 ms with the load of neighbouring VMs.
constexpr double SlownessHalfLifeMs = 75;
// Expected time until a slow server changes its speed: the rest of the current period, and another one if it stays slow.
constexpr double SpeedChangeMs = 2 * SlownessHalfLifeMs;
constexpr double ReportWindow = 50; // reports
// Larger values are wrong or come from a server so slow that it says nothing about the others, so the mean ignores them.
constexpr double LargestSlowness = 100;
// Above this utilization a server without a fresh report usually has no free capacity: in a burst of 2.2 times the usual load, 11 of 100
// requests sent on reports up to one second old found all slots taken, and 19 of 100 found a slow server.
constexpr double HighUtilization = 0.75;
// Initial guess of the unloaded latency as a fraction of the latency objective, which usually leaves a margin for slow servers.
constexpr double UnloadedFractionOfObjective = 0.35;
constexpr double UnloadedLatencyWindow = 20; // answers
// Weight of the initial assumption that a reported slowness lasts as long as the request.
constexpr double PersistenceGuessWeight = 2; // answers
constexpr double PersistenceWindow = 20; // answers
// Up to this age a report describes the state that the request met: few servers start another request or change their speed in that time.
constexpr Duration ReliableReportAge = milliseconds(10);
// Below this slowness the latency of an answer does not show how long the slowness lasted.
constexpr double SignificantSlowness = 2;
constexpr double ColdFactor = 2;
// Round trip to another zone, plus a penalty for the price of traffic between availability zones.
constexpr double OtherZoneMs = 12;
constexpr double OtherRegionMs = 80;
constexpr double FailureFactor = 1.5;
// Up to this slowness a server counts as not slowed down by neighbouring VMs.
constexpr double UsualSlowness = 1.15;

double distanceMs(Distance distance)
{
    switch (distance) {
    case Distance::SameZone:
        return 0;
    case Distance::SameRegion:
        return OtherZoneMs;
    case Distance::OtherRegion:
        break;
    }
    return OtherRegionMs;
}

} // namespace

int slotsOf(const Backend &backend)
{
    if (backend.report && backend.report->slots > 0) {
        return backend.report->slots;
    }
    return backend.server.slots > 0 ? backend.server.slots : UsualSlots;
}

int outstandingRequests(const Backend &backend)
{
    const int reported = backend.report ? backend.report->running + backend.report->waiting : 0;
    return std::max(reported + backend.sentSinceReport, backend.inFlight);
}

ServerSnapshot snapshotOf(const Backend &backend, TimePoint now)
{
    ServerSnapshot state;
    state.otherRequests = outstandingRequests(backend) - 1;
    state.slots = slotsOf(backend);
    state.slowness = backend.report ? backend.report->slowness : 1;
    if (backend.reportedAt) {
        state.reportAge = now - *backend.reportedAt;
    }
    return state;
}

ResponseTimeModel::ResponseTimeModel()
    : meanSlowness_(1, 1, ReportWindow)
    , meanUtilization_(0, 1, ReportWindow)
    , slownessPersistence_(1, PersistenceGuessWeight, PersistenceWindow)
{
}

void ResponseTimeModel::recordResponse(Duration objective, Duration latency, const ServerSnapshot &start)
{
    if (!start.reportAge || *start.reportAge > ReliableReportAge || start.wasQueued()) {
        return;
    }
    const double time = toMilliseconds(latency) / contention_.slowdown(start.otherRequests, start.slots);
    if (start.slowness >= SignificantSlowness) {
        const double persistence = (time / unloadedLatencyMs(objective) - 1) / (start.slowness - 1);
        slownessPersistence_.add(std::clamp(persistence, 0.0, 1.0));
        return;
    }
    if (start.slowness > UsualSlowness) {
        return;
    }
    if (ContentionModel::isUncontended(start.otherRequests, start.slots)) {
        const auto entry = unloadedLatencyMs_.try_emplace(objective, UnloadedFractionOfObjective * toMilliseconds(objective), 1, UnloadedLatencyWindow).first;
        entry->second.add(time);
    }
    contention_.recordResponse(start.otherRequests, start.slots, toMilliseconds(latency) / unloadedLatencyMs(objective));
}

void ResponseTimeModel::recordReport(const LoadReport &report)
{
    if (report.slowness <= LargestSlowness) {
        meanSlowness_.add(report.slowness);
    }
    if (report.slots > 0) {
        const double utilization = static_cast<double>(report.running + report.waiting) / contention_.optimalConcurrency(report.slots);
        meanUtilization_.add(std::min(1.0, utilization));
    }
}

bool ResponseTimeModel::isNearSaturation() const
{
    return meanUtilization_.value() > HighUtilization;
}

double ResponseTimeModel::unloadedLatencyMs(Duration objective) const
{
    const auto found = unloadedLatencyMs_.find(objective);
    return found == unloadedLatencyMs_.end() ? UnloadedFractionOfObjective * toMilliseconds(objective) : found->second.value();
}

double ResponseTimeModel::estimatedSlowness(const Backend &backend, TimePoint now) const
{
    const double mean = meanSlowness_.value();
    if (!backend.report || !backend.reportedAt) {
        return mean;
    }
    const double age = toMilliseconds(now - *backend.reportedAt);
    return mean + (backend.report->slowness - mean) * std::exp2(-age / SlownessHalfLifeMs);
}

double ResponseTimeModel::expectedMs(const Backend &backend, Duration objective, TimePoint now) const
{
    const double unloaded = unloadedLatencyMs(objective);
    const int slots = slotsOf(backend);
    const int outstanding = outstandingRequests(backend);
    double time = unloaded * (1 + slownessPersistence_.value() * (estimatedSlowness(backend, now) - 1));
    time *= contention_.slowdown(std::min(outstanding, slots - 1), slots);
    if (now < backend.warmAt) {
        time *= ColdFactor;
    }
    time *= std::pow(FailureFactor, unexpiredFailures(backend, now));
    const int ahead = std::max(0, outstanding + 1 - slots);
    return time + ahead * unloaded * meanSlowness_.value() / slots + distanceMs(backend.distance);
}

bool ResponseTimeModel::hasFreeCapacity(const Backend &backend) const
{
    return hasFreeCapacityAt(outstandingRequests(backend), slotsOf(backend));
}

bool ResponseTimeModel::hasCapacityToSpare(const Backend &backend) const
{
    const int outstanding = outstandingRequests(backend);
    return outstanding == 0 || hasFreeCapacityAt(outstanding + 1, slotsOf(backend));
}

bool ResponseTimeModel::hasFreeCapacityAt(int outstanding, int slots) const
{
    return outstanding < contention_.optimalConcurrency(slots);
}

bool ResponseTimeModel::isTemporarilyTooSlow(const Backend &backend, Duration objective, TimePoint now) const
{
    const double delay = unloadedLatencyMs(objective) * slownessPersistence_.value() * (estimatedSlowness(backend, now) - meanSlowness_.value());
    return delay > SpeedChangeMs;
}

bool ResponseTimeModel::isNearOptimal(const Backend &backend, TimePoint now) const
{
    const bool isFast = estimatedSlowness(backend, now) <= UsualSlowness && now >= backend.warmAt;
    return isFast && hasCapacityToSpare(backend) && unexpiredFailures(backend, now) == 0 && backend.distance == Distance::SameZone;
}

} // namespace Cloverbarrow
