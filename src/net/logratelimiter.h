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

/// Limits the rate of log lines of one part of the program. Thread-safe.
class LogRateLimiter
{
public:
    /// @param perSecond maximum average of lines per second. @param burst maximum number of lines at once.
    LogRateLimiter(double perSecond, double burst);

    /// @return whether a line may be logged now. If not, it is counted as dropped.
    bool take(TimePoint now);
    /// @return number of lines dropped since the last call of this function.
    std::uint64_t takeDroppedCount();

private:
    std::mutex mutex_;
    TokenBucket lines_;
    std::uint64_t droppedLines_ = 0;
};

} // namespace Cloverbarrow
