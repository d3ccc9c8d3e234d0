/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <utility>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::json;

template<typename Integer>
bool isInRange(const Json &value)
{
    if (value.is_number_unsigned()) {
        return std::in_range<Integer>(value.get<std::uint64_t>());
    }
    if (value.is_number_integer()) {
        return std::in_range<Integer>(value.get<std::int64_t>());
    }
    // A double represents the lowest number that is too large, but not all of the highest ones of the type.
    constexpr Integer HalfEnd = std::numeric_limits<Integer>::max() / 2 + 1;
    constexpr double End = 2 * static_cast<double>(HalfEnd);
    const auto number = value.get<double>();
    return number >= static_cast<double>(std::numeric_limits<Integer>::min()) && number < End;
}

} // namespace

template<typename Integer>
Integer integerFrom(const Json &value)
{
    if (!value.is_number() || !isInRange<Integer>(value)) {
        throw std::out_of_range(std::string("not a number of the expected range in JSON text, but a ") + value.type_name());
    }
    return value.get<Integer>();
}

template int integerFrom<int>(const Json &value);
template std::int64_t integerFrom<std::int64_t>(const Json &value);
template std::uint64_t integerFrom<std::uint64_t>(const Json &value);

Duration durationFrom(const Json &value)
{
    const Duration duration(integerFrom<Duration::rep>(value));
    if (duration < -MaxJsonDuration || duration > MaxJsonDuration) {
        throw std::out_of_range("a duration of " + std::to_string(duration.count()) + " us in JSON text");
    }
    return duration;
}

std::vector<int> integersFrom(const Json &array)
{
    if (!array.is_array()) {
        throw std::invalid_argument(std::string("not an array in JSON text, but a ") + array.type_name());
    }
    std::vector<int> integers;
    for (const Json &value : array) {
        integers.push_back(integerFrom<int>(value));
    }
    return integers;
}

} // namespace Cloverbarrow
