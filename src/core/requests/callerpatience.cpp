/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/callerpatience.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// Callers of one request kind usually share a timeout. When they change it, the old value is dropped after one to two periods.
constexpr Duration Period = seconds(30);

} // namespace

Duration CallerPatience::waitedBefore(TimePoint now, Duration objective, Duration timeLeft)
{
    Longest &longest = longest_[objective];
    if (now - longest.since >= Period) {
        longest.before = now - longest.since < 2 * Period ? longest.present : Duration(0);
        longest.present = Duration(0);
        longest.since = now;
    }
    longest.present = std::max(longest.present, timeLeft);
    return std::max(longest.present, longest.before) - timeLeft;
}

} // namespace Cloverbarrow
