/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/headersyntax.h"

#include <algorithm>
#include <charconv>

namespace Cloverbarrow
{

namespace
{

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isTokenCharacter(char character)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return isDigit(character) || isLetter || Others.find(character) != std::string_view::npos;
}

bool isValueCharacter(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code == '\t' || (code >= ' ' && code != 0x7f);
}

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isHeaderValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isValueCharacter);
}

bool isDecimal(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isDigit);
}

std::optional<std::size_t> contentLength(std::string_view value)
{
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
    return isDecimal(value) && error == std::errc() ? std::optional(length) : std::nullopt;
}

std::string lowered(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) {
        return static_cast<char>(character >= 'A' && character <= 'Z' ? character + ('a' - 'A') : character);
    });
    return result;
}

} // namespace Cloverbarrow
