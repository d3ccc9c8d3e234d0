/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/limitexchange.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// Limits may change several times a second; changes within this time are sent together.
constexpr Duration MinRequestInterval = milliseconds(200);
constexpr Duration RetryPause = seconds(1);
// Interval between requests to a peer that announces no version.
constexpr Duration PollInterval = milliseconds(400);
// Maximum number of servers with stored reports, at about 60 bytes each.
constexpr std::size_t MaxServers = 4096;
// Bounds the memory used by addresses of entry VMs that no longer exist.
constexpr std::size_t MaxPeers = 256;

} // namespace

LimitExchange::LimitExchange(std::uint64_t process)
    : process_(process)
{
}

void LimitExchange::serverReported(const LimitReport &report)
{
    applyReport(report);
}

LimitVersion LimitExchange::version() const
{
    return {process_, sequence_};
}

void LimitExchange::versionAnnounced(const std::string &peer, const LimitVersion &version)
{
    if (version.sequence == 0 && !peers_.contains(peer)) {
        return;
    }
    if (peers_.size() >= MaxPeers) {
        peers_.clear();
    }
    Peer &known = peers_[peer];
    if (known.announced.process != version.process) {
        // A new process at this address has received none of the changes yet.
        known.acknowledged = 0;
    }
    known.announced = version;
}

std::vector<LimitExchange::Message> LimitExchange::takeDueMessages(TimePoint now, const LimitPeers &peers)
{
    if (sequence_ > 0) {
        for (const std::string &receiver : peers.receivers) {
            peers_.try_emplace(receiver);
        }
    }
    for (const std::string &polled : peers.polled) {
        peers_.try_emplace(polled);
    }
    const auto contains = [](const std::vector<std::string> &addresses, const std::string &address) {
        return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
    };
    std::vector<Message> due;
    for (auto &[address, peer] : peers_) {
        peer.isPolled = contains(peers.polled, address);
        if ((!peer.isPolled && !contains(peers.receivers, address)) || !isDue(now, peer)) {
            continue;
        }
        peer.isRequestPending = true;
        peer.nextRequest = now + MinRequestInterval;
        due.push_back({address, {version(), peer.received, changedSince(peer.acknowledged)}});
    }
    return due;
}

bool LimitExchange::isDue(TimePoint now, const Peer &peer) const
{
    if (peer.isRequestPending || now < peer.nextRequest) {
        return false;
    }
    const bool hasUnsentChanges = peer.acknowledged < sequence_;
    const bool hasUnreadChanges = peer.isPolled ? now - peer.nextRequest >= PollInterval - MinRequestInterval : peer.announced != peer.received;
    return hasUnsentChanges || hasUnreadChanges;
}

void LimitExchange::onAnswer(const Message &sent, const std::optional<LimitUpdate> &answer)
{
    const auto found = peers_.find(sent.peer);
    if (found == peers_.end()) {
        return;
    }
    Peer &peer = found->second;
    peer.isRequestPending = false;
    if (!answer) {
        peer.nextRequest += RetryPause;
        return;
    }
    peer.acknowledged = sent.update.version.sequence;
    peer.received = answer->version;
    peer.announced = answer->version;
    const std::uint64_t before = sequence_;
    applyReports(answer->reports);
    if (peer.acknowledged == before) {
        // The peer's own reports need not be sent back to it.
        peer.acknowledged = sequence_;
    }
}

LimitUpdate LimitExchange::onUpdate(const LimitUpdate &update)
{
    const std::uint64_t since = update.receiverVersion.process == process_ ? update.receiverVersion.sequence : 0;
    // Reports that the sender already has are not sent back to it.
    auto reports = changedSince(since);
    std::erase_if(reports, [&update](const LimitReport &report) {
        return std::any_of(update.reports.begin(), update.reports.end(), [&report](const LimitReport &sent) {
            return sent.server == report.server && sent.observedAt >= report.observedAt;
        });
    });
    applyReports(update.reports);
    return {version(), update.version, std::move(reports)};
}

std::vector<LimitReport> LimitExchange::takeLearned()
{
    return std::exchange(learned_, {});
}

bool LimitExchange::applyReport(const LimitReport &report)
{
    const auto [found, isNew] = entries_.try_emplace(report.server, Entry{report, 0});
    Entry &entry = found->second;
    if (!isNew && report.observedAt <= entry.report.observedAt) {
        return false;
    }
    const bool isConfirmed = report.observedAt - entry.report.observedAt >= LimitConfirmInterval / 2;
    const bool isChanged = isNew || isConfirmed || report.perSecond != entry.report.perSecond;
    entry.report = report;
    if (isChanged) {
        entry.sequence = ++sequence_;
        evictOldest();
    }
    return isChanged;
}

void LimitExchange::applyReports(const std::vector<LimitReport> &reports)
{
    for (const LimitReport &report : reports) {
        if (applyReport(report)) {
            learned_.push_back(report);
        }
    }
}

std::vector<LimitReport> LimitExchange::changedSince(std::uint64_t sequence) const
{
    std::vector<LimitReport> changed;
    for (const auto &[server, entry] : entries_) {
        if (entry.sequence > sequence) {
            changed.push_back(entry.report);
        }
    }
    return changed;
}

void LimitExchange::evictOldest()
{
    if (entries_.size() <= MaxServers) {
        return;
    }
    const auto isOlder = [](const auto &left, const auto &right) { return left.second.sequence < right.second.sequence; };
    entries_.erase(std::min_element(entries_.begin(), entries_.end(), isOlder));
}

} // namespace Cloverbarrow
