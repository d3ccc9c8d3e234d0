/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <optional>
#include <string_view>

namespace Cloverbarrow
{

/// @return the number in @p text, which must be all of it and from 0 to @p highest.
std::optional<int> parseNumber(std::string_view text, int highest);

/// @return the decimal number in @p text, which must be all of it, without a sign or an exponent, and from 0 to @p highest.
std::optional<double> parseDecimal(std::string_view text, double highest);

/// @return @p text without blanks and tabs at its ends.
std::string_view trimmed(std::string_view text);

/// @return whether the texts are equal but for the case of ASCII letters.
bool isSameIgnoringCase(std::string_view left, std::string_view right);

} // namespace Cloverbarrow
