/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/stallmonitor.h"
#include "daemon/admissiongate.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Cloverbarrow
{

/// Holds callers' requests after a stall of this process until the directory has been confirmed, as StallMonitor decides. Thread-safe.
class StallGuard
{
public:
    /// @param startedAt when this process started.
    StallGuard(TimePoint startedAt, std::uint64_t seed, AdmissionGate::Callbacks callbacks);

    /// The main loop runs. Serves the held requests once the wait for a confirmation is over. @return length of the stall that has just ended, if there was
    /// one.
    std::optional<Duration> tick(TimePoint now);
    /// The directory has been confirmed since the last stall.
    void confirmed();
    /// @return whether the directory may be outdated because of a stall.
    bool isUnconfirmed(TimePoint now) const;
    /// Holds or refuses a request while the directory may be outdated. Parameters as those of AdmissionGate::accept(). @return whether it did.
    bool accept(TimePoint now,
                const std::shared_ptr<CallerConnection> &connection,
                HttpRequest &request,
                const std::string &callerId,
                const std::optional<Duration> &timeLeft);
    /// Refuses held requests whose time is over. Call several times a second.
    void expire(TimePoint now);
    /// Refuses all held requests.
    void stop(TimePoint now);

private:
    mutable std::mutex mutex_;
    StallMonitor monitor_; ///< Guarded by mutex_.
    AdmissionGate gate_;
};

} // namespace Cloverbarrow
