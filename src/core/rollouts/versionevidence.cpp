/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/rollouts/versionevidence.h"

#include <algorithm>
#include <cmath>

namespace Cloverbarrow
{

namespace
{

// Sequential probability ratio test (Wald, 1945): the target version is faulty if its share of bad answers is more likely to be the faulty share below than
// the share of the other servers.
constexpr double MaxFalseAlarms = 1e-4;
// Odds in favour of a sound version that are required to give it more requests.
constexpr double RequiredOdds = 20;
// A single faulty server must not decide.
constexpr std::int64_t MinBadAnswers = 4;
// Kinds of request with fewer answers of the target version than this share of them are judged together with the others only.
constexpr double MinKindShare = 0.05;
constexpr std::int64_t MinAnswersOfKind = 8;

/// A share of bad answers that is usual for the service, and one that shows a fault.
struct Shares {
    double usual;
    double faulty;
};

struct FailureTest {
    static std::int64_t badAnswers(const AnswerCounts &counts)
    {
        return counts.failures;
    }
    static Shares shares(double others)
    {
        // Errors are rare, so a few of them already are unusual.
        const double usual = std::clamp(others + 0.01, 0.02, 0.6);
        return {usual, std::min(0.95, std::max(0.15, 3 * usual))};
    }
};

struct SlowTest {
    static std::int64_t badAnswers(const AnswerCounts &counts)
    {
        return counts.slow;
    }
    static Shares shares(double others)
    {
        // The latency of sound servers varies with the load of their VMs.
        const double usual = std::clamp(others + 0.05, 0.1, 0.6);
        return {usual, std::min(0.95, std::max(0.4, 2.5 * usual))};
    }
};

template<typename Test>
VersionVerdict compare(const AnswerCounts &target, const AnswerCounts &others)
{
    // Without answers of the other servers, one bad answer of a few is assumed.
    constexpr double PriorAnswers = 20;
    constexpr double PriorBad = 0.2;
    const double othersBad = (static_cast<double>(Test::badAnswers(others)) + PriorBad) / (static_cast<double>(others.answers) + PriorAnswers);
    const Shares shares = Test::shares(othersBad);
    const auto bad = static_cast<double>(Test::badAnswers(target));
    const double good = static_cast<double>(target.answers) - bad;
    const double logOdds = bad * std::log(shares.faulty / shares.usual) + good * std::log((1 - shares.faulty) / (1 - shares.usual));
    if (logOdds >= -std::log(MaxFalseAlarms) && Test::badAnswers(target) >= MinBadAnswers) {
        return VersionVerdict::Faulty;
    }
    return logOdds <= -std::log(RequiredOdds) ? VersionVerdict::Sound : VersionVerdict::Undecided;
}

VersionVerdict worse(VersionVerdict left, VersionVerdict right)
{
    if (left == VersionVerdict::Faulty || right == VersionVerdict::Faulty) {
        return VersionVerdict::Faulty;
    }
    return left == VersionVerdict::Sound && right == VersionVerdict::Sound ? VersionVerdict::Sound : VersionVerdict::Undecided;
}

VersionVerdict judge(const VersionEvidence::Comparison &comparison)
{
    return worse(compare<FailureTest>(comparison.target, comparison.others), compare<SlowTest>(comparison.target, comparison.others));
}

} // namespace

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &other)
{
    answers += other.answers;
    failures += other.failures;
    slow += other.slow;
    return *this;
}

void VersionEvidence::record(const VersionOutcome &outcome)
{
    Comparison &comparison = comparisons_[outcome.objective];
    AnswerCounts &counts = outcome.isTargetVersion ? comparison.target : comparison.others;
    counts += {1, outcome.isFailure ? 1 : 0, outcome.isSlow ? 1 : 0};
}

void VersionEvidence::add(const VersionEvidence &other)
{
    for (const auto &[objective, comparison] : other.comparisons_) {
        comparisons_[objective].target += comparison.target;
        comparisons_[objective].others += comparison.others;
    }
}

void VersionEvidence::set(Duration objective, const Comparison &comparison)
{
    comparisons_[objective] = comparison;
}

const std::map<Duration, VersionEvidence::Comparison> &VersionEvidence::byObjective() const
{
    return comparisons_;
}

bool VersionEvidence::isEmpty() const
{
    return comparisons_.empty();
}

std::int64_t VersionEvidence::targetAnswers() const
{
    std::int64_t sum = 0;
    for (const auto &[objective, comparison] : comparisons_) {
        sum += comparison.target.answers;
    }
    return sum;
}

VersionVerdict VersionEvidence::verdict() const
{
    Comparison total;
    for (const auto &[objective, comparison] : comparisons_) {
        total.target += comparison.target;
        total.others += comparison.others;
    }
    VersionVerdict verdict = judge(total);
    for (const auto &[objective, comparison] : comparisons_) {
        const VersionVerdict ofKind = judge(comparison);
        const bool isFrequent = static_cast<double>(comparison.others.answers) >= MinKindShare * static_cast<double>(total.others.answers);
        // A fault on one route only must not be missed because that route had too few answers yet.
        const bool isMissing = isFrequent && comparison.target.answers < MinAnswersOfKind;
        if (ofKind == VersionVerdict::Faulty) {
            verdict = ofKind;
        } else if (isMissing) {
            verdict = worse(verdict, VersionVerdict::Undecided);
        }
    }
    return verdict;
}

} // namespace Cloverbarrow
