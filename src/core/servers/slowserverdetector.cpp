/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/slowserverdetector.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// Larger than the usual effect of noisy neighbours (up to five times) on a request of usual work, which ends before other entry VMs could use a report.
constexpr int SlowFactor = 6;
// Requests of a kind differ in their work by up to this factor.
constexpr int UsualFactor = 2;
// Ticks are 30 ms apart. A process that was paused for longer measures its own pause.
constexpr Duration MaxTickGap = milliseconds(300);

} // namespace

Duration SlowServerDetector::slowAfter(Duration expected, Duration objective)
{
    // Callers lose nothing at a server that still meets their objective.
    return std::max(SlowFactor * expected, objective);
}

bool SlowServerDetector::isUsual(Duration latency, Duration expected)
{
    return latency <= UsualFactor * expected;
}

void SlowServerDetector::tick(TimePoint now)
{
    if (now - lastTick_ > MaxTickGap) {
        resumedAt_ = now;
    }
    lastTick_ = now;
}

void SlowServerDetector::recordUsualResponse(std::string_view server, TimePoint sentAt)
{
    if (sentAt >= usualSentAt_) {
        usualServer_ = server;
        usualSentAt_ = sentAt;
    }
}

bool SlowServerDetector::isConclusive(TimePoint now, std::string_view server, TimePoint startedAt) const
{
    const bool isPaused = now - lastTick_ > MaxTickGap || startedAt < resumedAt_;
    return !isPaused && usualSentAt_ > startedAt && usualServer_ != server;
}

bool SlowServerDetector::takeReport(TimePoint now)
{
    return reports_.take(now);
}

} // namespace Cloverbarrow
