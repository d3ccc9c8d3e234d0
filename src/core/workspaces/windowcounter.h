/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace Cloverbarrow
{

/// Counts events within a sliding window.
class WindowCounter
{
public:
    explicit WindowCounter(Duration window);

    /// @param at when the events happened; those before the window are not counted. @param events negative to withdraw events that were added with the same
    /// time.
    void add(TimePoint at, int events);
    /// @return number of events within the window that ends now; events that are slightly older may be included.
    int count(TimePoint now) const;
    /// @param duration at most the window. @return number of events within @p duration until now; events that are slightly older may be included.
    int count(TimePoint now, Duration duration) const;
    /// @return time until the count decreases if no events are added; the window if there are none.
    Duration timeUntilDecrease(TimePoint now) const;
    /// @return the events of the window that ends now in @p parts of equal length, the newest first. An event may be counted in a newer part.
    std::vector<int> countsByAge(TimePoint now, std::size_t parts) const;

private:
    static constexpr std::size_t SlotCount = 32;

    struct Slot {
        std::int64_t number = -1;
        int events = 0;
    };

    std::int64_t slotNumber(TimePoint time) const;
    bool isInWindow(const Slot &slot, TimePoint now) const;

    Duration slotLength_;
    std::array<Slot, SlotCount + 1> slots_; ///< Indexed by slot number modulo their count; the oldest lies only partly in the window.
};

} // namespace Cloverbarrow
