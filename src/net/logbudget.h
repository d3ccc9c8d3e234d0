/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "core/support/tokenbucket.h"

#include <cstdint>
#include <mutex>

namespace Cloverbarrow
{

/// Bounds the lines of one part of the program.
class LogBudget
{
public:
    /// @param perSecond most lines a second, in the mean. @param burst most at once.
    LogBudget(double perSecond, double burst);

    /// @return whether a line may be logged; it is counted either way.
    bool take(TimePoint now);
    /// @return lines left out since the last call of this function.
    std::uint64_t takeLeftOut();

private:
    std::mutex mutex_;
    TokenBucket lines_;
    std::uint64_t leftOut_ = 0;
};

} // namespace Cloverbarrow
