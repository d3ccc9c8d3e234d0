/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/burn/burncounter.h"

namespace Cloverbarrow
{

namespace
{

constexpr Duration StepLength = seconds(10);
constexpr auto StepCount = static_cast<std::size_t>(BurnWindows.back() / StepLength);

std::int64_t stepNumber(TimePoint now)
{
    return now.time_since_epoch() / StepLength;
}

} // namespace

BurnCounts &BurnCounts::operator+=(const BurnCounts &other)
{
    total += other.total;
    unavailable += other.unavailable;
    slow += other.slow;
    return *this;
}

BurnCounter::BurnCounter()
    : steps_(StepCount)
{
}

void BurnCounter::add(TimePoint now, bool isAvailable, bool isSlow)
{
    const std::int64_t number = stepNumber(now);
    Step &step = steps_[static_cast<std::size_t>(number) % StepCount];
    if (step.number != number) {
        step = {number, 0, 0, 0};
    }
    ++step.total;
    step.unavailable += isAvailable ? 0 : 1;
    step.slow += isAvailable && isSlow ? 1 : 0;
}

BurnCounts BurnCounter::counts(TimePoint now, Duration window) const
{
    const std::int64_t newest = stepNumber(now);
    const std::int64_t oldest = newest - window / StepLength;
    BurnCounts counts;
    for (const Step &step : steps_) {
        if (step.number > oldest && step.number <= newest) {
            counts += {step.total, step.unavailable, step.slow};
        }
    }
    return counts;
}

} // namespace Cloverbarrow
