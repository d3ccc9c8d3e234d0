/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/random.h"
#include "core/support/time.h"
#include "eventqueue.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

namespace Cloverbarrow::Bench
{

/// Behaviour of a fake backend server.
struct FakeBackendOptions {
    int slots = 3;
    Duration meanServiceTime = milliseconds(8);
    double slowFactor = 1; ///< Factor on all service times; above 1 for a straggler.
    bool refusesConnections = false; ///< Connections are refused.
    bool failsFast = false; ///< Answers with an error at once.
};

/// Simulated backend server with a fixed number of slots and one queue. Noisy neighbours on its machine slow it down for some
/// milliseconds at random times.
class FakeBackend
{
public:
    /// Outcome of a request.
    struct Outcome {
        bool isConnected = true;
        bool isError = false;
        int load = 0; ///< Requests that were running or queued when it ended.
    };
    using OnDone = std::function<void(Outcome)>;

    FakeBackend(EventQueue &events, std::string name, std::string zone, std::uint64_t seed);

    void setOptions(const FakeBackendOptions &options);
    const FakeBackendOptions &options() const;
    const std::string &name() const;
    const std::string &zone() const;
    /// Accepts a request. A request whose deadline passes while it is queued is dropped without an answer.
    void arrive(TimePoint deadline, OnDone done);
    bool hasFreeSlot() const;
    std::size_t served() const;
    /// @return a random service time, multiplied by the present noise.
    Duration drawServiceTime();

private:
    void startNext();
    double noiseFactor();

    EventQueue &events_;
    std::string name_;
    std::string zone_;
    Random random_;
    FakeBackendOptions options_;
    int running_ = 0;
    struct QueuedRequest {
        TimePoint deadline;
        OnDone done;
    };

    std::deque<QueuedRequest> queue_;
    std::size_t served_ = 0;
    TimePoint noisyFrom_;
    TimePoint noisyUntil_;
};

} // namespace Cloverbarrow::Bench
