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
// Servers tell their slowness anew many times a second; a report loses half of its worth in this time (neighbours that
// change every 150 ms, as users measured).
constexpr double SlownessLastsMs = 75;
// A slow server is quick again after some such time: the rest of its period, and another one when it stays slow.
constexpr double SpeedChangesInMs = 2 * SlownessLastsMs;
constexpr double ReportWindow = 50; // reports
// A server that tells of more is wrong, or so slow that it says nothing of the others; the mean leaves it out.
constexpr double LargestSlowness = 100;
// With more of the slots in use that are worth it, a server whose report is not fresh has as a rule no room: in a burst of 2.2 times
// 11 in 100 requests sent by reports of up to a second found all slots taken, and 19 in 100 a slow server.
constexpr double CrowdedUse = 0.75;
// Before anything was seen, work is taken as this part of the latency objective, as where objectives leave room for slow servers.
constexpr double WorkPartOfObjective = 0.35;
constexpr double WorkWindow = 20; // answers
// Told slowness is believed as told until answers say otherwise.
constexpr double HoldsGuessWeight = 2; // answers
constexpr double HoldsWindow = 20; // answers
// A report this old tells what the request met: few servers have begun another one or changed their speed since.
constexpr Duration SureFor = milliseconds(10);
// Slowness that an answer can tell about.
constexpr double MuchSlowness = 2;
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

StartState startStateOf(const Backend &backend, TimePoint now)
{
    StartState state;
    state.others = heldBy(backend) - 1;
    state.slots = slotsOf(backend);
    state.slowness = backend.report ? backend.report->slowness : 1;
    if (backend.reportedAt) {
        state.reportAge = now - *backend.reportedAt;
    }
    return state;
}

AnswerTimeModel::AnswerTimeModel()
    : meanSlowness_(1, 1, ReportWindow)
    , meanUse_(0, 1, ReportWindow)
    , slownessHolds_(1, HoldsGuessWeight, HoldsWindow)
{
}

void AnswerTimeModel::answered(Duration objective, Duration latency, const StartState &start)
{
    if (!start.reportAge || *start.reportAge > SureFor || start.hadToWait()) {
        return;
    }
    const double time = toMilliseconds(latency) / sharing_.factor(start.others, start.slots);
    if (start.slowness >= MuchSlowness) {
        const double holds = (time / workMs(objective) - 1) / (start.slowness - 1);
        slownessHolds_.add(std::clamp(holds, 0.0, 1.0));
        return;
    }
    if (start.slowness > UsualSlowness) {
        return;
    }
    if (SharingCost::isAlone(start.others, start.slots)) {
        const auto entry = workMs_.try_emplace(objective, WorkPartOfObjective * toMilliseconds(objective), 1, WorkWindow).first;
        entry->second.add(time);
    }
    sharing_.answered(start.others, start.slots, toMilliseconds(latency) / workMs(objective));
}

void AnswerTimeModel::told(const LoadReport &report)
{
    if (report.slowness <= LargestSlowness) {
        meanSlowness_.add(report.slowness);
    }
    if (report.slots > 0) {
        const double use = static_cast<double>(report.running + report.waiting) / sharing_.bestUse(report.slots);
        meanUse_.add(std::min(1.0, use));
    }
}

bool AnswerTimeModel::isCrowded() const
{
    return meanUse_.value() > CrowdedUse;
}

double AnswerTimeModel::workMs(Duration objective) const
{
    const auto found = workMs_.find(objective);
    return found == workMs_.end() ? WorkPartOfObjective * toMilliseconds(objective) : found->second.value();
}

double AnswerTimeModel::slownessNow(const Backend &backend, TimePoint now) const
{
    const double mean = meanSlowness_.value();
    if (!backend.report || !backend.reportedAt) {
        return mean;
    }
    const double age = toMilliseconds(now - *backend.reportedAt);
    return mean + (backend.report->slowness - mean) * std::exp2(-age / SlownessLastsMs);
}

double AnswerTimeModel::expectedMs(const Backend &backend, Duration objective, TimePoint now) const
{
    const double work = workMs(objective);
    const int slots = slotsOf(backend);
    const int held = heldBy(backend);
    double time = work * (1 + slownessHolds_.value() * (slownessNow(backend, now) - 1));
    time *= sharing_.factor(std::min(held, slots - 1), slots);
    if (now < backend.warmAt) {
        time *= ColdFactor;
    }
    time *= std::pow(FailureFactor, failuresInForce(backend, now));
    const int ahead = std::max(0, held + 1 - slots);
    return time + ahead * work * meanSlowness_.value() / slots + distanceMs(backend.distance);
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
    return held < sharing_.bestUse(slots);
}

bool AnswerTimeModel::isBetterLeftFree(const Backend &backend, Duration objective, TimePoint now) const
{
    const double lost = workMs(objective) * slownessHolds_.value() * (slownessNow(backend, now) - meanSlowness_.value());
    return lost > SpeedChangesInMs;
}

bool AnswerTimeModel::isAsGoodAsAny(const Backend &backend, TimePoint now) const
{
    const bool isQuick = slownessNow(backend, now) <= UsualSlowness && now >= backend.warmAt;
    return isQuick && hasRoomToSpare(backend) && failuresInForce(backend, now) == 0 && backend.distance == Distance::SameZone;
}

} // namespace Cloverbarrow
