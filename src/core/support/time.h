/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <chrono>

namespace Cloverbarrow
{

/// Tag type of the boot-time clock. It has no now(), since the core receives the time with each event.
struct BootClock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<BootClock, duration>;
};

/// Duration in microseconds.
using Duration = BootClock::duration;

/// Point in time on the boot-time clock of one entry VM; values of different entry VMs are not comparable.
using TimePoint = BootClock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return @p duration in fractional milliseconds.
constexpr double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace Cloverbarrow
