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
    const char *detail; ///< Follows the state of this entry VM.
};

/// Indexed by AdmissionRefusalCause.
constexpr std::array RefusalTexts = {
    RefusalText{"too_many_requests", " and holds as many requests as it may"},
    RefusalText{"too_many_bytes", " and holds as many bytes of requests as it may"},
    RefusalText{"not_in_time", " and will probably not be ready in time"},
    RefusalText{"expired", " and has not become ready in time"},
    RefusalText{"stopping", " and has been told to stop"},
};

std::size_t sizeOf(const HttpRequest &request)
{
    const auto add = [](std::size_t sum, const Header &header) { return sum + header.name.size() + header.value.size(); };
    return std::accumulate(request.headers.begin(), request.headers.end(), request.target.size() + request.body.size(), add);
}

} // namespace

AdmissionGate::AdmissionGate(const AdmissionQueueLimits &limits, TimePoint startedAt, std::uint64_t seed, std::string state, Callbacks callbacks)
    : state_(std::move(state))
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
        callbacks_.count("held");
        log_.heldAtStart(callerId, held->maxWait, queue_.size(), request.target);
        const TimePoint arrivedAt = now - request.waited;
        held_.emplace(id, Held{connection, std::move(request), callerId, arrivedAt});
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
    if (isOpen_) {
        return;
    }
    std::vector<Held> released;
    {
        const std::lock_guard lock(mutex_);
        isOpen_ = true;
        for (const AdmissionReleased &item : queue_.release()) {
            released.push_back(std::move(held_.extract(item.id).mapped()));
        }
    }
    for (Held &held : released) {
        if (held.connection->isGone()) {
            callbacks_.count("caller_gone");
            log_.callerGone(held.callerId, now - held.arrivedAt);
            held.connection->callerGone();
            continue;
        }
        callbacks_.count("released");
        log_.releasedAtStart(held.callerId, now - held.arrivedAt);
        callbacks_.serve(held.connection, std::move(held.request), held.arrivedAt);
    }
}

void AdmissionGate::close(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (isOpen_) {
        isOpen_ = false;
        queue_.hold(now);
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
    callbacks_.count(label);
    std::string text = "this entry VM " + state_ + detail;
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
        callbacks_.count("caller_gone");
        log_.callerGone(held.callerId, now - held.arrivedAt);
        held.connection->callerGone();
        queue_.remove(id);
        return true;
    });
}

} // namespace Cloverbarrow
