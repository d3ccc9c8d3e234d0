/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/retrybudget.h"

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

void RetryBudget::addFirstAttempt()
{
    isUsed_ = true;
    tokens_ = std::min(burst_, tokens_ + perAttempt_);
}

bool RetryBudget::has(int reserve) const
{
    return tokens_ >= 1 + reserve;
}

bool RetryBudget::take(int reserve)
{
    if (!has(reserve)) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace Cloverbarrow
