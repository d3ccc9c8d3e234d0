/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/stallmonitor.h"

#include <utility>

namespace Cloverbarrow
{

std::optional<Duration> StallMonitor::tick(TimePoint now)
{
    const auto last = std::exchange(lastTick_, now);
    if (!last || now - *last < MinStall) {
        return std::nullopt;
    }
    unconfirmedUntil_ = now + MaxConfirmation;
    return now - *last;
}

void StallMonitor::confirmed()
{
    unconfirmedUntil_.reset();
}

bool StallMonitor::isUnconfirmed(TimePoint now) const
{
    const bool isStalled = lastTick_ && now - *lastTick_ >= MinStall;
    return isStalled || (unconfirmedUntil_ && now < *unconfirmedUntil_);
}

} // namespace Cloverbarrow
