/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/crashupdateexchange.h"

#include <algorithm>
#include <iterator>

namespace Cloverbarrow
{

namespace
{

// Bounds the memory used by addresses of entry VMs that no longer exist.
constexpr std::size_t MaxPeers = 256;

} // namespace

std::vector<CrashUpdateVersion> versionsOf(const std::vector<CrashUpdate> &updates)
{
    std::vector<CrashUpdateVersion> versions;
    std::transform(updates.begin(), updates.end(), std::back_inserter(versions), [](const CrashUpdate &update) {
        return CrashUpdateVersion{update.entryVm, update.process, update.sequenceNumber};
    });
    return versions;
}

std::vector<CrashUpdate> updatesMissingIn(const CrashUpdateMessage &request, std::vector<CrashUpdate> updates)
{
    std::map<std::pair<std::string, std::string>, std::uint64_t> held;
    const auto add = [&held](const CrashUpdateVersion &version) {
        std::uint64_t &known = held[{version.entryVm, version.process}];
        known = std::max(known, version.sequenceNumber);
    };
    std::for_each(request.held.begin(), request.held.end(), add);
    const auto sent = versionsOf(request.updates);
    std::for_each(sent.begin(), sent.end(), add);
    std::erase_if(updates, [&held](const CrashUpdate &update) {
        const auto found = held.find({update.entryVm, update.process});
        return found != held.end() && found->second >= update.sequenceNumber;
    });
    return updates;
}

std::vector<CrashUpdate> SentCrashUpdates::takeUnsent(TimePoint now, const std::string &peer, std::vector<CrashUpdate> updates)
{
    if (peers_.size() >= MaxPeers) {
        peers_.clear();
    }
    const auto [found, isNew] = peers_.try_emplace(peer);
    Peer &state = found->second;
    if (isNew || now - state.allSentAt >= FullResendInterval) {
        state.allSentAt = now;
        state.sent.clear();
    }
    std::erase_if(updates, [&state](const CrashUpdate &update) {
        const auto [sent, isUnsent] = state.sent.try_emplace({update.entryVm, update.process}, update.sequenceNumber);
        const bool isNewer = isUnsent || sent->second < update.sequenceNumber;
        sent->second = std::max(sent->second, update.sequenceNumber);
        return !isNewer;
    });
    return updates;
}

} // namespace Cloverbarrow
