/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"

#include <algorithm>
#include <vector>

// The part of ServiceShard for servers that drop requests without an answer when they are full.

namespace Cloverbarrow
{

void ServiceShard::findDroppedAttempts(TimePoint now, const std::string &backend, const LoadReport &report, TimePoint askedAt, ServiceActions &actions)
{
    std::vector<AttemptAtServer> inFlight;
    const bool isFull = report.slots > 0 && report.running >= report.slots;
    for (auto &[id, request] : requests_) {
        for (Attempt &attempt : request.running) {
            if (attempt.backend == backend && !attempt.isForward) {
                attempt.wasServerFull = attempt.wasServerFull || isFull || attempt.serverAtStart.wasQueued();
                inFlight.push_back({id, attempt.number, attempt.startedAt});
            }
        }
    }
    for (const auto &[id, number, startedAt] : SilentServerDetector::droppedAttempts(inFlight, report, askedAt)) {
        auto &running = requests_.at(id).running;
        const auto attempt = std::find_if(running.begin(), running.end(), [wanted = number](const Attempt &item) { return item.number == wanted; });
        // A server with free slots has not dropped the request because it was full. It has executed it and the answer was lost, or it is faulty, which has to
        // count as a failure.
        if (attempt->wasServerFull && !attempt->reportedDroppedAt) {
            attempt->reportedDroppedAt = now;
            actions.emplace_back(ServerDroppedRequest{id, number, backend, report, now - askedAt, now - startedAt, static_cast<int>(inFlight.size())});
        }
    }
}

bool ServiceShard::isDropped(TimePoint now, const Attempt &attempt) const
{
    return attempt.reportedDroppedAt && (silence_.isActive(now) || now - *attempt.reportedDroppedAt >= SilentServerDetector::ConfirmationTime);
}

void ServiceShard::confirmDrops(TimePoint now)
{
    for (const auto &[id, request] : requests_) {
        if (std::any_of(request.running.begin(), request.running.end(), [this, now](const Attempt &attempt) { return isDropped(now, attempt); })) {
            silence_.dropConfirmed(now);
        }
    }
}

void ServiceShard::checkWrite(TimePoint now, Request &request, ServiceActions &actions)
{
    // Its result shows whether the server has dropped the write, so that a time-out counts neither as a failure nor as a crash of the server.
    const bool isAtServer = request.running.size() == 1 && !request.running.front().isForward;
    if (silence_.isActive(now) && isAtServer && kindClass(request) != KindClass::Read) {
        probeSlowServer(now, request, actions);
    }
}

void ServiceShard::reportSilence(TimePoint now, ServiceActions &actions)
{
    if (const bool isActive = silence_.isActive(now); isActive != reportedSilence_) {
        reportedSilence_ = isActive;
        actions.emplace_back(SilentServersChanged{isActive});
    }
}

} // namespace Cloverbarrow
