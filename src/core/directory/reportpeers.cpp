/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/reportpeers.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

ReportPeers::ReportPeers(std::string localAddress)
    : own_(std::move(localAddress))
{
}

void ReportPeers::named(const std::string &relay, std::span<const std::string> standbys)
{
    relay_ = relay;
    std::vector<std::string> merged(standbys.begin(), standbys.end());
    for (const std::string &former : standbys_) {
        if (std::find(merged.begin(), merged.end(), former) == merged.end()) {
            merged.push_back(former);
        }
    }
    merged.resize(std::min(merged.size(), MostRemembered));
    standbys_ = std::move(merged);
}

std::vector<std::string> ReportPeers::substitutes() const
{
    std::vector<std::string> all = standbys_;
    if (!relay_.empty() && std::find(all.begin(), all.end(), relay_) == all.end()) {
        // A restarted process at the relay's address has lost its reports and needs them again.
        all.push_back(relay_);
    }
    std::erase(all, own_);
    return all;
}

bool ReportPeers::isStandby() const
{
    return std::find(standbys_.begin(), standbys_.end(), own_) != standbys_.end();
}

bool ReportPeers::takeDue(TimePoint now)
{
    if (now < nextExchange_) {
        return false;
    }
    nextExchange_ = now + ExchangeInterval;
    return true;
}

void ReportPeers::asked(TimePoint now, const std::string &peer)
{
    std::erase_if(askedAt_, [now](const auto &entry) { return now - entry.second > AskerLifetime; });
    askedAt_[peer] = now;
}

std::vector<std::string> ReportPeers::askers(TimePoint now) const
{
    std::vector<std::string> addresses;
    for (const auto &[address, at] : askedAt_) {
        if (now - at <= AskerLifetime) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

} // namespace Cloverbarrow
