/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/stallguard.h"

#include <utility>

namespace Cloverbarrow
{

namespace
{

// What waits in the sockets of one entry VM after some seconds without processor time, several times over.
constexpr int MaxHeldRequests = 256;
constexpr int MaxHeldBytes = 4 * 1024 * 1024;
constexpr Duration ExpectedConfirmation = milliseconds(100);

} // namespace

StallGuard::StallGuard(TimePoint startedAt, std::uint64_t seed, AdmissionGate::Callbacks callbacks)
    : gate_({MaxHeldRequests, MaxHeldBytes, StallMonitor::MaxConfirmation, ExpectedConfirmation},
            startedAt,
            seed,
            "confirms its configuration after a stall",
            std::move(callbacks))
{
    gate_.open(startedAt);
}

std::optional<Duration> StallGuard::tick(TimePoint now)
{
    std::optional<Duration> stall;
    bool isUnconfirmed = false;
    {
        const std::lock_guard lock(mutex_);
        stall = monitor_.tick(now);
        isUnconfirmed = monitor_.isUnconfirmed(now);
    }
    if (!isUnconfirmed) {
        gate_.open(now);
    }
    return stall;
}

void StallGuard::confirmed()
{
    const std::lock_guard lock(mutex_);
    monitor_.confirmed();
}

bool StallGuard::isUnconfirmed(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    return monitor_.isUnconfirmed(now);
}

bool StallGuard::accept(TimePoint now,
                        const std::shared_ptr<CallerConnection> &connection,
                        HttpRequest &request,
                        const std::string &callerId,
                        const std::optional<Duration> &timeLeft)
{
    if (!isUnconfirmed(now)) {
        return false;
    }
    gate_.close(now);
    return gate_.accept(now, connection, request, callerId, timeLeft);
}

void StallGuard::expire(TimePoint now)
{
    gate_.tick(now);
}

void StallGuard::stop(TimePoint now)
{
    gate_.stop(now);
}

} // namespace Cloverbarrow
