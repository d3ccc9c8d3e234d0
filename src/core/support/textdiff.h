/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// @return the lines that differ, each with "-" (only before) or "+" (only after) in front, in order; empty when
/// the texts are equal.
std::string diffLines(std::string_view before, std::string_view after);

} // namespace Cloverbarrow
