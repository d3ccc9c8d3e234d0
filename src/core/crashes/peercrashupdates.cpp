/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/peercrashupdates.h"

#include <algorithm>
#include <iterator>

namespace Cloverbarrow
{

bool PeerCrashUpdates::apply(TimePoint now, const CrashUpdate &update)
{
    const Process process(update.entryVm, update.process);
    if (!processes_.contains(process)) {
        evictOldest();
    }
    auto [entry, isNew] = processes_.try_emplace(process);
    ProcessState &state = entry->second;
    if (!isNew && update.sequenceNumber <= state.update.sequenceNumber) {
        return false;
    }
    const bool hasChanged = isNew || update.report != state.update.report || update.suspected != state.update.suspected;
    state.update = update;
    state.receivedAt = now;
    state.isForwarded = state.isForwarded && !hasChanged;
    std::set<ServerCrash> reported(update.report.crashes.begin(), update.report.crashes.end());
    reported.insert(update.suspected.begin(), update.suspected.end());
    std::erase_if(state.firstReceivedAt, [&reported](const auto &entry) { return !reported.contains(entry.first); });
    for (const ServerCrash &crash : reported) {
        state.firstReceivedAt.try_emplace(crash, now);
    }
    return hasChanged;
}

void PeerCrashUpdates::evictOldest()
{
    while (processes_.size() >= MaxProcesses) {
        processes_.erase(std::min_element(
            processes_.begin(), processes_.end(), [](const auto &left, const auto &right) { return left.second.receivedAt < right.second.receivedAt; }));
    }
}

void PeerCrashUpdates::setRefusedAt(TimePoint now)
{
    refusedAt_ = now;
}

bool PeerCrashUpdates::expire(TimePoint now, const IsStored &isStored, Duration crashLifetime)
{
    bool hasDropped = false;
    for (auto &[process, state] : processes_) {
        if (now - state.receivedAt > PeerSuspicionLifetime && !state.update.suspected.empty()) {
            state.update.suspected.clear();
            hasDropped = true;
        }
    }
    const auto isExpired = [now, &isStored, crashLifetime](const auto &entry) {
        const ProcessState &state = entry.second;
        const auto &crashes = state.update.report.crashes;
        const bool hasNothingOpen = state.update.suspected.empty() && std::all_of(crashes.begin(), crashes.end(), isStored);
        return now - state.receivedAt > crashLifetime || (hasNothingOpen && now - state.receivedAt > LateUpdateLimit);
    };
    return std::erase_if(processes_, isExpired) > 0 || hasDropped;
}

std::vector<ServerCrash> PeerCrashUpdates::takeOverdue(TimePoint now, Duration delay, const IsStored &isStored)
{
    std::vector<ServerCrash> overdue;
    for (auto &[process, state] : processes_) {
        for (const ServerCrash &crash : state.update.report.crashes) {
            if (now - state.firstReceivedAt.at(crash) >= delay && state.reportedByProxy.insert(crash).second && !isStored(crash)) {
                overdue.push_back(crash);
            }
        }
        if (now - std::max(state.receivedAt, refusedAt_) < UnresponsiveLimit) {
            continue;
        }
        for (const ServerCrash &suspicion : state.update.suspected) {
            if (state.suspicionsReportedByProxy.insert(suspicion).second && !isStored(suspicion)) {
                overdue.push_back(suspicion);
            }
        }
    }
    return overdue;
}

std::vector<CrashUpdate> PeerCrashUpdates::takeUnforwarded(const std::function<bool(const CrashUpdate &)> &isWorthForwarding)
{
    std::vector<CrashUpdate> unforwarded;
    for (auto &[process, state] : processes_) {
        if (!state.isForwarded && (state.wasForwarded || isWorthForwarding(state.update))) {
            state.isForwarded = true;
            state.wasForwarded = true;
            unforwarded.push_back(state.update);
        }
    }
    return unforwarded;
}

std::vector<ServerCrash> PeerCrashUpdates::suspectedBefore(TimePoint until) const
{
    std::vector<ServerCrash> all;
    for (const auto &[process, state] : processes_) {
        const auto &since = state.firstReceivedAt;
        const auto isBefore = [&since, until](const ServerCrash &crash) { return since.at(crash) <= until; };
        std::copy_if(state.update.suspected.begin(), state.update.suspected.end(), std::back_inserter(all), isBefore);
    }
    return all;
}

std::vector<CrashUpdate> PeerCrashUpdates::all() const
{
    std::vector<CrashUpdate> all;
    for (const auto &[process, state] : processes_) {
        all.push_back(state.update);
    }
    return all;
}

} // namespace Cloverbarrow
