/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/extraattemptlimiter.h"

namespace Cloverbarrow
{

void ExtraAttemptLimiter::setWindow(const ExtraAttemptWindow &window)
{
    window_ = window;
}

void ExtraAttemptLimiter::addRequest(TimePoint now)
{
    ++bucketFor(now).requests;
}

bool ExtraAttemptLimiter::allows(TimePoint now, int reserve) const
{
    const std::int64_t current = bucketNumberAt(now);
    int requests = 0;
    int extraAttempts = 0;
    for (const Bucket &bucket : buckets_) {
        // The bucket that lies only partly in the window contributes all its extra attempts but none of its requests, so that the limit holds in any window.
        extraAttempts += bucket.number >= current - BucketCount ? bucket.extraAttempts : 0;
        requests += bucket.number > current - BucketCount ? bucket.requests : 0;
    }
    return extraAttempts + 1 + reserve <= window_.ratio * requests + window_.share;
}

void ExtraAttemptLimiter::addExtraAttempt(TimePoint now)
{
    ++bucketFor(now).extraAttempts;
}

std::int64_t ExtraAttemptLimiter::bucketNumberAt(TimePoint now)
{
    return now.time_since_epoch() / BucketLength;
}

ExtraAttemptLimiter::Bucket &ExtraAttemptLimiter::bucketFor(TimePoint now)
{
    const std::int64_t number = bucketNumberAt(now);
    Bucket &bucket = buckets_[static_cast<std::size_t>(number) % buckets_.size()];
    if (bucket.number != number) {
        bucket = {number, 0, 0};
    }
    return bucket;
}

} // namespace Cloverbarrow
