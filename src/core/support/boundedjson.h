/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// JSON text of other processes. Its depth and size are bounded before any value is built: copying, comparing and writing a JSON value recurses for each
// level of nesting, and a value takes many times the memory of its text.

namespace Cloverbarrow
{

/// Objects and arrays within each other. Valid messages have less than ten levels.
constexpr std::size_t MaxJsonDepth = 64;
/// Values in one text, with members and elements. A configuration of 10,000 routes has half of it.
constexpr std::size_t MaxJsonValues = 250'000;

/// @return whether @p text exceeds neither bound. It need not be JSON otherwise.
bool isWithinJsonBounds(std::string_view text);
/// @throws std::exception if @p text is not JSON, exceeds one of the bounds or contains a number that a double cannot represent.
nlohmann::json parseBoundedJson(std::string_view text);

/// Part of a JSON object whose value has not been parsed.
struct JsonMember {
    std::string name;
    std::string_view value;
};

/// Splits the text of an object without parsing the values, so that an invalid value does not make the other ones unreadable.
/// @return views of @p object, in order. @throws std::exception if it is not an object whose brackets and quotes match, or has too many members.
std::vector<JsonMember> splitJsonObject(std::string_view object);
/// Splits the text of an array like splitJsonObject().
std::vector<std::string_view> splitJsonArray(std::string_view array);
/// @return the value of the last member called @p name. @throws std::invalid_argument if there is none.
std::string_view memberNamed(std::span<const JsonMember> members, std::string_view name);
/// @return the value of the last member called @p name; null if there is none.
const std::string_view *findMember(std::span<const JsonMember> members, std::string_view name);

} // namespace Cloverbarrow
