/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/admissionqueue.h"
#include "core/requests/serviceevents.h"
#include "daemon/requestlog.h"
#include "net/callerconnection.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>

namespace Cloverbarrow
{

/// Holds callers' requests until this entry VM is ready, as AdmissionQueue decides. Thread-safe; the callbacks are called without a lock.
class AdmissionGate
{
public:
    struct Callbacks {
        /// Serves a request that was held. @param arrivedAt when it arrived.
        std::function<void(const std::shared_ptr<CallerConnection> &connection, HttpRequest request, TimePoint arrivedAt)> serve;
        /// Refuses a request.
        std::function<void(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, const Problem &problem)> refuse;
        /// Counts an outcome of a request.
        std::function<void(const char *outcome)> count;
    };

    /// The gate is closed. @param startedAt when this process started. @param state what this entry VM does meanwhile, for callers and the log, e.g. "is
    /// starting".
    AdmissionGate(const AdmissionQueueLimits &limits, TimePoint startedAt, std::uint64_t seed, std::string state, Callbacks callbacks);

    /// Holds or refuses a request that arrived before requests are served. @param callerId for the log. @param timeLeft how long the caller waits, if known.
    /// @return whether it did; if not, requests are served now, and @p request is unchanged.
    bool accept(TimePoint now,
                const std::shared_ptr<CallerConnection> &connection,
                HttpRequest &request,
                const std::string &callerId,
                const std::optional<Duration> &timeLeft);
    /// Refuses held requests whose time is over and drops those whose callers have disconnected. Call several times a second.
    void tick(TimePoint now);
    /// Serves held requests, oldest first, and lets later ones pass. Has no effect if the gate is open.
    void open(TimePoint now);
    /// Holds requests again. Has no effect if the gate is closed.
    void close(TimePoint now);
    /// Refuses all held requests, and later ones until the process ends.
    void stop(TimePoint now);
    /// @return number of held requests.
    std::size_t size() const;

private:
    struct Held {
        std::shared_ptr<CallerConnection> connection;
        HttpRequest request;
        std::string callerId;
        TimePoint arrivedAt;
    };
    struct Refusal {
        Held held;
        AdmissionRefused decision;
    };

    /// Takes the refused requests out of held_. The mutex must be held.
    std::vector<Refusal> takeRefused(std::span<const AdmissionRefused> refused);
    void refuseAll(TimePoint now, std::span<const Refusal> refusals);
    void refuse(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, const AdmissionRefused &decision, Duration waited);
    void dropDisconnected(TimePoint now);

    std::string state_;
    RequestLog log_;
    Callbacks callbacks_;
    std::atomic<bool> isOpen_{false}; ///< Changed with mutex_ held.
    mutable std::mutex mutex_;
    AdmissionQueue queue_; ///< Guarded by mutex_.
    std::map<std::uint64_t, Held> held_; ///< Guarded by mutex_.
    std::uint64_t lastId_ = 0; ///< Guarded by mutex_.
};

} // namespace Cloverbarrow
