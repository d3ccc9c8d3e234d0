/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/burn/burnreport.h"

#include <span>
#include <string>

namespace Cloverbarrow
{

/// @return an SVG bar chart of the burn rates on a logarithmic scale, with one bar for each line and window.
/// @param isComplete whether all entry VMs answered; otherwise the chart is marked as partial.
std::string burnPlot(std::span<const BurnLine> lines, bool isComplete);

} // namespace Cloverbarrow
