/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/silentserverdetector.h"

#include "core/servers/responsetimemodel.h"

#include <algorithm>
#include <iterator>

namespace Cloverbarrow
{

std::vector<AttemptAtServer> SilentServerDetector::droppedAttempts(std::span<const AttemptAtServer> inFlight, const LoadReport &report, TimePoint askedAt)
{
    std::vector<AttemptAtServer> received;
    std::copy_if(inFlight.begin(), inFlight.end(), std::back_inserter(received), [askedAt](const AttemptAtServer &attempt) {
        return attempt.startedAt + ArrivalTime <= askedAt;
    });
    const auto reported = static_cast<std::size_t>(std::max(0, report.running) + std::max(0, report.waiting));
    if (received.size() <= reported) {
        return {};
    }
    std::stable_sort(
        received.begin(), received.end(), [](const AttemptAtServer &left, const AttemptAtServer &right) { return left.startedAt < right.startedAt; });
    received.resize(received.size() - reported);
    return received;
}

void SilentServerDetector::dropConfirmed(TimePoint now)
{
    lastDrop_ = now;
}

bool SilentServerDetector::isActive(TimePoint now) const
{
    return lastDrop_ && now - *lastDrop_ <= StateLifetime;
}

bool isCertainToAccept(const Backend &backend, TimePoint now)
{
    if (!backend.report || !backend.reportedAt || now - *backend.reportedAt > SilentServerDetector::MaxReportAgeForWrites) {
        return false;
    }
    const int outstanding = outstandingRequests(backend);
    return now < backend.warmAt ? outstanding == 0 : outstanding < slotsOf(backend);
}

} // namespace Cloverbarrow
