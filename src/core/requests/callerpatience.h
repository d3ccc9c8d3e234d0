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

/// Learns how long callers wait in all, from the time that their requests say is left. A request with less left has
/// been tried before, and its caller has waited for the difference.
class CallerPatience
{
public:
    /// @param objective of the request; requests with the same one are taken as alike. @param timeLeft as the caller says.
    /// @return how long the caller had waited when this request came.
    Duration waitedBefore(TimePoint now, Duration objective, Duration timeLeft);

private:
    struct Longest {
        TimePoint since; ///< Begin of the present period.
        Duration present{0};
        Duration before{0}; ///< Of the period before.
    };

    std::map<Duration, Longest> longest_; ///< By latency objective.
};

} // namespace Cloverbarrow
