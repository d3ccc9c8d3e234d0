/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/logratelimiter.h"

#include <utility>

namespace Cloverbarrow
{

LogRateLimiter::LogRateLimiter(double perSecond, double burst)
    : lines_(perSecond, burst)
{
}

bool LogRateLimiter::take(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const bool isWithin = lines_.take(now);
    droppedLines_ += isWithin ? 0 : 1;
    return isWithin;
}

std::uint64_t LogRateLimiter::takeDroppedCount()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(droppedLines_, 0);
}

} // namespace Cloverbarrow
