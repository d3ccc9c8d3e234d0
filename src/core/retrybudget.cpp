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
// Allows a short burst after quiet times; small against any real traffic.
constexpr double MaxTokens = 10;
constexpr double HundredPercent = 100;
} // namespace

void RetryBudget::setPercent(int percent)
{
    perAttempt_ = percent / HundredPercent;
}

void RetryBudget::addFirstAttempt()
{
    tokens_ = std::min(MaxTokens, tokens_ + perAttempt_);
}

bool RetryBudget::take()
{
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace Cloverbarrow
