/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"

// The part of ServiceShard for servers that are many times slower than usual or lose responses.

namespace Cloverbarrow
{

bool ServiceShard::sharesSlowServers() const
{
    return service_->sharesSlowServers && probesBeforeChoice();
}

void ServiceShard::recordSpeed(TimePoint now, Attempt &attempt, const AttemptEnded &event, ServiceActions &actions)
{
    if (!sharesSlowServers()) {
        return;
    }
    const AttemptQuality quality = qualityOf(attempt, event.outcome);
    if (quality == AttemptQuality::Good && SlowServerDetector::isUsual(now - attempt.startedAt, attempt.expectedTime)) {
        slowServers_.recordUsualResponse(attempt.backend, attempt.startedAt);
        if (const auto overridden = chooser_.hints().recordUsualResponse(now, attempt.backend)) {
            actions.emplace_back(SlowServerHintOverridden{
                attempt.backend, now - overridden->report.observedAt, now - attempt.startedAt, chooser_.hints().count(), event.request, event.attempt});
        }
    } else if (quality == AttemptQuality::Good) {
        reportIfSlow(now, attempt, requests_.at(event.request), actions);
    } else if (quality == AttemptQuality::Failed && std::holds_alternative<LostAnswer>(event.outcome)) {
        reportSlowServer(now, attempt, requests_.at(event.request), SlowServerCause::LostResponse, actions);
    }
}

void ServiceShard::findSlowServers(TimePoint now, ServiceActions &actions)
{
    slowServers_.tick(now);
    updateHints(now, actions);
    if (!sharesSlowServers()) {
        return;
    }
    for (auto &[id, request] : requests_) {
        for (Attempt &attempt : request.running) {
            reportIfSlow(now, attempt, request, actions);
        }
    }
}

void ServiceShard::updateHints(TimePoint now, ServiceActions &actions)
{
    ServerHints &hints = chooser_.hints();
    const bool wasSuspended = hints.isSuspended();
    const std::size_t expired = hints.update(now, pool_.servingCount());
    if (expired > 0 || hints.isSuspended() != wasSuspended) {
        actions.emplace_back(SlowServerHintsUpdated{expired, hints.count(), hints.isSuspended()});
    }
}

Duration ServiceShard::slowAfter(const Attempt &attempt, const Request &request)
{
    return SlowServerDetector::slowAfter(attempt.expectedTime, request.arrival.latencyObjective);
}

void ServiceShard::reportIfSlow(TimePoint now, Attempt &attempt, const Request &request, ServiceActions &actions)
{
    if (!attempt.isForward && now - attempt.startedAt > slowAfter(attempt, request)) {
        reportSlowServer(now, attempt, request, SlowServerCause::Slow, actions);
    }
}

void ServiceShard::reportSlowServer(TimePoint now, Attempt &attempt, const Request &request, SlowServerCause cause, ServiceActions &actions)
{
    // A full server delays or drops requests without being slow, and its load reports show that it is full.
    const bool isFull = attempt.serverAtStart.wasQueued() || attempt.wasServerFull || attempt.reportedDroppedAt;
    const Backend *backend = pool_.find(attempt.backend);
    if (attempt.isReportedSlow || isFull || !backend || !slowServers_.isConclusive(now, attempt.backend, attempt.startedAt)) {
        return;
    }
    const auto *hint = chooser_.hints().find(now, attempt.backend);
    const bool isRecentlyReported = hint && now - hint->report.observedAt < SlowServerReport::RenewInterval;
    if (isRecentlyReported || !slowServers_.takeReport(now)) {
        return;
    }
    attempt.isReportedSlow = true;
    const SlowServerReport report{attempt.backend, cause, now};
    chooser_.hints().apply(now, report);
    actions.emplace_back(SlowServerObserved{report,
                                            request.arrival.request,
                                            attempt.number,
                                            now - attempt.startedAt,
                                            slowAfter(attempt, request),
                                            backend->report,
                                            backend->reportedAt ? now - *backend->reportedAt : Duration(0),
                                            chooser_.hints().count()});
    updateHints(now, actions);
}

void ServiceShard::on(TimePoint now, const SlowServersReported &event, ServiceActions &actions)
{
    if (!sharesSlowServers()) {
        return;
    }
    ServerHints &hints = chooser_.hints();
    for (const SlowServerReport &report : event.reports) {
        // Reports name servers of all services.
        if (pool_.find(report.server) && hints.apply(now, report) == ServerHints::Effect::Added) {
            actions.emplace_back(SlowServerHintAdded{report, now - report.observedAt, hints.find(now, report.server)->until - now, hints.count()});
        }
    }
    updateHints(now, actions);
}

} // namespace Cloverbarrow
