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

/// Seeded pseudorandom numbers that are the same on every platform for the same seed.
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

    /// @return a number in [0, @p bound); @p bound must be at least 1.
    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(engine_() % bound);
    }

    /// @return a number in [0, 1).
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
