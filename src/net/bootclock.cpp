/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/bootclock.h"

#include <ctime>

namespace Cloverbarrow
{

TimePoint bootNow()
{
    // CLOCK_MONOTONIC stops while a VM is suspended, but leases must keep expiring.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

std::int64_t wallMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace Cloverbarrow
