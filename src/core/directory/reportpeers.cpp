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

ReportPeers::ReportPeers(std::string own)
    : own_(std::move(own))
{
}

void ReportPeers::named(const std::string &relay, std::span<const std::string> standbys)
{
    relay_ = relay;
    std::vector<std::string> remembered(standbys.begin(), standbys.end());
    for (const std::string &former : standbys_) {
        if (std::find(remembered.begin(), remembered.end(), former) == remembered.end()) {
            remembered.push_back(former);
        }
    }
    remembered.resize(std::min(remembered.size(), MostRemembered));
    standbys_ = std::move(remembered);
}

std::vector<std::string> ReportPeers::substitutes() const
{
    std::vector<std::string> all = standbys_;
    if (!relay_.empty() && std::find(all.begin(), all.end(), relay_) == all.end()) {
        // Its process may have started again at the address, and then knows nothing.
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
