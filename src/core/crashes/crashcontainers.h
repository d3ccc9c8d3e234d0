/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashreport.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

namespace Cloverbarrow
{

inline const ServerCrash &crashOf(const ServerCrash &crash)
{
    return crash;
}

template<typename Value>
const ServerCrash &crashOf(const std::pair<const ServerCrash, Value> &entry)
{
    return entry.first;
}

/// @return whether a set or map of crashes contains one of the same server under a copy of the same request, whichever caller sent it.
template<typename Container>
bool containsCopy(const Container &crashes, const ServerCrash &crash)
{
    const std::string &digest = crash.fingerprint.digest;
    for (auto copy = crashes.lower_bound(ServerCrash{{digest, {}}, {}}); copy != crashes.end() && crashOf(*copy).fingerprint.digest == digest; ++copy) {
        if (crashOf(*copy).server == crash.server) {
            return true;
        }
    }
    return false;
}

/// Removes the entries with the earliest times until at most @p maxSize are left.
template<typename Map, typename TimeOf>
void dropOldest(Map &map, std::size_t maxSize, const TimeOf &timeOf)
{
    while (map.size() > maxSize) {
        map.erase(std::min_element(map.begin(), map.end(), [&timeOf](const auto &left, const auto &right) { return timeOf(left) < timeOf(right); }));
    }
}

} // namespace Cloverbarrow
