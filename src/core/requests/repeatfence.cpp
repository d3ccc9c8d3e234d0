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
    int extraAttempts = 0;
    for (const Step &bucket : steps_) {
        // Of the bucket that lies only partly in the window, all extra attempts count and no requests.
        extraAttempts += bucket.number >= current - Steps ? bucket.repeats : 0;
        requests += bucket.number > current - Steps ? bucket.requests : 0;
    }
    return extraAttempts + 1 + reserve <= window_.ratio * requests + window_.share;
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
    Step &bucket = steps_[static_cast<std::size_t>(number) % steps_.size()];
    if (bucket.number != number) {
        bucket = {number, 0, 0};
    }
    return bucket;
}

} // namespace Cloverbarrow
