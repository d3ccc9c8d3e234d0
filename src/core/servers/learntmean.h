/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <algorithm>

namespace Cloverbarrow
{

/// A mean that starts from a guess, follows the first samples quickly and later ones over a sliding window.
class LearntMean
{
public:
    /// @param guess counts like @p guessWeight samples. @param window samples over which the mean slides.
    constexpr LearntMean(double guess, double guessWeight, double window)
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

    /// Lets what was learnt fade: moves by @p part of the way to @p target.
    void fade(double target, double part)
    {
        value_ += (target - value_) * part;
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
