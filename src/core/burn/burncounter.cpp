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

constexpr Duration BucketLength = seconds(10);
constexpr auto BucketCount = static_cast<std::size_t>(BurnWindows.back() / BucketLength);

std::int64_t bucketNumber(TimePoint now)
{
    return now.time_since_epoch() / BucketLength;
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
    : buckets_(BucketCount)
{
}

void BurnCounter::add(TimePoint now, bool isAvailable, bool isSlow)
{
    const std::int64_t number = bucketNumber(now);
    Bucket &bucket = buckets_[static_cast<std::size_t>(number) % BucketCount];
    if (bucket.number != number) {
        bucket = {number, 0, 0, 0};
    }
    ++bucket.total;
    bucket.unavailable += isAvailable ? 0 : 1;
    bucket.slow += isAvailable && isSlow ? 1 : 0;
}

BurnCounts BurnCounter::counts(TimePoint now, Duration window) const
{
    const std::int64_t newest = bucketNumber(now);
    const std::int64_t oldest = newest - window / BucketLength;
    BurnCounts counts;
    for (const Bucket &bucket : buckets_) {
        if (bucket.number > oldest && bucket.number <= newest) {
            counts += {bucket.total, bucket.unavailable, bucket.slow};
        }
    }
    return counts;
}

} // namespace Cloverbarrow
