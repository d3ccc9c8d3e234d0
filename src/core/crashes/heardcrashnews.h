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

/// News of other entry VMs, each kept under the process that saw what it tells. A process that was killed tells nothing more, and its successor
/// knows nothing of it, so its last news stay.
class HeardCrashNews
{
public:
    /// Processes of which news are kept; the longest silent go first. Many more than lose answers at once.
    static constexpr std::size_t MostKept = 64;
    /// Suspicions of a process that tells nothing more of them.
    static constexpr Duration SuspicionLifetime = seconds(30);
    /// News that the store shows are kept for so long, so that older ones which come late are known as such.
    static constexpr Duration LateLimit = seconds(5);
    /// A process repeats its news more often than this, so one that is silent for longer may have ended.
    static constexpr Duration SilenceLimit = milliseconds(2000);

    using IsShown = std::function<bool(const ServerEnd &end)>;

    /// @return whether they say anything else than the process did before.
    bool take(TimePoint now, const CrashNews &news);
    /// Forgets what the store shows and what is too old. @return whether anything was forgotten.
    bool expire(TimePoint now, const IsShown &isShown, Duration endLifetime);
    /// @return what another witness should tell the store, once: ends that it does not show @p delay after they were heard of, and suspicions of
    /// processes that have fallen silent.
    std::vector<ServerEnd> takeUnwitnessed(TimePoint now, Duration delay, const IsShown &isShown);
    /// @return news that followers have not been told, of those that @p isWorthTelling.
    std::vector<CrashNews> takeUntold(const std::function<bool(const CrashNews &news)> &isWorthTelling);

    std::vector<CrashNews> all() const;
    /// @return suspicions that were first heard of before @p until.
    std::vector<ServerEnd> suspectedBefore(TimePoint until) const;

private:
    struct Heard {
        CrashNews news;
        TimePoint at; ///< Last heard of.
        bool isTold = false; ///< To followers, as it is now.
        bool wasTold = false; ///< Earlier news of the process were, so followers have to hear of a withdrawal.
        std::map<ServerEnd, TimePoint> since; ///< When each end and suspicion was first heard of.
        std::set<ServerEnd> witnessed; ///< Ends that takeUnwitnessed() has told.
    };
    using Process = std::pair<std::string, std::string>; ///< Entry VM and process.

    void makeRoom();

    std::map<Process, Heard> heard_;
};

} // namespace Cloverbarrow
