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

/// Token bucket rate limiter with an average rate and a burst size. The bucket is initially full.
/// Not thread-safe.
class TokenBucket
{
public:
    /// @param perSecond average rate. @param burst capacity of the bucket in tokens.
    TokenBucket(double perSecond, double burst)
        : perSecond_(perSecond)
        , burst_(burst)
        , tokens_(burst)
    {
    }

    /// Changes the limits; accumulated tokens are kept, up to the new burst size.
    void setRate(double perSecond, double burst)
    {
        perSecond_ = perSecond;
        burst_ = burst;
    }

    /// Takes one token if at least @p reserve tokens remain afterwards. @return whether a token was taken.
    bool take(TimePoint now, double reserve = 0)
    {
        if (!isAvailable(now, reserve)) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

    /// @return whether take() would take a token.
    bool isAvailable(TimePoint now, double reserve = 0)
    {
        const double passed = std::chrono::duration<double>(now - refilledAt_).count();
        refilledAt_ = now;
        tokens_ = std::min(burst_, tokens_ + passed * perSecond_);
        return tokens_ >= 1 + reserve;
    }

private:
    double perSecond_;
    double burst_;
    double tokens_;
    TimePoint refilledAt_;
};

} // namespace Cloverbarrow
