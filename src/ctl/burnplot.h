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

/// @return an SVG picture of the burn rates: a bar for each line and window, on a logarithmic scale.
std::string burnPlot(std::span<const BurnLine> lines, bool isWhole);

} // namespace Cloverbarrow
