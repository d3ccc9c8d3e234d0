/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/crashupdateoutbox.h"

#include <algorithm>

namespace Cloverbarrow
{

bool CrashUpdateOutbox::Receiver::isEmpty() const
{
    return pending.empty() && request.replyTo.empty() && request.replyFrom.empty();
}

void CrashUpdateOutbox::add(const std::string &receiver, const CrashUpdateMessage &message, bool isUrgent)
{
    dropIdleReceivers();
    Receiver &state = receivers_[receiver];
    merge(state, message);
    if (!message.held.empty() || !message.replyTo.empty()) {
        state.request.held = message.held;
    }
    state.isUrgent = state.isUrgent || isUrgent;
}

void CrashUpdateOutbox::merge(Receiver &receiver, const CrashUpdateMessage &message)
{
    for (const CrashUpdate &update : message.updates) {
        const auto [known, isNew] = receiver.pending.try_emplace({update.entryVm, update.process}, update);
        if (!isNew && known->second.sequenceNumber < update.sequenceNumber) {
            known->second = update;
        }
    }
    while (receiver.pending.size() > MaxPending) {
        receiver.pending.erase(receiver.pending.begin());
    }
    if (!message.replyTo.empty()) {
        receiver.request.replyTo = message.replyTo;
    }
    if (!message.replyFrom.empty()) {
        receiver.request.replyFrom = message.replyFrom;
    }
}

std::vector<CrashUpdateOutbox::Delivery> CrashUpdateOutbox::takeDue(TimePoint now)
{
    std::vector<Delivery> due;
    for (auto &[address, receiver] : receivers_) {
        const bool isDue = now >= receiver.nextAt || (receiver.isUrgent && now >= receiver.nextUrgentAt);
        if (isDue && !receiver.isInFlight && !receiver.isEmpty()) {
            receiver.isInFlight = true;
            receiver.sent = takeMessage(address, receiver);
            due.push_back(receiver.sent);
        }
    }
    return due;
}

CrashUpdateOutbox::Delivery CrashUpdateOutbox::takeMessage(const std::string &address, Receiver &receiver)
{
    Delivery delivery{address, std::exchange(receiver.request, {}), receiver.isUrgent};
    while (!receiver.pending.empty() && delivery.message.updates.size() < MaxUpdates) {
        delivery.message.updates.push_back(std::move(receiver.pending.extract(receiver.pending.begin()).mapped()));
    }
    receiver.isUrgent = receiver.isUrgent && !receiver.pending.empty();
    return delivery;
}

void CrashUpdateOutbox::onOutcome(TimePoint now, const std::string &address, Outcome outcome)
{
    const auto found = receivers_.find(address);
    if (found == receivers_.end()) {
        return;
    }
    Receiver &receiver = found->second;
    receiver.isInFlight = false;
    const Delivery sent = std::exchange(receiver.sent, {});
    if (outcome == Outcome::Accepted) {
        receiver.unanswered = 0;
        receiver.interval = std::max(MinInterval, receiver.interval / 2);
        receiver.nextAt = now + receiver.interval;
        receiver.nextUrgentAt = now;
        return;
    }
    receiver.unanswered = outcome == Outcome::Unanswered ? receiver.unanswered + 1 : 0;
    receiver.interval = std::min(receiver.interval * 2, outcome == Outcome::Refused ? MaxRefusedInterval : MaxUnansweredInterval);
    receiver.nextAt = now + receiver.interval;
    receiver.nextUrgentAt = now + std::min(receiver.interval, MaxUnansweredInterval);
    if (receiver.unanswered >= MaxUnanswered) {
        receivers_.erase(found);
        return;
    }
    const bool hasNewerRequest = !receiver.request.replyTo.empty();
    merge(receiver, sent.message);
    if (!hasNewerRequest) {
        receiver.request.held = sent.message.held;
    }
    receiver.isUrgent = receiver.isUrgent || sent.isUrgent;
}

void CrashUpdateOutbox::dropIdleReceivers()
{
    if (receivers_.size() >= MaxReceivers) {
        std::erase_if(receivers_, [](const auto &entry) { return entry.second.isEmpty() && !entry.second.isInFlight; });
    }
}

} // namespace Cloverbarrow
