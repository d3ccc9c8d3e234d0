/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/repeatfence.h"
#include "core/support/time.h"

#include <optional>

namespace Cloverbarrow
{

/// Bounds retries to a share of first attempts, plus a small start.
class RetryBudget
{
public:
    /// @param percent retries for each hundred first attempts.
    void setPercent(int percent);
    /// @param burst most retries that quiet times save up. @param atStart retries that may be made at once; counts only
    /// before the first use.
    void setBurst(int burst, int atStart);
    /// @param window bounds retries over a sliding window too; nothing: it does not.
    void setWindow(const std::optional<RepeatWindow> &window);
    /// Counts a first attempt.
    void addFirstAttempt(TimePoint now);
    /// @param reserve retries that must be left afterwards. @return whether a retry might be made.
    bool has(TimePoint now, int reserve) const;
    /// @param reserve as above. @return whether a retry may be made; it is counted if so.
    bool take(TimePoint now, int reserve = 0);

private:
    double perAttempt_ = 0.1;
    double burst_ = 10; ///< Allows a short burst after quiet times; small against any real traffic.
    double tokens_ = 3;
    bool isUsed_ = false;
    bool isFenced_ = false;
    RepeatFence fence_;
};

} // namespace Cloverbarrow
