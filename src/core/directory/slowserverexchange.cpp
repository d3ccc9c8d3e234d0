/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/slowserverexchange.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// Most servers with a stored report. Those of a whole service may be slow at once.
constexpr std::size_t MaxServers = 1024;
// Bounds the memory used by addresses of relays that no longer exist.
constexpr std::size_t MaxPeers = 64;
// Several entry VMs observe the same server. A report that is only this much newer than the stored one is not sent again.
constexpr Duration MinRenewal = SlowServerReport::RenewInterval / 2;

} // namespace

SlowServerExchange::SlowServerExchange(std::uint64_t process)
    : process_(process)
{
}

void SlowServerExchange::observed(TimePoint now, const SlowServerReport &report)
{
    apply(now, report, {});
}

SlowServerMessage SlowServerExchange::requestTo(TimePoint now, const std::string &peer)
{
    const Peer &known = peerAt(peer);
    SlowServerMessage message = messageSince(now, known.acknowledged, peer);
    message.receiverPosition = known.received;
    return message;
}

void SlowServerExchange::onAnswer(TimePoint now, const std::string &peer, const SlowServerMessage &request, const SlowServerMessage &answer)
{
    Peer &known = peerAt(peer);
    if (answer.receiverPosition.process == process_) {
        known.acknowledged = std::max(known.acknowledged, request.position.sequence);
    }
    if (known.received.process != 0 && known.received.process != answer.position.process) {
        // A new process at this address has received none of the reports.
        known.acknowledged = 0;
    }
    known.received = answer.position;
    applyReceived(now, answer, peer);
}

void SlowServerExchange::onRequest(TimePoint now, const std::string &peer, const SlowServerMessage &request)
{
    applyReceived(now, request, peer);
}

SlowServerMessage SlowServerExchange::answerTo(TimePoint now, const std::string &peer, const SlowServerMessage &request)
{
    const bool isKnownHere = request.receiverPosition.process == process_;
    SlowServerMessage answer = messageSince(now, isKnownHere ? request.receiverPosition.sequence : 0, peer);
    answer.receiverPosition = request.position;
    return answer;
}

std::vector<SlowServerReport> SlowServerExchange::takeLearned()
{
    return std::exchange(learned_, {});
}

void SlowServerExchange::clear()
{
    entries_.clear();
    learned_.clear();
}

bool SlowServerExchange::apply(TimePoint now, const SlowServerReport &report, const std::string &source)
{
    std::erase_if(entries_, [now](const auto &entry) { return now - entry.second.report.observedAt >= SlowServerReport::Lifetime; });
    if (now - report.observedAt >= SlowServerReport::Lifetime) {
        return false;
    }
    const auto found = entries_.find(report.server);
    const bool isNew = found == entries_.end();
    if (isNew ? entries_.size() >= MaxServers : report.observedAt - found->second.report.observedAt < MinRenewal) {
        return false;
    }
    entries_.insert_or_assign(report.server, Entry{report, ++sequence_, source});
    return true;
}

void SlowServerExchange::applyReceived(TimePoint now, const SlowServerMessage &message, const std::string &source)
{
    for (const SlowServerReport &report : message.reports) {
        if (apply(now, report, source)) {
            learned_.push_back(report);
        }
    }
}

SlowServerMessage SlowServerExchange::messageSince(TimePoint now, std::uint64_t sequence, const std::string &peer)
{
    std::vector<const Entry *> due;
    for (const auto &[server, entry] : entries_) {
        const bool isFresh = now - entry.report.observedAt < SlowServerReport::Lifetime;
        if (isFresh && entry.sequence > sequence && (entry.source.empty() || entry.source != peer)) {
            due.push_back(&entry);
        }
    }
    std::sort(due.begin(), due.end(), [](const Entry *left, const Entry *right) { return left->sequence < right->sequence; });
    SlowServerMessage message;
    message.position = {process_, sequence_};
    if (due.size() > SlowServerMessage::MaxReports) {
        due.resize(SlowServerMessage::MaxReports);
        message.position.sequence = due.back()->sequence;
    }
    for (const Entry *entry : due) {
        message.reports.push_back(entry->report);
    }
    return message;
}

SlowServerExchange::Peer &SlowServerExchange::peerAt(const std::string &address)
{
    if (peers_.size() >= MaxPeers && !peers_.contains(address)) {
        peers_.clear();
    }
    return peers_[address];
}

} // namespace Cloverbarrow
