/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "simulatedzone.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr Duration Window = seconds(4);
constexpr double Overage = 1.5;
constexpr double Slack = 5;
// Time within which all entry VMs must enforce a limit that a server has announced.
constexpr Duration PropagationLimit = seconds(3);
// Time within which the entry VMs of a zone have received their ranks.
constexpr Duration StartTime = seconds(8);

/// The limits that a server has announced, over time.
class AnnouncedLimits
{
public:
    void announce(TimePoint now, const std::optional<double> &perSecond)
    {
        changes_.push_back({now, perSecond});
    }

    /// @return the number of requests that may arrive in the window up to @p end; infinity if no limit was in force for a part of it.
    double allowedUpTo(TimePoint end) const
    {
        double requests = Slack;
        for (std::size_t index = 0; index < changes_.size(); ++index) {
            const TimePoint from = std::max(changes_[index].at, end - Window);
            const TimePoint until = index + 1 < changes_.size() ? std::min(changes_[index + 1].at, end) : end;
            if (from < until) {
                const auto perSecond = changes_[index].perSecond;
                requests += perSecond ? Overage * *perSecond * std::chrono::duration<double>(until - from).count() : std::numeric_limits<double>::infinity();
            }
        }
        return changes_.empty() || changes_.front().at > end - Window ? std::numeric_limits<double>::infinity() : requests;
    }

private:
    struct Change {
        TimePoint at;
        std::optional<double> perSecond;
    };

    std::vector<Change> changes_;
};

/// @return whether no window has more arrivals than the limits allow. @param isCounted whether an arrival counts.
template<typename IsCounted>
bool areLimitsKept(const SimulatedZone &zone, const AnnouncedLimits &limits, IsCounted isCounted)
{
    std::vector<TimePoint> times;
    for (const Arrival &arrival : zone.arrivals()) {
        if (isCounted(arrival)) {
            times.push_back(arrival.at);
        }
    }
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= Window) {
            ++first;
        }
        if (static_cast<double>(last - first + 1) > limits.allowedUpTo(times[last])) {
            return false;
        }
    }
    return true;
}

/// Applies one random failure or its end to the zone.
void applyRandomEvent(SimulatedZone &zone, int entryVms)
{
    const auto index = static_cast<std::size_t>(*rc::gen::inRange(0, entryVms));
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        zone.restart(index);
        break;
    case 1:
        zone.changeRelay(index);
        break;
    case 2:
        zone.setDisconnected(index, true);
        break;
    default:
        zone.setDisconnected(index, false);
        break;
    }
}

} // namespace

TEST_CASE("A server with a request limit gets no more requests from all entry VMs than the limit allows, whatever happens to the fleet",
          "[property][limit][fleet]")
{
    CHECK(rc::check("with entry VMs that restart, are disconnected and become the relay", [] {
        const int entryVms = *rc::gen::element(1, 3, 6, 14, 30, 95, 200, 400);
        const bool probesAnnounceLimit = *rc::gen::arbitrary<bool>();
        const Duration responseTime = milliseconds(*rc::gen::element(0, 100, 400));
        SimulatedZone zone(entryVms, FleetBudgets{}, {0, responseTime, probesAnnounceLimit}, *rc::gen::arbitrary<std::uint64_t>());
        zone.advance(StartTime);
        AnnouncedLimits limits;
        const double perSecond = *rc::gen::element(0.0, 0.2, 0.5, 1.0, 2.7, 10.0);
        zone.announceLimit(perSecond);
        limits.announce(zone.now(), perSecond);
        const TimePoint enforcedFrom = zone.now() + PropagationLimit;
        zone.advance(PropagationLimit + milliseconds(100));
        const int eventCount = *rc::gen::inRange(0, 8);
        for (int count = 0; count < eventCount; ++count) {
            applyRandomEvent(zone, entryVms);
            zone.advance(milliseconds(*rc::gen::inRange(10, 3000)));
        }
        zone.advance(Window);
        RC_ASSERT(areLimitsKept(zone, limits, [enforcedFrom](const Arrival &arrival) { return arrival.at >= enforcedFrom; }));
    }));
}

TEST_CASE("Entry VMs that have received a changed request limit enforce it", "[property][limit][fleet]")
{
    CHECK(rc::check("when it decreases, increases, ends and returns", [] {
        const int entryVms = *rc::gen::element(1, 3, 6, 14, 30, 95);
        const bool probesAnnounceLimit = *rc::gen::arbitrary<bool>();
        SimulatedZone zone(entryVms, FleetBudgets{}, {0, milliseconds(100), probesAnnounceLimit}, *rc::gen::arbitrary<std::uint64_t>());
        zone.advance(StartTime);
        AnnouncedLimits limits;
        const int changes = *rc::gen::inRange(1, 8);
        for (int count = 0; count < changes; ++count) {
            const bool isNone = count > 0 && *rc::gen::inRange(0, 4) == 0;
            const auto limit = isNone ? std::optional<double>() : std::optional(*rc::gen::element(0.0, 0.5, 1.0, 2.7, 5.0));
            zone.announceLimit(limit);
            limits.announce(zone.now(), limit);
            zone.advance(milliseconds(*rc::gen::element(100, 300, 1000, 4000)));
        }
        zone.advance(Window);
        RC_ASSERT(areLimitsKept(zone, limits, [](const Arrival &arrival) { return arrival.isLimitKnown; }));
    }));
}

TEST_CASE("All entry VMs of a zone soon receive a new request limit, and its end", "[property][limit][fleet]")
{
    CHECK(rc::check("whether answers to probes announce it or not", [] {
        const int entryVms = *rc::gen::element(1, 6, 30, 95, 400);
        SimulatedZone zone(entryVms, FleetBudgets{}, {0, milliseconds(100), *rc::gen::arbitrary<bool>()}, *rc::gen::arbitrary<std::uint64_t>());
        zone.advance(StartTime);
        zone.announceLimit(2.0);
        zone.advance(PropagationLimit);
        RC_ASSERT(zone.entryVmsWithLimit() == entryVms);
        zone.announceLimit(std::nullopt);
        zone.advance(PropagationLimit);
        RC_ASSERT(zone.entryVmsWithLimit() == 0);
    }));
}

TEST_CASE("A server with a request limit is used at 0.7 of the allowed rate or more while nothing fails", "[property][limit][fleet]")
{
    CHECK(rc::check("whatever the number of entry VMs", [] {
        const double perSecond = *rc::gen::element(0.5, 1.0, 2.7, 10.0);
        SimulatedZone zone(*rc::gen::element(1, 3, 6, 14, 30, 95, 200), FleetBudgets{}, {0, milliseconds(100), false}, *rc::gen::arbitrary<std::uint64_t>());
        zone.advance(StartTime);
        zone.announceLimit(perSecond);
        zone.advance(2 * Window);
        const std::size_t before = zone.arrivals().size();
        constexpr int Windows = 5;
        zone.advance(Windows * Window);
        // The quota is at least 0.8 of the limit.
        RC_ASSERT(static_cast<double>(zone.arrivals().size() - before) >= 0.7 * perSecond * Windows * 4);
    }));
}

TEST_CASE("The end of a request limit is detected although the entry VMs with a share of it have no requests", "[property][limit][fleet]")
{
    CHECK(rc::check("or have stopped", [] {
        const int entryVms = *rc::gen::element(6, 30, 95);
        SimulatedZone zone(entryVms, FleetBudgets{}, {0, milliseconds(100), false}, *rc::gen::arbitrary<std::uint64_t>());
        zone.advance(StartTime);
        const double perSecond = *rc::gen::element(0.0, 1.0, 2.7);
        zone.announceLimit(perSecond);
        AnnouncedLimits limits;
        limits.announce(zone.now(), perSecond);
        const TimePoint enforcedFrom = zone.now() + PropagationLimit;
        zone.advance(PropagationLimit + milliseconds(100));
        zone.stopSenders();
        zone.advance(seconds(20));
        RC_ASSERT(areLimitsKept(zone, limits, [enforcedFrom](const Arrival &arrival) { return arrival.at >= enforcedFrom; }));
        zone.announceLimit(std::nullopt);
        zone.advance(seconds(20));
        RC_ASSERT(zone.entryVmsWithLimit() == 0);
    }));
}

TEST_CASE("The end of a request limit is soon received although the entry VMs with a share of it were replaced", "[property][limit][fleet]")
{
    CHECK(rc::check("by entry VMs with other addresses", [] {
        // At its minimum the ranks of the former entry VMs have been released, and the entry VMs that have got their shares may use them.
        const Duration takeoverTime = milliseconds(*rc::gen::inRange(10'000, 25'000));
        const int entryVms = *rc::gen::element(3, 6, 14, 30, 95);
        SimulatedZone zone(entryVms, FleetBudgets{}, {0, milliseconds(100), false}, *rc::gen::arbitrary<std::uint64_t>());
        zone.advance(StartTime);
        constexpr double PerSecond = 2;
        zone.announceLimit(PerSecond);
        AnnouncedLimits limits;
        limits.announce(zone.now(), PerSecond);
        const TimePoint enforcedFrom = zone.now() + PropagationLimit;
        zone.advance(PropagationLimit + milliseconds(100));
        zone.replaceSenders();
        if (*rc::gen::arbitrary<bool>()) {
            zone.advance(milliseconds(*rc::gen::inRange(0, 3000)));
            zone.changeRelay(static_cast<std::size_t>(*rc::gen::inRange(0, entryVms)));
        }
        zone.advance(takeoverTime);
        RC_ASSERT(areLimitsKept(zone, limits, [enforcedFrom](const Arrival &arrival) { return arrival.at >= enforcedFrom; }));
        zone.announceLimit(std::nullopt);
        zone.advance(PropagationLimit);
        RC_ASSERT(zone.entryVmsWithLimit() == 0);
    }));
}
