/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/retrybudget.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{
constexpr double HundredPercent = 100;
} // namespace

void RetryBudget::setPercent(int percent)
{
    tokensPerAttempt_ = percent / HundredPercent;
}

void RetryBudget::setBurst(int burst, int atStart)
{
    burst_ = burst;
    tokens_ = isUsed_ ? std::min(tokens_, burst_) : atStart;
}

void RetryBudget::setWindow(const std::optional<ExtraAttemptWindow> &window)
{
    hasWindow_ = window.has_value();
    windowLimiter_.setWindow(window.value_or(ExtraAttemptWindow{}));
}

void RetryBudget::addFirstAttempt(TimePoint now)
{
    windowLimiter_.addRequest(now);
    isUsed_ = true;
    tokens_ = std::min(burst_, tokens_ + tokensPerAttempt_);
}

bool RetryBudget::isAvailable(TimePoint now, int reserve) const
{
    return tokens_ >= 1 + reserve && (!hasWindow_ || windowLimiter_.allows(now, reserve));
}

bool RetryBudget::take(TimePoint now, int reserve)
{
    if (!isAvailable(now, reserve)) {
        return false;
    }
    tokens_ -= 1;
    windowLimiter_.addExtraAttempt(now);
    return true;
}

} // namespace Cloverbarrow
