/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/retryafter.h"
#include "core/requests/serviceshard.h"
#include "core/support/httpstatus.h"

#include <algorithm>
#include <utility>

// The part of ServiceShard that handles the end of the process: requests that cannot finish before it, and those that are not sent when it comes.

namespace Cloverbarrow
{

namespace
{

constexpr const char *ShuttingDown = "this entry VM is shutting down";
// An attempt may take longer than all recent ones, by this part of the longest.
constexpr int LongerByPart = 4;

std::string millisecondText(Duration duration)
{
    return std::to_string(std::chrono::floor<milliseconds>(duration).count()) + " ms";
}

} // namespace

void ServiceShard::on(TimePoint now, const ExitScheduled &event, ServiceActions &actions)
{
    exitAt_ = std::min(exitAt_.value_or(event.at), event.at);
    refuseUnfinishable(now, actions);
}

std::optional<Duration> ServiceShard::requiredTime(TimePoint now, const RequestArrived &arrival) const
{
    const auto longest = longestResponses_.longest(now, arrival.latencyObjective);
    return longest ? std::optional(*longest + *longest / LongerByPart) : std::nullopt;
}

bool ServiceShard::canFinishBeforeExit(TimePoint now, const RequestArrived &arrival) const
{
    // A request has ended at its deadline.
    if (!exitAt_ || arrival.deadline <= *exitAt_) {
        return true;
    }
    const auto required = requiredTime(now, arrival);
    return required && now + *required <= *exitAt_;
}

std::optional<Problem> ServiceShard::exitProblemOf(TimePoint now, const RequestArrived &arrival) const
{
    if (isExiting_) {
        return exitProblem(ExecutionStatus::NotExecuted, ShuttingDown);
    }
    if (canFinishBeforeExit(now, arrival)) {
        return std::nullopt;
    }
    return exitProblem(ExecutionStatus::NotExecuted, unfinishableDetail(now, arrival));
}

std::string ServiceShard::unfinishableDetail(TimePoint now, const RequestArrived &arrival) const
{
    const auto required = requiredTime(now, arrival);
    return std::string(ShuttingDown) + ": it ends within " + millisecondText(*exitAt_ - now) + ", and such a request may take "
        + (required ? millisecondText(*required) : "until its deadline in " + millisecondText(arrival.deadline - now));
}

void ServiceShard::refuseUnfinishable(TimePoint now, ServiceActions &actions)
{
    if (!exitAt_) {
        return;
    }
    std::erase_if(requests_, [this, now, &actions](const auto &entry) {
        const Request &request = entry.second;
        // What has been sent has the whole time that is left.
        if (!request.running.empty() || isPayout(request) || canFinishBeforeExit(now, request.arrival)) {
            return false;
        }
        const ExecutionStatus status = request.mayHaveExecuted ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted;
        refuse(request, exitProblem(status, unfinishableDetail(now, request.arrival)), actions);
        return true;
    });
}

void ServiceShard::on(TimePoint, const ProcessExiting &, ServiceActions &actions)
{
    isExiting_ = true;
    queuedRequests_.clear();
    for (auto entry = requests_.begin(); entry != requests_.end();) {
        entry->second.choice.reset();
        entry = refuseUnsent(entry->second, actions) ? requests_.erase(entry) : std::next(entry);
    }
}

bool ServiceShard::refuseUnsent(const Request &request, ServiceActions &actions)
{
    // The record of a payout could not be updated any more, and it tells other entry VMs that the payout may have been sent.
    if (!request.running.empty() || isPayout(request)) {
        return false;
    }
    refuse(request, exitProblem(request.mayHaveExecuted ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted, ShuttingDown), actions);
    return true;
}

void ServiceShard::endAborted(RequestId id, int attempt, bool mayHaveExecuted, ServiceActions &actions)
{
    // If the request was sent, the end of the connection tells the caller as much as a refusal would.
    if (!mayHaveExecuted && takeRunning(id, attempt) && refuseUnsent(requests_.at(id), actions)) {
        requests_.erase(id);
    }
}

Problem ServiceShard::exitProblem(ExecutionStatus status, std::string detail) const
{
    return {HttpStatus::ServiceUnavailable, status, "choose backend server", name_, std::move(detail), RetryAfterAtOtherEntryVm, true};
}

} // namespace Cloverbarrow
