/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace Cloverbarrow
{

/// @return a hash of @p parts that is the same in every process and release (FNV-1a with a finalizer).
constexpr std::uint64_t stableHash(std::initializer_list<std::string_view> parts)
{
    constexpr std::uint64_t Offset = 14695981039346656037ULL;
    constexpr std::uint64_t Prime = 1099511628211ULL;
    std::uint64_t hash = Offset;
    for (const std::string_view part : parts) {
        for (const char character : part) {
            hash = (hash ^ static_cast<unsigned char>(character)) * Prime;
        }
        // Terminates each part, so that ("ab", "c") and ("a", "bc") differ.
        hash = (hash ^ 0xffU) * Prime;
    }
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace Cloverbarrow
