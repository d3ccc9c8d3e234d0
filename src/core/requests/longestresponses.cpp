/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/longestresponses.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

void LongestResponses::record(TimePoint now, Duration objective, Duration time)
{
    if (now - windowStart_ >= Window) {
        previous_ = now - windowStart_ < Window * 2 ? std::move(current_) : Times();
        current_.clear();
        windowStart_ = now;
    }
    Duration &longest = current_[objective];
    longest = std::max(longest, time);
}

std::optional<Duration> LongestResponses::longest(TimePoint now, Duration objective) const
{
    std::optional<Duration> found;
    const auto include = [&found, objective](const Times &times) {
        if (const auto entry = times.find(objective); entry != times.end()) {
            found = std::max(found.value_or(Duration(0)), entry->second);
        }
    };
    if (now - windowStart_ < Window * 2) {
        include(current_);
    }
    if (now - windowStart_ < Window) {
        include(previous_);
    }
    return found;
}

} // namespace Cloverbarrow
