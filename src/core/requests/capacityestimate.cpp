/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/capacityestimate.h"

#include <algorithm>
#include <cstddef>

namespace Cloverbarrow
{

namespace
{

// An entry VM with two requests a second for a service receives about five reports in this time; the load of a whole service changes over seconds.
constexpr Duration MaxReportAge = milliseconds(800);
// The probes of one choice; fewer reports say too little about the service.
constexpr int MinReports = 3;
// Bounds memory and work; at 40 probes a second, 32 reports are received within the maximum age.
constexpr std::size_t MaxReports = 32;

} // namespace

void CapacityEstimate::add(TimePoint now, const LoadReport &report, bool hasFreeCapacity)
{
    if (samples_.size() >= MaxReports) {
        samples_.pop_front();
    }
    samples_.push_back({now, hasFreeCapacity, std::max(0, report.waiting)});
}

std::optional<Capacity> CapacityEstimate::current(TimePoint now) const
{
    Capacity sum;
    sum.freeFraction = 0;
    for (const Sample &sample : samples_) {
        if (now - sample.receivedAt > MaxReportAge) {
            continue;
        }
        ++sum.reports;
        sum.newestAge = now - sample.receivedAt;
        sum.freeFraction += sample.hasFreeCapacity ? 1 : 0;
        sum.meanWaiting += sample.waiting;
    }
    if (sum.reports < MinReports) {
        return std::nullopt;
    }
    sum.freeFraction /= sum.reports;
    sum.meanWaiting /= sum.reports;
    return sum;
}

} // namespace Cloverbarrow
