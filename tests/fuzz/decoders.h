/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstddef>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

// Decoders of what other processes send, by their origin. They are fed with arbitrary bytes by the fuzzers and with the corpus by the tests.

namespace Cloverbarrow::Tests
{

/// Thrown when a decoder accepts its input and a property of the result does not hold.
class BrokenProperty : public std::logic_error
{
    using std::logic_error::logic_error;
};

inline void require(bool holds, const std::string &property)
{
    if (!holds) {
        throw BrokenProperty(property);
    }
}

/// Requires that @p duration can be added to times and other durations.
inline void requireUsable(Duration duration)
{
    constexpr Duration Highest = std::chrono::hours(24 * 365 * 1000);
    require(duration >= -Highest && duration <= Highest, "a duration is beyond what times can be compared with");
}

using Decoder = void (*)(std::string_view input);

/// Calls the decoder that the first byte of @p input selects ('a' for the first one) with the bytes after it.
inline void decodeWith(std::span<const Decoder> decoders, std::string_view input)
{
    if (!input.empty()) {
        const auto selected = static_cast<std::size_t>(static_cast<unsigned char>(input.front() - 'a')) % decoders.size();
        decoders[selected](input.substr(1));
    }
}

/// Answers of the store. @throws BrokenProperty, as the functions below.
void decodeStoreAnswer(std::string_view input);
/// Messages of other entry VMs.
void decodePeerMessage(std::string_view input);
/// Requests of callers and the headers in them.
void decodeCallerBytes(std::string_view input);
/// Settings, configurations and records.
void decodeDocument(std::string_view input);

} // namespace Cloverbarrow::Tests
