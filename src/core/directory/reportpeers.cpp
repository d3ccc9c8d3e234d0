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
    : localAddress_(std::move(localAddress))
{
}

void ReportPeers::setStandbys(const std::string &relay, std::span<const std::string> standbys)
{
    relay_ = relay;
    std::vector<std::string> merged(standbys.begin(), standbys.end());
    for (const std::string &former : standbys_) {
        if (std::find(merged.begin(), merged.end(), former) == merged.end()) {
            merged.push_back(former);
        }
    }
    merged.resize(std::min(merged.size(), MaxStoredStandbys));
    standbys_ = std::move(merged);
}

std::vector<std::string> ReportPeers::substitutes() const
{
    std::vector<std::string> all = standbys_;
    if (!relay_.empty() && std::find(all.begin(), all.end(), relay_) == all.end()) {
        // A restarted process at the relay's address has lost its reports and needs them again.
        all.push_back(relay_);
    }
    std::erase(all, localAddress_);
    return all;
}

bool ReportPeers::isStandby() const
{
    return std::find(standbys_.begin(), standbys_.end(), localAddress_) != standbys_.end();
}

bool ReportPeers::takeDue(TimePoint now)
{
    if (now < nextExchange_) {
        return false;
    }
    nextExchange_ = now + ExchangeInterval;
    return true;
}

void ReportPeers::onRequest(TimePoint now, const std::string &peer)
{
    std::erase_if(requestedAt_, [now](const auto &entry) { return now - entry.second > RequesterLifetime; });
    requestedAt_[peer] = now;
}

std::vector<std::string> ReportPeers::requesters(TimePoint now) const
{
    std::vector<std::string> addresses;
    for (const auto &[address, at] : requestedAt_) {
        if (now - at <= RequesterLifetime) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

} // namespace Cloverbarrow
