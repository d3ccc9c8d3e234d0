/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/overloadpolicy.h"
#include "core/requests/serviceshard.h"
#include "core/support/httpstatus.h"

#include <algorithm>
#include <array>
#include <cstdio>

// The part of ServiceShard that refuses requests on arrival while capacity is scarce.

namespace Cloverbarrow
{

namespace
{

// With a smaller fraction of free servers, requests with long objectives are held no longer than others, since a longer hold wins nearly every slot that
// becomes free: of short work with an objective of 0.4 s next to long work with one of 3 s, 0.61 and 0.99 were in time.
constexpr double ScarceFreeFraction = 0.25;
// The use of a quota fluctuates with the few requests that it counts; up to this multiple a workspace counts as sending its usual load.
constexpr double UsualRelativeUse = 1.5;

} // namespace

bool ServiceShard::sharesScarceCapacity() const
{
    return service_->sharesScarceCapacity && probesBeforeChoice();
}

void ServiceShard::recordCapacity(TimePoint now, const std::string &backend)
{
    const Backend *server = pool_.find(backend);
    if (sharesScarceCapacity() && server && server->report) {
        capacity_.add(now, *server->report, chooser_.model().hasFreeCapacity(*server));
        admission_.adapt(now, capacity_.current(now));
    }
}

std::optional<Problem> ServiceShard::scarcityProblem(TimePoint now, const RequestArrived &arrival, ServiceActions &actions)
{
    if (!sharesScarceCapacity()) {
        return std::nullopt;
    }
    const double workMs = chooser_.model().unloadedLatencyMs(arrival.latencyObjective);
    if (!canFinishInTime(arrival.deadline - now, workMs)) {
        return Problem{HttpStatus::ServiceUnavailable,
                       ExecutionStatus::NotExecuted,
                       "share capacity",
                       name_,
                       "no server can answer before the deadline",
                       std::nullopt,
                       false,
                       RefusalCause::NoTime};
    }
    const auto capacity = capacity_.current(now);
    workspaceUsage_.count(arrival.workspace, arrival.quotaUse, admission_.isShortage(now));
    const AdmissionRank rank = rankOf(now, arrival, workMs);
    admission_.countArrival(now, rank, arrival.latencyObjective, workMs);
    if (!capacity || admission_.admits(rank, random_.uniform())) {
        return std::nullopt;
    }
    // Refused requests probe as well, so that the end of the shortage is noticed.
    Choice choice;
    for (const std::size_t index : chooser_.nextRound(now, pool_, ServerFilter{}, choice, random_)) {
        const BackendServer &server = pool_.backends()[index].server;
        actions.emplace_back(StartProbe{0, server.name, server.address, service_->choiceProbes.path, arrival.request});
    }
    const RefusalCause cause = rank.isExcess ? RefusalCause::QuotaUse : rank.isLate ? RefusalCause::Late : RefusalCause::Capacity;
    return Problem{HttpStatus::ServiceUnavailable,
                   ExecutionStatus::NotExecuted,
                   "share capacity",
                   name_,
                   scarcityDetail(arrival, rank, *capacity),
                   retryAfterScarcity(now, arrival),
                   false,
                   cause};
}

AdmissionRank ServiceShard::rankOf(TimePoint now, const RequestArrived &arrival, double workMs)
{
    const Duration objectiveLeft = arrival.arrivedAt - arrival.priorWait + arrival.latencyObjective - now;
    const double relativeUse = workspaceUsage_.relativeUse(arrival.workspace, arrival.quotaUse);
    AdmissionRank rank;
    rank.priority = arrival.priority;
    rank.isLate = isTooLate(objectiveLeft, workMs);
    // A workspace that sends five times its usual load keeps the usual part: one in five of its requests ranks with those of the others.
    rank.isExcess = relativeUse > UsualRelativeUse && random_.uniform() * relativeUse > 1;
    rank.isNew = !hasReturned(arrival.priorWait);
    return rank;
}

Duration ServiceShard::holdTime(TimePoint now, const Request &request) const
{
    const auto capacity = sharesScarceCapacity() ? capacity_.current(now) : std::nullopt;
    const bool isScarce = capacity && capacity->freeFraction < ScarceFreeFraction;
    return maxQueueTime(isScarce ? std::min(admission_.shortestObjective(), request.arrival.latencyObjective) : request.arrival.latencyObjective);
}

std::optional<Duration> ServiceShard::retryAfterScarcity(TimePoint now, const RequestArrived &arrival)
{
    ReturnInputs inputs;
    inputs.objective = arrival.latencyObjective;
    inputs.timeLeft = arrival.callerTimeLeft > Duration(0) ? arrival.arrivedAt + arrival.callerTimeLeft - now : arrival.deadline - now;
    inputs.unloadedLatencyMs = chooser_.model().unloadedLatencyMs(arrival.latencyObjective);
    inputs.admittedFraction = admission_.admittedFraction();
    return Cloverbarrow::retryAfterScarcity(inputs, random_.uniform());
}

std::string ServiceShard::scarcityDetail(const RequestArrived &arrival, const AdmissionRank &rank, const Capacity &capacity) const
{
    std::array<char, 320> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "capacity is scarce: %.2f of the work is admitted; %d reports, the newest %.0f ms old, %.2f with free capacity, %.1f waiting; priority %d, "
                  "%s, quota use %.2f, %.1f times the usual%s, waited %.0f ms",
                  admission_.admittedFraction(),
                  capacity.reports,
                  toMilliseconds(capacity.newestAge),
                  capacity.freeFraction,
                  capacity.meanWaiting,
                  rank.priority,
                  rank.isLate ? "late" : "in time",
                  arrival.quotaUse,
                  workspaceUsage_.relativeUse(arrival.workspace, arrival.quotaUse),
                  rank.isExcess ? " (excess)" : "",
                  toMilliseconds(arrival.priorWait));
    return text.data();
}

} // namespace Cloverbarrow
