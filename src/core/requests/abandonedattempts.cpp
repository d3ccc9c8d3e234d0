/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/abandonedattempts.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// A server rejects a request without executing it, so a rejection arrives within milliseconds, or tens of them under load. If the attempt were cancelled
// before, the backoff that the rejection requests would be lost. This is also how long a server works in vain because of the wait.
constexpr Duration RejectionTime = milliseconds(100);

} // namespace

bool AbandonedAttempts::mayBeRejected(TimePoint now, TimePoint startedAt)
{
    return now - startedAt < RejectionTime;
}

void AbandonedAttempts::add(AbandonedAttempt attempt)
{
    attempts_.push_back(std::move(attempt));
}

std::optional<AbandonedAttempt> AbandonedAttempts::take(RequestId request, int number)
{
    const auto isWanted = [request, number](const AbandonedAttempt &attempt) { return attempt.request == request && attempt.number == number; };
    const auto found = std::find_if(attempts_.begin(), attempts_.end(), isWanted);
    if (found == attempts_.end()) {
        return std::nullopt;
    }
    AbandonedAttempt taken = std::move(*found);
    attempts_.erase(found);
    return taken;
}

std::vector<AbandonedAttempt> AbandonedAttempts::takeDue(TimePoint now)
{
    const auto firstDue =
        std::stable_partition(attempts_.begin(), attempts_.end(), [now](const AbandonedAttempt &attempt) { return mayBeRejected(now, attempt.startedAt); });
    std::vector<AbandonedAttempt> due(std::make_move_iterator(firstDue), std::make_move_iterator(attempts_.end()));
    attempts_.erase(firstDue, attempts_.end());
    return due;
}

} // namespace Cloverbarrow
