/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/answertime.h"

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
// Some servers slow all their requests down when the last slot is used (by 1.7 on one of the users' sheets) and some
// do not. Above this factor a server of three slots does more with two of them.
constexpr double LastSlotWorthFactor = 1.2;
constexpr double CrowdingWeight = 0.02;
// A slot that is no longer used teaches nothing more; its factor fades, so that it is tried again at times.
constexpr double CrowdingFade = 0.0005;
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

Crowding crowdingAt(int held, int slots)
{
    const int free = slots - held;
    if (free > 1) {
        return Crowding::HadRoom;
    }
    return free == 1 ? Crowding::TookLastSlot : Crowding::HadToWait;
}

Crowding crowdingOf(const Backend &backend)
{
    return crowdingAt(heldBy(backend), slotsOf(backend));
}

void AnswerTimeModel::answered(Duration objective, Duration latency, Crowding crowding)
{
    const double sample = toMilliseconds(latency);
    const auto [entry, isNew] = meanLatencyMs_.try_emplace(objective, sample);
    const double relative = sample / entry->second;
    if (!isNew) {
        entry->second += LatencyWeight * (sample - entry->second);
    }
    if (crowding == Crowding::HadRoom) {
        relativeWithRoom_ += CrowdingWeight * (relative - relativeWithRoom_);
        relativeOnLastSlot_ += CrowdingFade * (relativeWithRoom_ - relativeOnLastSlot_);
    } else if (crowding == Crowding::TookLastSlot) {
        relativeOnLastSlot_ += CrowdingWeight * (relative - relativeOnLastSlot_);
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
    if (crowdingOf(backend) != Crowding::HadRoom) {
        time *= lastSlotFactor();
    }
    if (now < backend.warmAt) {
        time *= ColdFactor;
    }
    time *= std::pow(FailureFactor, backend.failureStreak);
    const int ahead = std::max(0, heldBy(backend) + 1 - slotsOf(backend));
    return time + ahead * work * meanSlowness_ / slotsOf(backend) + distanceMs(backend.distance);
}

double AnswerTimeModel::lastSlotFactor() const
{
    return std::max(1.0, relativeOnLastSlot_ / relativeWithRoom_);
}

bool AnswerTimeModel::hasRoom(const Backend &backend) const
{
    return hasRoomAt(heldBy(backend), slotsOf(backend));
}

bool AnswerTimeModel::hasRoomToSpare(const Backend &backend) const
{
    const int held = heldBy(backend);
    return held == 0 || hasRoomAt(held + 1, slotsOf(backend));
}

bool AnswerTimeModel::hasRoomAt(int held, int slots) const
{
    const Crowding crowding = crowdingAt(held, slots);
    const bool isLastSlotGood = lastSlotFactor() < LastSlotWorthFactor || slots == 1;
    return crowding == Crowding::HadRoom || (crowding == Crowding::TookLastSlot && isLastSlotGood);
}

bool AnswerTimeModel::isAsGoodAsAny(const Backend &backend, TimePoint now) const
{
    const bool isQuick = slownessNow(backend, now) <= UsualSlowness && now >= backend.warmAt;
    return isQuick && crowdingOf(backend) == Crowding::HadRoom && backend.failureStreak == 0 && backend.distance == Distance::SameZone;
}

} // namespace Cloverbarrow
