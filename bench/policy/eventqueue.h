/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Cloverbarrow::Bench
{

/// Event queue of a simulation, with a virtual clock. Events run in order of time; events of the same time run in the order in which they were scheduled.
class EventQueue
{
public:
    TimePoint now() const
    {
        return now_;
    }

    void scheduleAfter(Duration delay, std::function<void()> run)
    {
        events_.push({now_ + delay, nextNumber_++, std::move(run)});
    }

    /// Runs all events up to @p end.
    void runUntil(TimePoint end)
    {
        while (!events_.empty() && events_.top().at <= end) {
            // std::priority_queue gives only const access to its top element; moving from it is safe, as it is removed next.
            Event event = std::move(const_cast<Event &>(events_.top()));
            events_.pop();
            now_ = event.at;
            event.run();
        }
        now_ = end;
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    TimePoint now_ = TimePoint(seconds(100));
    std::uint64_t nextNumber_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace Cloverbarrow::Bench
