/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/answertime.h"
#include "core/backendpool.h"
#include "core/probeallowance.h"
#include "core/random.h"
#include "core/time.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// The state of choosing a server for one attempt.
struct Choice {
    bool isHedge = false;
    int round = 0;
    std::size_t pending = 0; ///< Probes that have not come back.
    std::vector<std::string> asked; ///< Servers probed so far.
    TimePoint decideAt; ///< Probes that are not back by then are not waited for.
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
    void configure(const Service &service);

    /// Begins the next round. @return indices of the servers to probe; empty when none is worth it or allowed.
    std::vector<std::size_t> nextRound(TimePoint now, const BackendPool &pool, std::span<const std::string> tried, Choice &choice, Random &random);
    /// Looks at what has come back. @param timeLeft within which an answer is wanted.
    ChoiceStep look(
        TimePoint now, const BackendPool &pool, std::span<const std::string> tried, Duration objective, Duration timeLeft, const Choice &choice) const;

    AnswerTimeModel &model();
    const AnswerTimeModel &model() const;

private:
    bool isBestPoor(double bestMs, Duration objective) const;

    AnswerTimeModel model_;
    ProbeAllowance allowance_;
};

} // namespace Cloverbarrow
