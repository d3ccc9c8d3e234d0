/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

// Numbers in JSON text of other processes. The conversions of the library are undefined for numbers out of the range of their type.

namespace Cloverbarrow
{

/// No message has a longer duration. Its sums with times and other durations can be represented.
constexpr Duration MaxJsonDuration = std::chrono::hours(24 * 365 * 100);

/// @return the whole part of the number. @throws std::exception if @p value is not a number or not within the range of the type (int, std::int64_t or
/// std::uint64_t).
template<typename Integer>
Integer integerFrom(const nlohmann::json &value);
/// @return the duration of so many microseconds. @throws std::exception if it is longer than MaxJsonDuration, also below zero.
Duration durationFrom(const nlohmann::json &value);
/// @return integerFrom() of each element. @throws std::exception if @p array is not an array.
std::vector<int> integersFrom(const nlohmann::json &array);

} // namespace Cloverbarrow
