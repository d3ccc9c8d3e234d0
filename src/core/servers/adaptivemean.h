/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <algorithm>

namespace Cloverbarrow
{

/// A moving average that starts from a guess: the first samples have a large weight, later ones the weight of the window length.
class AdaptiveMean
{
public:
    /// @param guess initial value, weighted like @p guessWeight samples. @param window number of samples over which the mean is taken.
    constexpr AdaptiveMean(double guess, double guessWeight, double window)
        : value_(guess)
        , weight_(guessWeight)
        , window_(window)
    {
    }

    void add(double sample)
    {
        weight_ = std::min(weight_ + 1, window_);
        value_ += (sample - value_) / weight_;
    }

    /// Moves the mean towards @p target by @p fraction of the difference.
    void decayTowards(double target, double fraction)
    {
        value_ += (target - value_) * fraction;
    }

    double value() const
    {
        return value_;
    }

private:
    double value_;
    double weight_;
    double window_;
};

} // namespace Cloverbarrow
