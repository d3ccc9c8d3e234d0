/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/crashupdateintake.h"

#include "core/crashes/crashupdateexchange.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Cloverbarrow
{

bool CrashUpdateIntake::offer(TimePoint now, std::string text, bool isUrgent)
{
    // A message of an earlier release may be larger than the burst.
    const std::size_t cost = std::min(1 + text.size() / BytesPerToken, static_cast<std::size_t>(MessageBurst));
    const auto take = [now, cost](TokenBucket &tokens) {
        if (!tokens.isAvailable(now, static_cast<double>(cost - 1))) {
            return false;
        }
        for (std::size_t taken = 0; taken < cost; ++taken) {
            tokens.take(now);
        }
        return true;
    };
    if (queue_.size() >= MaxQueued || (!(isUrgent && take(urgentTokens_)) && !take(tokens_))) {
        ++refused_;
        hasRefused_ = true;
        return false;
    }
    ++admitted_;
    queue_.push_back(std::move(text));
    return true;
}

std::vector<std::string> CrashUpdateIntake::takeBatch()
{
    return std::exchange(queue_, {});
}

bool CrashUpdateIntake::takeHasRefused()
{
    return std::exchange(hasRefused_, false);
}

std::uint64_t CrashUpdateIntake::admitted() const
{
    return admitted_;
}

std::uint64_t CrashUpdateIntake::refused() const
{
    return refused_;
}

std::vector<CrashUpdateMessage> mergedMessages(std::span<const CrashUpdateMessage> messages)
{
    std::map<std::pair<std::string, std::string>, const CrashUpdate *> newest;
    std::map<std::string, CrashUpdateMessage> requests;
    for (const CrashUpdateMessage &message : messages) {
        for (const CrashUpdate &update : message.updates) {
            const auto [known, isNew] = newest.try_emplace({update.entryVm, update.process}, &update);
            if (!isNew && known->second->sequenceNumber < update.sequenceNumber) {
                known->second = &update;
            }
        }
        if (message.replyTo.empty()) {
            continue;
        }
        CrashUpdateMessage &request = requests[message.replyTo];
        request.replyTo = message.replyTo;
        request.held.insert(request.held.end(), message.held.begin(), message.held.end());
        const auto sent = versionsOf(message.updates);
        request.held.insert(request.held.end(), sent.begin(), sent.end());
    }
    std::vector<CrashUpdateMessage> merged;
    if (!newest.empty()) {
        CrashUpdateMessage &updates = merged.emplace_back();
        for (const auto &[process, update] : newest) {
            updates.updates.push_back(*update);
        }
    }
    for (auto &[address, request] : requests) {
        merged.push_back(std::move(request));
    }
    return merged;
}

} // namespace Cloverbarrow
