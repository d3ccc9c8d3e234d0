/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace Cloverbarrow
{

/// Seeded random numbers, the same on every machine for the same seed.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    std::uint64_t next()
    {
        return engine_();
    }

    /// @return a number from 0 up to, but without, @p bound; @p bound is at least 1.
    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(engine_() % bound);
    }

    /// @return a number from 0 up to, but without, 1.
    double uniform()
    {
        constexpr int Shift = 11;
        constexpr double Scale = 0x1.0p-53;
        return static_cast<double>(engine_() >> Shift) * Scale;
    }

private:
    std::mt19937_64 engine_;
};

} // namespace Cloverbarrow
