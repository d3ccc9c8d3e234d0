/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// @return the number if the whole @p text is an integer from 0 to @p highest.
std::optional<int> parseNumber(std::string_view text, int highest);

/// @return the number if the whole @p text is a decimal from 0 to @p highest, without a sign or an exponent.
std::optional<double> parseDecimal(std::string_view text, double highest);

/// @return @p text without leading and trailing spaces and tabs.
std::string_view trimmed(std::string_view text);

/// @return @p text with each byte that is not an unreserved character of RFC 3986 percent-encoded, for a part of a path or a query.
std::string percentEncoded(std::string_view text);

/// @return whether the texts are equal, ignoring the case of ASCII letters.
bool isSameIgnoringCase(std::string_view left, std::string_view right);

} // namespace Cloverbarrow
