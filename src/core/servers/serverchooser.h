/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/answertime.h"
#include "core/servers/backendpool.h"
#include "core/support/random.h"
#include "core/support/time.h"
#include "core/support/tokenbucket.h"

#include <cstddef>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// The state of choosing a server for one attempt.
struct Choice {
    bool isRescue = false; ///< For a second attempt, because the server of the first one has fallen silent.
    int round = 0;
    std::size_t pending = 0; ///< Probes that have not come back.
    std::vector<std::string> asked; ///< Servers probed so far.
    TimePoint decideAt; ///< Probes that are not back by then are not waited for.
};

/// What the request that a server is chosen for needs.
struct ChoiceNeed {
    Duration objective{0};
    Duration timeLeft{0}; ///< Within which an answer is wanted.
    bool isUrgent = false; ///< Goes before other requests of the service: may use slots that these leave free.
    bool isLate = false; ///< Cannot meet its objective any more; goes behind those that can.
    bool isLastCall = false; ///< Any server with room is better than none now.
    bool takesOldReports = false; ///< There are no newer ones to be had.
};

/// What follows from looking at a choice.
enum class ChoiceState {
    Wait, ///< For probes, or for the next round.
    Chosen,
    NeedsProbes, ///< Another round is due.
};

/// A choice's next step.
struct ChoiceStep {
    ChoiceState state = ChoiceState::Wait;
    std::string backend; ///< When chosen.
};

/// Chooses a server by what a few servers tell right before: load shifts within milliseconds, so older
/// reports say little. A server that does not answer a probe gets no request.
class ServerChooser
{
public:
    /// @param self name of this entry VM. @param pool that has been configured already.
    void configure(const Service &service, const BackendPool &pool, const std::string &self);

    /// Begins the next round. @return indices of the servers to probe; empty when none is worth it or allowed.
    std::vector<std::size_t> nextRound(TimePoint now, const BackendPool &pool, std::span<const std::string> tried, Choice &choice, Random &random);
    /// @return whether a probe beside the rounds may be made; it is counted if so.
    bool takeProbe(TimePoint now);
    /// Looks at what has come back.
    ChoiceStep look(TimePoint now, const BackendPool &pool, std::span<const std::string> tried, const ChoiceNeed &need, const Choice &choice) const;

    /// @return whether any server has told of itself lately, so that there is something to go by.
    static bool knowsAny(TimePoint now, const BackendPool &pool);

    AnswerTimeModel &model();
    const AnswerTimeModel &model() const;

private:
    /// @return whether a request may be sent to @p backend on what it last told.
    bool mayUse(const Backend &backend, const ChoiceNeed &need, TimePoint now) const;

    /// @return whether @p backend has as much room as such a request may ask for.
    bool fits(const Backend &backend, const ChoiceNeed &need) const;
    bool isUsual(const Backend &backend) const;

    AnswerTimeModel model_;
    /// The bound is fixed, so all entry VMs together stay within theirs without asking each other.
    TokenBucket allowance_{0, 0};
    double reserve_ = 0; ///< Probes that choices leave to takeProbe().
    std::set<std::string, std::less<>> usual_; ///< Servers that are probed first.
};

} // namespace Cloverbarrow
