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

// Syntax of header lines in HTTP/1.1 (RFC 9110 and 9112), the same in requests and answers.

/// @return whether @p text is a token, such as a method or the name of a header.
bool isToken(std::string_view text);
/// @return whether @p text has no control characters that the value of a header must not have.
bool isHeaderValue(std::string_view text);
/// @return whether @p text consists of decimal digits.
bool isDecimal(std::string_view text);
/// @return the length in the value of a Content-Length header; nothing if it is not decimal or too large.
std::optional<std::size_t> contentLength(std::string_view value);
/// @return @p text with ASCII letters in lower case.
std::string lowered(std::string_view text);

} // namespace Cloverbarrow
