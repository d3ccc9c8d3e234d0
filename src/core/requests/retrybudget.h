/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/extraattemptlimiter.h"
#include "core/support/time.h"

#include <optional>

namespace Cloverbarrow
{

/// Token bucket that limits retries to a percentage of first attempts, plus a small initial number.
class RetryBudget
{
public:
    /// @param percent retries per hundred first attempts.
    void setPercent(int percent);
    /// @param burst maximum number of retries that may accumulate. @param atStart retries that are available initially; ignored after the
    /// first attempt.
    void setBurst(int burst, int atStart);
    /// @param window additional limit over a sliding window; nothing for none.
    void setWindow(const std::optional<ExtraAttemptWindow> &window);
    void addFirstAttempt(TimePoint now);
    /// @param reserve retries that must remain afterwards. @return whether a retry is within the budget.
    bool isAvailable(TimePoint now, int reserve) const;
    /// Takes a retry from the budget. @param reserve retries that must remain afterwards. @return whether the retry is within the budget.
    bool take(TimePoint now, int reserve = 0);

private:
    double tokensPerAttempt_ = 0.1;
    double burst_ = 10; ///< Allows a short burst after a period without failures; small compared with usual traffic.
    double tokens_ = 3;
    bool isUsed_ = false;
    bool hasWindow_ = false;
    ExtraAttemptLimiter windowLimiter_;
};

} // namespace Cloverbarrow
