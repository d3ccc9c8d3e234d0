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

/// How urgent a burn rate is, by rules over two windows each, so that one bad minute wakes nobody.
enum class BurnAlert {
    None,
    Ticket, ///< The budget would be gone in days.
    Page, ///< The budget would be gone in hours.
};

std::string_view toString(BurnAlert alert);

/// Which promise of an objective a line is about.
enum class BurnPromise {
    Availability,
    Latency,
};

std::string_view toString(BurnPromise promise);

/// Burn of one promise: how many times faster than allowed its error budget is used up.
struct BurnLine {
    std::string service;
    std::string kind;
    BurnPromise promise = BurnPromise::Availability;
    double objectivePercent = 0;
    std::array<double, BurnWindows.size()> rates{}; ///< One for each of BurnWindows.
    std::int64_t requests = 0; ///< In the longest window.
    BurnAlert alert = BurnAlert::None;
};

/// Counts of all windows of one service and kind.
using WindowCounts = std::array<BurnCounts, BurnWindows.size()>;

/// Counts by service and kind, summed over entry VMs.
using FleetCounts = std::map<std::pair<std::string, std::string>, WindowCounts>;

/// @return a line for each promise of each objective in @p configuration.
std::vector<BurnLine> burnLines(const Configuration &configuration, const FleetCounts &counts);

} // namespace Cloverbarrow
