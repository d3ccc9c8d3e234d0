/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashupdate.h"
#include "core/support/time.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Cloverbarrow
{

/// Latest crash update of each process of the peers. The update of a killed process is kept, since its successor does not have its observations and
/// cannot replace it.
class PeerCrashUpdates
{
public:
    /// Processes whose updates are kept; the one that has sent nothing for longest is evicted first. Many more than lose answers at the same time.
    static constexpr std::size_t MaxProcesses = 64;
    /// How long the suspicions of a process are kept after its last update.
    static constexpr Duration PeerSuspicionLifetime = seconds(30);
    /// How long updates that the store contains are kept, so that older updates which arrive late are recognised.
    static constexpr Duration LateUpdateLimit = seconds(5);
    /// Processes send their updates again more often than this, so one that is unresponsive for longer may have crashed.
    static constexpr Duration UnresponsiveLimit = milliseconds(2000);

    using IsStored = std::function<bool(const ServerCrash &crash)>;

    /// Applies an update of a process unless it is not newer than the last one. @return whether its content differs from the one before.
    bool apply(TimePoint now, const CrashUpdate &update);
    /// Updates may have been refused until @p now, so processes do not count as unresponsive before UnresponsiveLimit has passed since then.
    void setRefusedAt(TimePoint now);
    /// Drops updates that the store contains and those that are too old. @return whether anything was dropped.
    bool expire(TimePoint now, const IsStored &isStored, Duration crashLifetime);
    /// @return what a proxy reporter should write to the store: crashes that the store does not contain @p delay after they were received, and
    /// suspicions of processes that have become unresponsive. Each is returned once.
    std::vector<ServerCrash> takeOverdue(TimePoint now, Duration delay, const IsStored &isStored);
    /// @return updates that have not been forwarded and that satisfy @p isWorthForwarding or replace an update that was forwarded.
    std::vector<CrashUpdate> takeUnforwarded(const std::function<bool(const CrashUpdate &update)> &isWorthForwarding);

    std::vector<CrashUpdate> all() const;
    /// @return suspicions that were first received by @p until.
    std::vector<ServerCrash> suspectedBefore(TimePoint until) const;

private:
    struct ProcessState {
        CrashUpdate update;
        TimePoint receivedAt; ///< When the last update was received.
        bool isForwarded = false; ///< Whether followers have this update.
        bool wasForwarded = false; ///< Whether followers have an earlier update of the process, so that they need withdrawals too.
        std::map<ServerCrash, TimePoint> firstReceivedAt; ///< When each crash and suspicion was first received.
        std::set<ServerCrash> reportedByProxy; ///< Crashes that takeOverdue() has handled.
        std::set<ServerCrash> suspicionsReportedByProxy; ///< Suspicions that takeOverdue() has handled.
    };
    using Process = std::pair<std::string, std::string>; ///< Names of entry VM and process.

    void evictOldest();

    std::map<Process, ProcessState> processes_;
    TimePoint refusedAt_; ///< When updates of some processes were last refused.
};

} // namespace Cloverbarrow
