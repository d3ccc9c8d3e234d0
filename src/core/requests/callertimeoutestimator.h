/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <map>

namespace Cloverbarrow
{

/// Estimates the total timeout of callers from the remaining time that their requests state. A request that states less
/// than the estimate is assumed to be a client retry whose caller has already waited for the difference.
class CallerTimeoutEstimator
{
public:
    /// @param objective latency objective of the request; requests with the same one are assumed to have the same timeout.
    /// @param timeLeft time until the caller's deadline, as the request states it.
    /// @return how long the caller had waited when this request arrived.
    Duration priorWait(TimePoint now, Duration objective, Duration timeLeft);

private:
    struct PeriodMaximum {
        TimePoint periodStart; ///< Start of the current period.
        Duration current{0}; ///< Longest time left in the current period.
        Duration previous{0}; ///< Longest time left in the previous period.
    };

    std::map<Duration, PeriodMaximum> maxTimeLeft_; ///< By latency objective.
};

} // namespace Cloverbarrow
