/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <map>
#include <optional>

namespace Cloverbarrow
{

/// The longest recent times from the start of an attempt until its end, with the time for which it was queued at the server. A mean would say how long
/// requests usually take, not by when one has certainly ended.
class LongestResponses
{
public:
    /// A time is remembered for at least this long, and at most for twice as long.
    static constexpr Duration Window = seconds(60);

    /// Records how long an attempt took, also one that got no answer. @param objective latency objective of the request; requests with the same objective
    /// are assumed to cost the same.
    void record(TimePoint now, Duration objective, Duration time);
    /// @return the longest recent time; nothing if no attempt of such a request has ended recently.
    std::optional<Duration> longest(TimePoint now, Duration objective) const;

private:
    using Times = std::map<Duration, Duration>; ///< Longest time, by objective.

    Times current_; ///< Since windowStart_.
    Times previous_; ///< In the window before.
    TimePoint windowStart_;
};

} // namespace Cloverbarrow
