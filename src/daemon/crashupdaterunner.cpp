/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/crashupdaterunner.h"

#include "net/bootclock.h"
#include "net/crashjson.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace Cloverbarrow
{

namespace
{

// A message may contain updates of 64 entry VMs; operators need some to start from.
constexpr std::size_t MaxLoggedPeers = 4;

/// @return the first few names, separated by commas.
std::string firstOf(const std::set<std::string_view> &names)
{
    std::string text;
    std::size_t count = 0;
    for (const std::string_view name : names) {
        if (++count > MaxLoggedPeers) {
            return text + ",...";
        }
        text.append(text.empty() ? "" : ",").append(name);
    }
    return text;
}

} // namespace

CrashUpdateRunner::CrashUpdateRunner(EventHandler &events, Sender sender, PeerRecorder recorder, AnswerRecorder answerRecorder)
    : events_(events)
    , sender_(std::move(sender))
    , recorder_(std::move(recorder))
    , answerRecorder_(std::move(answerRecorder))
    , log_("directory")
{
}

CrashUpdatesResponse CrashUpdateRunner::accept(const std::string &text, bool isUrgent)
{
    const std::lock_guard lock(mutex_);
    return {intake_.offer(bootNow(), text, isUrgent), hasUpdates_};
}

void CrashUpdateRunner::setHasUpdates(bool hasUpdates)
{
    hasUpdates_ = hasUpdates;
}

void CrashUpdateRunner::send(const SendCrashUpdates &message)
{
    {
        const std::lock_guard lock(mutex_);
        for (const std::string &address : message.addresses) {
            outbox_.add(address, message.message, message.isUrgent);
        }
    }
    sendDue();
}

void CrashUpdateRunner::tick()
{
    handleReceived();
    sendDue();
}

CrashMessageCounts CrashUpdateRunner::counts() const
{
    const std::lock_guard lock(mutex_);
    return {intake_.admitted(), intake_.refused()};
}

void CrashUpdateRunner::handleReceived()
{
    std::vector<std::string> batch;
    bool hasRefused = false;
    {
        const std::lock_guard lock(mutex_);
        batch = intake_.takeBatch();
        hasRefused = intake_.takeHasRefused();
    }
    std::vector<CrashUpdateMessage> messages;
    for (const std::string &text : batch) {
        try {
            messages.push_back(decodeCrashUpdates(text));
        } catch (const std::exception &exception) {
            log_.warn("crash updates rejected", {{"reason", exception.what()}});
        }
    }
    if (messages.empty() && !hasRefused) {
        return;
    }
    logReceived(messages);
    const auto hasUpdates = [](const CrashUpdateMessage &message) { return !message.updates.empty(); };
    if (std::any_of(messages.begin(), messages.end(), hasUpdates)) {
        hasUpdates_ = true;
    }
    auto merged = mergedMessages(messages);
    if (merged.empty()) {
        merged.emplace_back();
    }
    for (CrashUpdateMessage &message : merged) {
        events_.handle(ControlEvent(CrashUpdatesReceived{std::move(message), std::exchange(hasRefused, false)}));
    }
    for (const CrashUpdateMessage &message : messages) {
        recorder_(message.replyTo, message.replyFrom);
    }
}

void CrashUpdateRunner::sendDue()
{
    std::vector<CrashUpdateOutbox::Delivery> due;
    {
        const std::lock_guard lock(mutex_);
        due = outbox_.takeDue(bootNow());
    }
    for (const CrashUpdateOutbox::Delivery &delivery : due) {
        const bool isRequest = !delivery.message.replyTo.empty();
        sender_(delivery, [this, receiver = delivery.receiver, isRequest](const CrashDeliveryResult &result) {
            {
                const std::lock_guard lock(mutex_);
                outbox_.onOutcome(bootNow(), receiver, result.delivery);
            }
            if (isRequest) {
                answerRecorder_({receiver, result.exchange});
            }
        });
    }
}

void CrashUpdateRunner::logReceived(std::span<const CrashUpdateMessage> messages) const
{
    std::set<std::string_view> peers;
    std::size_t updates = 0;
    std::size_t crashes = 0;
    std::size_t suspected = 0;
    for (const CrashUpdateMessage &message : messages) {
        updates += message.updates.size();
        for (const CrashUpdate &update : message.updates) {
            peers.insert(update.entryVm);
            crashes += update.report.crashes.size();
            suspected += update.suspected.size();
        }
    }
    if (updates > 0) {
        log_.info("crash updates received",
                  {{"messages", static_cast<std::int64_t>(messages.size())},
                   {"updates", static_cast<std::int64_t>(updates)},
                   {"peers", firstOf(peers)},
                   {"ends", static_cast<std::int64_t>(crashes)},
                   {"suspected", static_cast<std::int64_t>(suspected)}});
    }
}

} // namespace Cloverbarrow
