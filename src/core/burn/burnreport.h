/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/burn/burncounter.h"
#include "core/intent/configuration.h"

#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Cloverbarrow
{

/// Urgency of a burn rate. Each level requires a high rate in two windows, so that one bad minute does not raise an alert.
enum class BurnAlert {
    None,
    Ticket, ///< At this rate the error budget is used up within days.
    Page, ///< At this rate the error budget is used up within hours.
};

std::string_view toString(BurnAlert alert);

/// The service level indicator of an objective that a line reports on.
enum class BurnIndicator {
    Availability,
    Latency,
};

std::string_view toString(BurnIndicator indicator);

/// Burn rates of one indicator: by which factor its error budget is used up faster than allowed.
struct BurnLine {
    std::string service;
    std::string kind;
    BurnIndicator indicator = BurnIndicator::Availability;
    double objectivePercent = 0;
    std::array<double, BurnWindows.size()> rates{}; ///< One rate per element of BurnWindows.
    std::int64_t requests = 0; ///< Number of requests in the longest window.
    BurnAlert alert = BurnAlert::None;
};

/// Counts of one service and kind, one element per element of BurnWindows.
using WindowCounts = std::array<BurnCounts, BurnWindows.size()>;

/// Counts by service and kind, summed over all entry VMs.
using FleetBurnCounts = std::map<std::pair<std::string, std::string>, WindowCounts>;

/// @return one line per indicator of each objective in @p configuration.
std::vector<BurnLine> burnLines(const Configuration &configuration, const FleetBurnCounts &counts);

} // namespace Cloverbarrow
