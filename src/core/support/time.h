/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <chrono>

namespace Cloverbarrow
{

/// Tag of the boot-time clock. It has no now(): the core is told the time with each event.
struct BootClock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<BootClock, duration>;
};

/// Span of time in microseconds.
using Duration = BootClock::duration;

/// Instant on the boot-time clock of one entry VM; never compared between entry VMs.
using TimePoint = BootClock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return @p duration in milliseconds, with fractions.
constexpr double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace Cloverbarrow
