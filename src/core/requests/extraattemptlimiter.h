/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <array>
#include <cstdint>

namespace Cloverbarrow
{

/// Share of this entry VM in a budget for extra attempts (retries and hedges) over a sliding window.
struct ExtraAttemptWindow {
    double ratio = 0; ///< Extra attempts for each request in the window.
    double share = 0; ///< Extra attempts on top of that in any window.

    bool operator==(const ExtraAttemptWindow &) const = default;
};

/// Counts the requests and extra attempts of the last window, so that this entry VM never exceeds its share of the budget in any window.
class ExtraAttemptLimiter
{
public:
    void setWindow(const ExtraAttemptWindow &window);
    void addRequest(TimePoint now);
    /// @param reserve extra attempts that must remain afterwards. @return whether one more extra attempt is within the budget.
    bool allows(TimePoint now, int reserve) const;
    void addExtraAttempt(TimePoint now);

private:
    // The budget counts over ten seconds (`retry_window_s`). Buckets of one second are precise enough, given the margin that is
    // subtracted from the ratio.
    static constexpr int BucketCount = 10;
    static constexpr Duration BucketLength = seconds(1);

    struct Bucket {
        std::int64_t number = -1;
        int requests = 0;
        int extraAttempts = 0;
    };

    static std::int64_t bucketNumberAt(TimePoint now);
    Bucket &bucketFor(TimePoint now);

    ExtraAttemptWindow window_;
    std::array<Bucket, BucketCount + 1> buckets_; ///< Indexed by bucket number modulo their count; the oldest lies only partly in the window.
};

} // namespace Cloverbarrow
