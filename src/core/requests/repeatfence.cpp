/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/repeatfence.h"

namespace Cloverbarrow
{

void RepeatFence::setWindow(const RepeatWindow &window)
{
    window_ = window;
}

void RepeatFence::addRequest(TimePoint now)
{
    ++stepFor(now).requests;
}

bool RepeatFence::allows(TimePoint now, int reserve) const
{
    const std::int64_t current = stepAt(now);
    int requests = 0;
    int repeats = 0;
    for (const Step &step : steps_) {
        // Repeats of the step that is only partly in the window count whole, its requests not at all.
        repeats += step.number >= current - Steps ? step.repeats : 0;
        requests += step.number > current - Steps ? step.requests : 0;
    }
    return repeats + 1 + reserve <= window_.ratio * requests + window_.share;
}

void RepeatFence::addRepeat(TimePoint now)
{
    ++stepFor(now).repeats;
}

std::int64_t RepeatFence::stepAt(TimePoint now)
{
    return now.time_since_epoch() / StepTime;
}

RepeatFence::Step &RepeatFence::stepFor(TimePoint now)
{
    const std::int64_t number = stepAt(now);
    Step &step = steps_[static_cast<std::size_t>(number) % steps_.size()];
    if (step.number != number) {
        step = {number, 0, 0};
    }
    return step;
}

} // namespace Cloverbarrow
