/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <deque>
#include <optional>

namespace Cloverbarrow
{

/// Latest requests that this entry VM sent to one server.
class SendHistory
{
public:
    void started(TimePoint now);
    /// @param startedAt of the request that has ended, however it did.
    void ended(TimePoint now, TimePoint startedAt);
    /// @return requests that may have arrived at the server in the @p window before @p now, or may still arrive.
    int countIn(TimePoint now, Duration window) const;
    /// @return when fewer than @p most will be counted, if no more are sent and those under way end now; nothing when @p most is 0.
    std::optional<TimePoint> fewerAt(TimePoint now, int most, Duration window) const;

    /// @return when the last request was sent; long ago when none was.
    TimePoint lastStart() const;

private:
    struct Send {
        TimePoint startedAt;
        std::optional<TimePoint> endedAt;
    };

    /// @return when @p send had arrived at the latest.
    static TimePoint arrivedBy(TimePoint now, const Send &send);

    std::deque<Send> sends_; ///< By start.
};

} // namespace Cloverbarrow
