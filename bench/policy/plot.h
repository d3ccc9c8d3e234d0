/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <map>
#include <string>
#include <vector>

namespace Cloverbarrow::Bench
{

/// Median of the p99 latencies in milliseconds, by service and policy.
using PlotValues = std::map<std::string, std::map<std::string, double>>;

/// Writes an SVG bar chart with a group of bars for each service.
/// @param policies names of the policies, in the order of their bars.
void writePlot(const std::string &path, const std::vector<std::string> &services, const std::vector<std::string> &policies, const PlotValues &values);

} // namespace Cloverbarrow::Bench
