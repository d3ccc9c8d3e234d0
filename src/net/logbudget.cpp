/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/logbudget.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

LogBudget::LogBudget(double perSecond, double burst)
    : perSecond_(perSecond)
    , burst_(burst)
    , tokens_(burst)
{
}

bool LogBudget::take(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const double passed = std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = now;
    tokens_ = std::min(burst_, tokens_ + passed * perSecond_);
    if (tokens_ < 1) {
        ++leftOut_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

std::uint64_t LogBudget::takeLeftOut()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(leftOut_, 0);
}

} // namespace Cloverbarrow
