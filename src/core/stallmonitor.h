/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <optional>

namespace Cloverbarrow
{

/// Detects that this process has not run for a while, because it was stopped or got no processor time. Requests may then be older than they seem, and the
/// configuration may have been replaced, so requests wait until the directory has been confirmed or the wait is over.
class StallMonitor
{
public:
    /// A configuration must be in force within 2 s, of which a watch and its relay may need 1.5 s.
    static constexpr Duration MinStall = milliseconds(500);
    /// A confirmation takes two round trips. A caller that has 0.8 s left can wait this long and still be served elsewhere.
    static constexpr Duration MaxConfirmation = milliseconds(200);

    /// The main loop runs. @return length of the stall that has just ended, if there was one.
    std::optional<Duration> tick(TimePoint now);
    /// The source of the directory has confirmed the local state after the last stall.
    void confirmed();
    /// @return whether the local state may be outdated because of a stall. True from the end of the stall, even if the main loop has not run since.
    bool isUnconfirmed(TimePoint now) const;

private:
    std::optional<TimePoint> lastTick_; ///< Nothing before the main loop runs.
    std::optional<TimePoint> unconfirmedUntil_;
};

} // namespace Cloverbarrow
