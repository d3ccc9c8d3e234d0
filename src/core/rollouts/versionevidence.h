/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstdint>
#include <map>

namespace Cloverbarrow
{

/// Answers of one group of servers.
struct AnswerCounts {
    std::int64_t answers = 0;
    std::int64_t failures = 0; ///< Errors and lost answers.
    std::int64_t slow = 0; ///< Good answers that took several times the usual latency.

    AnswerCounts &operator+=(const AnswerCounts &other);
    bool operator==(const AnswerCounts &) const = default;
};

/// Outcome of one attempt while a rollout is running.
struct VersionOutcome {
    bool isTargetVersion = false;
    Duration objective{0}; ///< Latency objective of the request; requests of the same kind have the same.
    bool isFailure = false;
    bool isSlow = false;

    bool operator==(const VersionOutcome &) const = default;
};

/// Verdict on the target version of a rollout.
enum class VersionVerdict {
    Undecided, ///< Too few answers, or answers that fit either verdict.
    Sound,
    Faulty,
};

/// Answers of the target version and of the other servers in the same period, by kind of request.
class VersionEvidence
{
public:
    struct Comparison {
        AnswerCounts target;
        AnswerCounts others;

        bool operator==(const Comparison &) const = default;
    };

    void record(const VersionOutcome &outcome);
    void add(const VersionEvidence &other);
    void set(Duration objective, const Comparison &comparison);
    const std::map<Duration, Comparison> &byObjective() const;
    bool isEmpty() const;
    /// @return number of answers of the target version.
    std::int64_t targetAnswers() const;

    /// Compares failures and slow answers of the target version with those of the other servers, for each kind of request. The probability that a
    /// version as good as the others is found faulty is below one in ten thousand for each comparison.
    VersionVerdict verdict() const;

    bool operator==(const VersionEvidence &) const = default;

private:
    std::map<Duration, Comparison> comparisons_; ///< By latency objective.
};

} // namespace Cloverbarrow
