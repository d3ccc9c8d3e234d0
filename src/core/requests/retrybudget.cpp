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
    perAttempt_ = percent / HundredPercent;
}

void RetryBudget::setBurst(int burst, int atStart)
{
    burst_ = burst;
    tokens_ = isUsed_ ? std::min(tokens_, burst_) : atStart;
}

void RetryBudget::setWindow(const std::optional<RepeatWindow> &window)
{
    isFenced_ = window.has_value();
    fence_.setWindow(window.value_or(RepeatWindow{}));
}

void RetryBudget::addFirstAttempt(TimePoint now)
{
    fence_.addRequest(now);
    isUsed_ = true;
    tokens_ = std::min(burst_, tokens_ + perAttempt_);
}

bool RetryBudget::has(TimePoint now, int reserve) const
{
    return tokens_ >= 1 + reserve && (!isFenced_ || fence_.allows(now, reserve));
}

bool RetryBudget::take(TimePoint now, int reserve)
{
    if (!has(now, reserve)) {
        return false;
    }
    tokens_ -= 1;
    fence_.addRepeat(now);
    return true;
}

} // namespace Cloverbarrow
