/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/loadreport.h"
#include "core/support/time.h"

#include <deque>
#include <optional>

namespace Cloverbarrow
{

/// Capacity of a service's servers, estimated from recent load reports.
struct Capacity {
    double freeFraction = 1; ///< Fraction of the reports that show free capacity.
    double meanWaiting = 0; ///< Mean number of requests queued at a server.
    int reports = 0; ///< Number of reports.
    Duration newestAge{0}; ///< Age of the newest report.
};

/// Estimates the free capacity of a service from the load reports in answers to probes. Servers are probed at random, so the reports of one entry VM are a
/// sample of the whole service, and all entry VMs estimate about the same without exchanging messages.
class CapacityEstimate
{
public:
    /// Adds a report that answered a probe. Reports in answers to requests must not be added: such a server has just freed a slot, so it appears less
    /// loaded than others.
    void add(TimePoint now, const LoadReport &report, bool hasFreeCapacity);
    /// @return the estimate from recent reports; nothing if there are too few.
    std::optional<Capacity> current(TimePoint now) const;

private:
    struct Sample {
        TimePoint receivedAt;
        bool hasFreeCapacity = true;
        int waiting = 0;
    };

    std::deque<Sample> samples_; ///< Oldest first.
};

} // namespace Cloverbarrow
