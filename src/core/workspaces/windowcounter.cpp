/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/workspaces/windowcounter.h"

#include <algorithm>

namespace Cloverbarrow
{

WindowCounter::WindowCounter(Duration window)
    : slotLength_(std::max(Duration(1), window / static_cast<Duration::rep>(SlotCount)))
{
}

void WindowCounter::add(TimePoint at, int events)
{
    const std::int64_t number = slotNumber(at);
    Slot &slot = slots_.at(static_cast<std::size_t>(number) % slots_.size());
    if (slot.number > number) {
        return;
    }
    if (slot.number != number) {
        slot = {number, 0};
    }
    slot.events += events;
}

int WindowCounter::count(TimePoint now) const
{
    int sum = 0;
    for (const Slot &slot : slots_) {
        sum += isInWindow(slot, now) ? slot.events : 0;
    }
    return sum;
}

int WindowCounter::count(TimePoint now, Duration duration) const
{
    const std::int64_t oldest = std::max(slotNumber(now - duration), slotNumber(now) - static_cast<std::int64_t>(SlotCount));
    int sum = 0;
    for (const Slot &slot : slots_) {
        sum += slot.number >= oldest ? slot.events : 0;
    }
    return sum;
}

Duration WindowCounter::timeUntilDecrease(TimePoint now) const
{
    std::int64_t oldest = slotNumber(now);
    for (const Slot &slot : slots_) {
        if (isInWindow(slot, now) && slot.events > 0) {
            oldest = std::min(oldest, slot.number);
        }
    }
    return slotLength_ * (oldest + static_cast<std::int64_t>(slots_.size())) - now.time_since_epoch();
}

std::vector<int> WindowCounter::countsByAge(TimePoint now, std::size_t parts) const
{
    std::vector<int> counts(parts, 0);
    for (const Slot &slot : slots_) {
        if (isInWindow(slot, now)) {
            const auto slotsAgo = static_cast<std::size_t>(std::max<std::int64_t>(0, slotNumber(now) - slot.number));
            // The newest event that the slot may hold decides.
            const std::size_t part = (slotsAgo - std::min<std::size_t>(slotsAgo, 1)) * parts / SlotCount;
            counts.at(std::min(part, parts - 1)) += slot.events;
        }
    }
    return counts;
}

std::int64_t WindowCounter::slotNumber(TimePoint time) const
{
    return time.time_since_epoch() / slotLength_;
}

bool WindowCounter::isInWindow(const Slot &slot, TimePoint now) const
{
    return slot.number > slotNumber(now) - static_cast<std::int64_t>(slots_.size());
}

} // namespace Cloverbarrow
