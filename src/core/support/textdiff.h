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

/// @return the differing lines in order, each prefixed with "-" (only in @p before) or "+" (only in @p after); empty if
/// the texts are equal.
std::string diffLines(std::string_view before, std::string_view after);

} // namespace Cloverbarrow
