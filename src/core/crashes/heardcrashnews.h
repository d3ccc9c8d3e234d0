/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashnews.h"
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
class HeardCrashNews
{
public:
    /// Processes whose updates are kept; the one that has sent nothing for longest is evicted first. Many more than lose answers at the same time.
    static constexpr std::size_t MostKept = 64;
    /// How long the suspicions of a process are kept after its last update.
    static constexpr Duration SuspicionLifetime = seconds(30);
    /// How long updates that the store contains are kept, so that older updates which arrive late are recognised.
    static constexpr Duration LateLimit = seconds(5);
    /// Processes send their updates again more often than this, so one that is unresponsive for longer may have crashed.
    static constexpr Duration SilenceLimit = milliseconds(2000);

    using IsShown = std::function<bool(const ServerEnd &crash)>;

    /// Takes a newer update of a process. @return whether its content differs from the one before.
    bool take(TimePoint now, const CrashNews &update);
    /// Drops updates that the store contains and those that are too old. @return whether anything was dropped.
    bool expire(TimePoint now, const IsShown &isStored, Duration crashLifetime);
    /// @return what a proxy reporter should write to the store: crashes that the store does not contain @p delay after they were received, each
    /// returned once, and suspicions of processes that have become unresponsive.
    std::vector<ServerEnd> takeUnwitnessed(TimePoint now, Duration delay, const IsShown &isStored);
    /// @return updates that have not been forwarded and that satisfy @p isWorthForwarding or replace an update that was forwarded.
    std::vector<CrashNews> takeUntold(const std::function<bool(const CrashNews &update)> &isWorthForwarding);

    std::vector<CrashNews> all() const;
    /// @return suspicions that were first received by @p until.
    std::vector<ServerEnd> suspectedBefore(TimePoint until) const;

private:
    struct Heard {
        CrashNews news;
        TimePoint at; ///< When the last update was received.
        bool isTold = false; ///< Whether followers have this update.
        bool wasTold = false; ///< Whether followers have an earlier update of the process, so that they need withdrawals too.
        std::map<ServerEnd, TimePoint> since; ///< When each crash and suspicion was first received.
        std::set<ServerEnd> witnessed; ///< Crashes that takeOverdue() has handled.
    };
    using Process = std::pair<std::string, std::string>; ///< Names of entry VM and process.

    void makeRoom();

    std::map<Process, Heard> heard_;
};

} // namespace Cloverbarrow
