/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/probeallowance.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{
// What quiet times save up: a burst of this length at the full rate.
constexpr double BurstSeconds = 1;
} // namespace

void ProbeAllowance::setRate(double perSecond)
{
    perSecond_ = perSecond;
}

bool ProbeAllowance::take(TimePoint now)
{
    const double passed = std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = now;
    tokens_ = std::min(perSecond_ * BurstSeconds, tokens_ + passed * perSecond_);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace Cloverbarrow
