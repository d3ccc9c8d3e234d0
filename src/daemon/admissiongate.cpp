/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/admissiongate.h"

#include "core/support/httpstatus.h"

#include <array>
#include <numeric>
#include <utility>

namespace Cloverbarrow
{

namespace
{

struct RefusalText {
    const char *label; ///< Of the counter.
    const char *detail;
};

/// Indexed by AdmissionRefusalCause.
constexpr std::array RefusalTexts = {
    RefusalText{"too_many_requests", "this entry VM is starting and holds as many requests as it may"},
    RefusalText{"too_many_bytes", "this entry VM is starting and holds as many bytes of requests as it may"},
    RefusalText{"not_in_time", "this entry VM is starting and will probably not be ready in time"},
    RefusalText{"expired", "this entry VM has not become ready in time"},
    RefusalText{"stopping", "this entry VM is shutting down"},
};

std::size_t sizeOf(const HttpRequest &request)
{
    const auto add = [](std::size_t sum, const Header &header) { return sum + header.name.size() + header.value.size(); };
    return std::accumulate(request.headers.begin(), request.headers.end(), request.target.size() + request.body.size(), add);
}

} // namespace

AdmissionGate::AdmissionGate(const AdmissionQueueLimits &limits, TimePoint startedAt, std::uint64_t seed, Telemetry &telemetry, Callbacks callbacks)
    : telemetry_(telemetry)
    , callbacks_(std::move(callbacks))
    , queue_(limits, startedAt, seed)
{
}

bool AdmissionGate::accept(TimePoint now,
                         const std::shared_ptr<CallerConnection> &connection,
                         HttpRequest &request,
                         const std::string &callerId,
                         const std::optional<Duration> &timeLeft)
{
    std::unique_lock lock(mutex_);
    const std::uint64_t id = ++lastId_;
    const AdmissionDecision decision = queue_.offer(now, {id, sizeOf(request), timeLeft});
    if (const auto *held = std::get_if<AdmissionHeld>(&decision)) {
        telemetry_.startupRequest("held");
        log_.heldAtStart(callerId, held->maxWait, queue_.size(), request.target);
        held_.emplace(id, Held{connection, std::move(request), callerId, now});
        return true;
    }
    lock.unlock();
    if (const auto *refused = std::get_if<AdmissionRefused>(&decision)) {
        refuse(connection, request, *refused, Duration(0));
        return true;
    }
    return false;
}

void AdmissionGate::tick(TimePoint now)
{
    if (isOpen_) {
        return;
    }
    dropDisconnected(now);
    std::vector<Refusal> refusals;
    {
        const std::lock_guard lock(mutex_);
        refusals = takeRefused(queue_.expire(now));
    }
    refuseAll(now, refusals);
}

void AdmissionGate::open(TimePoint now)
{
    if (isOpen_.exchange(true)) {
        return;
    }
    std::vector<Held> released;
    {
        const std::lock_guard lock(mutex_);
        for (const AdmissionReleased &item : queue_.release()) {
            released.push_back(std::move(held_.extract(item.id).mapped()));
        }
    }
    for (Held &held : released) {
        if (held.connection->isGone()) {
            telemetry_.startupRequest("caller_gone");
            log_.callerGone(held.callerId, now - held.arrivedAt);
            continue;
        }
        telemetry_.startupRequest("released");
        log_.releasedAtStart(held.callerId, now - held.arrivedAt);
        callbacks_.serve(held.connection, std::move(held.request), held.arrivedAt);
    }
}

void AdmissionGate::stop(TimePoint now)
{
    std::vector<Refusal> refusals;
    {
        const std::lock_guard lock(mutex_);
        refusals = takeRefused(queue_.stop(now));
    }
    refuseAll(now, refusals);
}

std::size_t AdmissionGate::size() const
{
    const std::lock_guard lock(mutex_);
    return queue_.size();
}

std::vector<AdmissionGate::Refusal> AdmissionGate::takeRefused(std::span<const AdmissionRefused> refused)
{
    std::vector<Refusal> refusals;
    for (const AdmissionRefused &decision : refused) {
        refusals.push_back({std::move(held_.extract(decision.id).mapped()), decision});
    }
    return refusals;
}

void AdmissionGate::refuseAll(TimePoint now, std::span<const Refusal> refusals)
{
    for (const Refusal &refusal : refusals) {
        refuse(refusal.held.connection, refusal.held.request, refusal.decision, now - refusal.held.arrivedAt);
    }
}

void AdmissionGate::refuse(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, const AdmissionRefused &decision, Duration waited)
{
    const auto &[label, detail] = RefusalTexts.at(static_cast<std::size_t>(decision.cause));
    telemetry_.startupRequest(label);
    std::string text = detail;
    if (waited > Duration(0)) {
        text += ", held for " + std::to_string(std::chrono::duration_cast<milliseconds>(waited).count()) + " ms";
    }
    callbacks_.refuse(
        connection, request, {HttpStatus::ServiceUnavailable, ExecutionStatus::NotExecuted, "admit", "entry VM", std::move(text), decision.retryAfter});
}

void AdmissionGate::dropDisconnected(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(held_, [this, now](const auto &item) {
        const auto &[id, held] = item;
        if (!held.connection->isGone()) {
            return false;
        }
        telemetry_.startupRequest("caller_gone");
        log_.callerGone(held.callerId, now - held.arrivedAt);
        queue_.remove(id);
        return true;
    });
}

} // namespace Cloverbarrow
