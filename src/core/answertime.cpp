/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/answertime.h"

#include <algorithm>
#include <cmath>

namespace Cloverbarrow
{

namespace
{

constexpr int UsualSlots = 3;
// A VM keeps its slowness for some 150 ms (users' sheets, "noise"); what a report tells lasts half of that in the mean.
constexpr double SlownessLastsMs = 75;
constexpr double SlownessWeight = 0.02;
constexpr double LatencyWeight = 0.05;
// Before anything was seen, work is taken as this part of the latency objective (users' sheets: a third).
constexpr double WorkPartOfObjective = 0.35;
// Servers that are nearly full slow down on some sites (by 1.7 on the users' sheets) and not on others.
constexpr double NearlyFullPart = 0.8;
constexpr double NearlyFullFactor = 1.4;
constexpr double ColdFactor = 2;
// Stands for the way there and back, and for the price of bytes between availability zones.
constexpr double OtherZoneMs = 12;
constexpr double OtherRegionMs = 80;
constexpr double FailureFactor = 1.5;
// A server at most this slow counts as unharmed by its neighbours.
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

bool isNearlyFull(const Backend &backend)
{
    return heldBy(backend) + 1 > NearlyFullPart * slotsOf(backend);
}

} // namespace

int slotsOf(const Backend &backend)
{
    if (backend.report && backend.report->slots > 0) {
        return backend.report->slots;
    }
    return backend.server.slots > 0 ? backend.server.slots : UsualSlots;
}

int heldBy(const Backend &backend)
{
    const int told = backend.report ? backend.report->running + backend.report->waiting : 0;
    return std::max(told + backend.sentSinceReport, backend.inFlight);
}

void AnswerTimeModel::answered(Duration objective, Duration latency)
{
    const double sample = toMilliseconds(latency);
    const auto [entry, isNew] = meanLatencyMs_.try_emplace(objective, sample);
    if (!isNew) {
        entry->second += LatencyWeight * (sample - entry->second);
    }
}

void AnswerTimeModel::toldSlowness(double slowness)
{
    meanSlowness_ += SlownessWeight * (slowness - meanSlowness_);
}

double AnswerTimeModel::workMs(Duration objective) const
{
    const double first = WorkPartOfObjective * toMilliseconds(objective);
    const auto found = meanLatencyMs_.find(objective);
    // Servers are chosen by their speed, so answers take less than work times mean slowness; half way between
    // is near enough, as only the order of servers follows from it.
    return found == meanLatencyMs_.end() ? first : found->second / std::sqrt(meanSlowness_);
}

double AnswerTimeModel::slownessNow(const Backend &backend, TimePoint now) const
{
    if (!backend.report || !backend.reportedAt) {
        return meanSlowness_;
    }
    const double age = toMilliseconds(now - *backend.reportedAt);
    return meanSlowness_ + (backend.report->slowness - meanSlowness_) * std::exp2(-age / SlownessLastsMs);
}

double AnswerTimeModel::expectedMs(const Backend &backend, Duration objective, TimePoint now) const
{
    const double work = workMs(objective);
    const double slowness = slownessNow(backend, now);
    // The present slowness lasts a while; after that the mean is the best guess.
    double time = work * slowness;
    if (time > SlownessLastsMs) {
        time = SlownessLastsMs + (work - SlownessLastsMs / slowness) * meanSlowness_;
    }
    if (isNearlyFull(backend)) {
        time *= NearlyFullFactor;
    }
    if (now < backend.warmAt) {
        time *= ColdFactor;
    }
    time *= std::pow(FailureFactor, backend.failureStreak);
    const int ahead = std::max(0, heldBy(backend) + 1 - slotsOf(backend));
    return time + ahead * work * meanSlowness_ / slotsOf(backend) + distanceMs(backend.distance);
}

bool AnswerTimeModel::isAsGoodAsAny(const Backend &backend, TimePoint now) const
{
    const bool isQuick = slownessNow(backend, now) <= UsualSlowness && now >= backend.warmAt;
    return isQuick && !isNearlyFull(backend) && backend.failureStreak == 0 && backend.distance == Distance::SameZone;
}

} // namespace Cloverbarrow
