/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/text.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Cloverbarrow
{

std::optional<int> parseNumber(std::string_view text, int highest)
{
    int value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    if (!isWhole || value < 0 || value > highest) {
        return std::nullopt;
    }
    return value;
}

std::optional<double> parseDecimal(std::string_view text, double highest)
{
    const auto isAllowed = [](char character) { return character == '.' || (character >= '0' && character <= '9'); };
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    // std::from_chars also accepts "inf", "nan" and a minus sign.
    if (!isWhole || !std::all_of(text.begin(), text.end(), isAllowed) || value > highest) {
        return std::nullopt;
    }
    return value;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr std::string_view UnreservedMarks = "-._~";
    constexpr unsigned Base = 16;
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || UnreservedMarks.find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            encoded += {'%', Digits[byte / Base], Digits[byte % Base]};
        }
    }
    return encoded;
}

bool isSameIgnoringCase(std::string_view left, std::string_view right)
{
    const auto lower = [](unsigned char character) { return std::tolower(character); };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [&lower](char a, char b) { return lower(a) == lower(b); });
}

} // namespace Cloverbarrow
