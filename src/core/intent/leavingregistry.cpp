/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/leavingregistry.h"

namespace Cloverbarrow
{

namespace
{
// Longer than any drain takes, so that an outdated VM list does not make a server available again too soon.
constexpr Duration SignLifetime = seconds(300);
} // namespace

void LeavingRegistry::setDrains(std::span<const std::string> drains)
{
    drains_.clear();
    for (const std::string &drain : drains) {
        if (const std::size_t slash = drain.find('/'); slash != std::string::npos) {
            drains_.emplace(drain.substr(0, slash), drain.substr(slash + 1));
        }
    }
}

bool LeavingRegistry::addSign(TimePoint now, const std::string &service, const std::string &backend)
{
    const LeavingSign local{service, backend, Duration(0)};
    return merge(now, std::span(&local, 1));
}

bool LeavingRegistry::merge(TimePoint now, std::span<const LeavingSign> signs)
{
    bool hasNew = false;
    for (const LeavingSign &received : signs) {
        if (received.age < Duration(0) || received.age >= SignLifetime) {
            continue;
        }
        const TimePoint at = now - received.age;
        const auto [found, isNew] = signTimes_.try_emplace({received.service, received.backend}, at);
        found->second = std::max(found->second, at);
        hasNew = hasNew || isNew;
    }
    return hasNew;
}

bool LeavingRegistry::expireSigns(TimePoint now)
{
    return std::erase_if(signTimes_, [now](const auto &entry) { return now - entry.second >= SignLifetime; }) > 0;
}

std::vector<LeavingSign> LeavingRegistry::signs(TimePoint now) const
{
    std::vector<LeavingSign> current;
    for (const auto &[key, at] : signTimes_) {
        current.push_back({key.first, key.second, now - at});
    }
    return current;
}

std::vector<std::string> LeavingRegistry::leavingServers(const std::string &service) const
{
    std::set<std::string> names;
    for (const auto &[key, at] : signTimes_) {
        if (key.first == service) {
            names.insert(key.second);
        }
    }
    for (const auto &[drainedService, backend] : drains_) {
        if (drainedService == service) {
            names.insert(backend);
        }
    }
    return {names.begin(), names.end()};
}

} // namespace Cloverbarrow
