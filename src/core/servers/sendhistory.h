/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <optional>
#include <vector>

namespace Cloverbarrow
{

/// The most recent requests that this entry VM sent to one server.
class SendHistory
{
public:
    void recordStart(TimePoint now);
    /// @param startedAt when the request that has ended, with any outcome, was sent.
    void recordEnd(TimePoint now, TimePoint startedAt);
    /// @return number of requests that may have arrived at the server in the @p window before @p now, or may still arrive.
    int countIn(TimePoint now, Duration window) const;
    /// @return when countIn() falls below @p count if no more requests are sent and those in flight end now; nothing if @p count is 0.
    std::optional<TimePoint> dropsBelowAt(TimePoint now, int count, Duration window) const;

    /// @return when the last request was sent; the epoch if none was.
    TimePoint lastStart() const;

private:
    struct Send {
        TimePoint startedAt;
        std::optional<TimePoint> endedAt;
    };

    /// @return the latest time at which @p send may have arrived at the server.
    static TimePoint latestArrival(TimePoint now, const Send &send);

    std::vector<Send> sends_; ///< Ordered by start. Most servers of a large service get no requests of this entry VM; an empty deque takes 600 bytes.
};

} // namespace Cloverbarrow
