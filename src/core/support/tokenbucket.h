/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <algorithm>

namespace Cloverbarrow
{

/// Bounds how often something is done: so many a second in the mean, and a burst that quiet times save up. Begins full.
/// Not thread-safe.
class TokenBucket
{
public:
    /// @param perSecond in the mean. @param burst most at once.
    TokenBucket(double perSecond, double burst)
        : perSecond_(perSecond)
        , burst_(burst)
        , tokens_(burst)
    {
    }

    /// For what comes from now on; what was saved up stays, up to the burst.
    void setRate(double perSecond, double burst)
    {
        perSecond_ = perSecond;
        burst_ = burst;
    }

    /// @param reserve that is left for others. @return whether it may be done now; it is counted if so.
    bool take(TimePoint now, double reserve = 0)
    {
        const double passed = std::chrono::duration<double>(now - refilledAt_).count();
        refilledAt_ = now;
        tokens_ = std::min(burst_, tokens_ + passed * perSecond_);
        if (tokens_ < 1 + reserve) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double perSecond_;
    double burst_;
    double tokens_;
    TimePoint refilledAt_;
};

} // namespace Cloverbarrow
