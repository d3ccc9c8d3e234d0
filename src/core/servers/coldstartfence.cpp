/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/coldstartfence.h"

#include "core/support/stablehash.h"

#include <string>
#include <utility>

namespace Cloverbarrow
{

void RecentSends::add(TimePoint now, int most)
{
    times_.push_back(now);
    if (times_.size() > static_cast<std::size_t>(most)) {
        times_.erase(times_.begin());
    }
}

bool RecentSends::allows(TimePoint now, int most, Duration window) const
{
    if (times_.size() < static_cast<std::size_t>(most)) {
        return true;
    }
    return most > 0 && now - times_[times_.size() - static_cast<std::size_t>(most)] >= window;
}

bool isColdSender(const ColdStartRules &rules, std::string_view server)
{
    if (!rules.place) {
        return false;
    }
    const auto weightOf = [server](int place) { return std::pair(stableHash({std::to_string(place), std::string(server)}), place); };
    const auto own = weightOf(rules.place->number);
    int before = 0;
    for (int place = 0; place < rules.place->count; ++place) {
        before += weightOf(place) < own ? 1 : 0;
    }
    return before < rules.senders;
}

} // namespace Cloverbarrow
