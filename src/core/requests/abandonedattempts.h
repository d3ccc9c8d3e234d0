/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/serviceevents.h"
#include "core/support/time.h"

#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// An attempt in flight whose request is over: its caller has gone, or another attempt was answered.
struct AbandonedAttempt {
    RequestId request = 0;
    int number = 1;
    std::string backend;
    std::string address;
    TimePoint startedAt;
};

/// Attempts in flight whose requests are over. Each is kept until a rejection by its server would have arrived, and is cancelled then.
class AbandonedAttempts
{
public:
    /// @return whether a rejection of an attempt that was started at @p startedAt may still be on its way.
    static bool mayBeRejected(TimePoint now, TimePoint startedAt);

    void add(AbandonedAttempt attempt);
    /// Removes an attempt that has ended. @return it, or nothing if it is not kept.
    std::optional<AbandonedAttempt> take(RequestId request, int number);
    /// Removes the attempts that are to be cancelled now. @return these.
    std::vector<AbandonedAttempt> takeDue(TimePoint now);

private:
    std::vector<AbandonedAttempt> attempts_;
};

} // namespace Cloverbarrow
