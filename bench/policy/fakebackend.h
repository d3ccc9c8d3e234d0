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

/// How one fake backend server behaves.
struct BackendShape {
    int slots = 3;
    Duration meanService = milliseconds(8);
    double slowFactor = 1; ///< Of a straggler.
    bool isGone = false; ///< Connections are refused.
    bool failsFast = false; ///< Answers with an error at once.
};

/// A backend server with slots and one queue, whose neighbours take the machine away for some milliseconds now and
/// then.
class FakeBackend
{
public:
    /// How a request ended there.
    struct Done {
        bool isConnected = true;
        bool isError = false;
        int load = 0; ///< Requests in hand when it ended.
    };
    using OnDone = std::function<void(Done)>;

    FakeBackend(EventQueue &events, std::string name, std::string zone, std::uint64_t seed);

    void setShape(const BackendShape &shape);
    const BackendShape &shape() const;
    const std::string &name() const;
    const std::string &zone() const;
    /// A request arrives. One whose deadline passes while it waits is dropped unanswered.
    void arrive(TimePoint deadline, OnDone done);
    bool hasFreeSlot() const;
    std::size_t served() const;
    /// @return a service time, with the noise of this instant.
    Duration drawService();

private:
    void startNext();
    double noise();

    EventQueue &events_;
    std::string name_;
    std::string zone_;
    Random random_;
    BackendShape shape_;
    int running_ = 0;
    struct Waiting {
        TimePoint deadline;
        OnDone done;
    };

    std::deque<Waiting> queue_;
    std::size_t served_ = 0;
    TimePoint noisyFrom_;
    TimePoint noisyUntil_;
};

} // namespace Cloverbarrow::Bench
