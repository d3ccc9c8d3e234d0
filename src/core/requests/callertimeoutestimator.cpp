/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/callertimeoutestimator.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// Callers of one request kind usually share a timeout. When they change it, the old value is dropped after one to two periods.
constexpr Duration Period = seconds(30);

} // namespace

Duration CallerTimeoutEstimator::priorWait(TimePoint now, Duration objective, Duration timeLeft)
{
    PeriodMaximum &longest = maxTimeLeft_[objective];
    if (now - longest.periodStart >= Period) {
        longest.previous = now - longest.periodStart < 2 * Period ? longest.current : Duration(0);
        longest.current = Duration(0);
        longest.periodStart = now;
    }
    longest.current = std::max(longest.current, timeLeft);
    return std::max(longest.current, longest.previous) - timeLeft;
}

} // namespace Cloverbarrow
