/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/text.h"
#include "daemon/gateway.h"
#include "net/bootclock.h"

#include <utility>

// Requests that arrive at Gateway before a configuration is in force, or while it is not confirmed after a stall.

namespace Cloverbarrow
{

namespace
{

// A deadline header with another value is reported to the caller once the request is routed.
constexpr int MaxDeadlineMs = 86'400'000;

} // namespace

void Gateway::setStartupLimits(const AdmissionQueueLimits &limits, TimePoint startedAt, std::uint64_t seed)
{
    if (limits.maxRequests == 0) {
        return;
    }
    auto callbacks = admissionCallbacks([this](const char *outcome) { telemetry_.startupRequest(outcome); });
    startup_ = std::make_unique<AdmissionGate>(limits, startedAt, seed, "is starting", std::move(callbacks));
}

void Gateway::enableStallGuard(TimePoint startedAt, std::uint64_t seed)
{
    auto callbacks = admissionCallbacks([this](const char *outcome) { telemetry_.requestAfterStall(outcome); });
    stallGuard_ = std::make_unique<StallGuard>(startedAt, seed, std::move(callbacks));
}

StallGuard *Gateway::stallGuard()
{
    return stallGuard_.get();
}

AdmissionGate::Callbacks Gateway::admissionCallbacks(std::function<void(const char *)> count)
{
    return {[this](const std::shared_ptr<CallerConnection> &connection, HttpRequest request, TimePoint arrivedAt) {
                serve(connection, std::move(request), arrivedAt);
            },
            [this](const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, const Problem &problem) {
                refuseOnArrival(connection, request, 0, problem, nullptr);
            },
            std::move(count)};
}

std::optional<Duration> Gateway::callerTimeLeft(const HttpRequest &request) const
{
    const auto text = findHeader(request.headers, protocol_.deadlineHeader());
    const auto deadlineMs = text ? parseNumber(*text, MaxDeadlineMs) : std::nullopt;
    return deadlineMs ? std::optional<Duration>(milliseconds(*deadlineMs) - request.waited) : std::nullopt;
}

bool Gateway::holdAfterStall(TimePoint now, const std::shared_ptr<CallerConnection> &connection, HttpRequest &request)
{
    return stallGuard_ && stallGuard_->accept(now, connection, request, callerIdOf(request, 0), callerTimeLeft(request));
}

bool Gateway::holdUntilReady(TimePoint now, const std::shared_ptr<CallerConnection> &connection, HttpRequest &request)
{
    if (!startup_) {
        return false;
    }
    return startup_->accept(now, connection, request, callerIdOf(request, 0), callerTimeLeft(request));
}

void Gateway::releaseHeld()
{
    if (startup_ && node_.intent()) {
        startup_->open(bootNow());
    }
}

void Gateway::refuseHeld()
{
    if (startup_) {
        startup_->stop(bootNow());
    }
    if (stallGuard_) {
        stallGuard_->stop(bootNow());
    }
}

std::size_t Gateway::heldRequests() const
{
    return startup_ ? startup_->size() : 0;
}

} // namespace Cloverbarrow
