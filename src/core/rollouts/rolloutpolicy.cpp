/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/rollouts/rolloutpolicy.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace Cloverbarrow
{

namespace
{

// The initial share leaves the rest of the tolerated exposure to the steps at which a fault that shows only under load is detected.
constexpr double InitialFraction = 0.4;
// An entry VM has received a change of the share by then, and answers under the new share have been counted.
constexpr Duration MinStepTime = milliseconds(1100);
// Before completion, requests that were sent to the other servers earlier must have ended, since these servers stop at once.
constexpr Duration SettlingTime = milliseconds(1600);
constexpr std::int64_t MinRecentAnswers = 10;

struct Step {
    double from; ///< Fraction of the rollout's duration.
    double share;
};

constexpr std::array Steps = {Step{0.45, 0.2}, Step{0.57, 0.5}, Step{0.68, 1.0}};
constexpr double CompletionFraction = 0.8;
// Later, the remaining steps would not fit into the duration.
constexpr double LatestFirstStepFraction = 0.7;

bool isPast(const RolloutProgress &progress, double fraction)
{
    return progress.age >= std::chrono::duration_cast<Duration>(progress.duration * fraction);
}

} // namespace

double initialShare(const RolloutLimits &limits)
{
    return limits.exposureShare * InitialFraction;
}

RolloutDecision decideRollout(const RolloutLimits &limits, const RolloutProgress &progress, const VersionEvidence &evidence, const VersionEvidence &recent)
{
    const VersionVerdict verdict = evidence.verdict();
    if (verdict == VersionVerdict::Faulty || recent.verdict() == VersionVerdict::Faulty) {
        return RollBack{"the target version gives more bad answers than the other servers"};
    }
    const bool isRaised = progress.share > initialShare(limits);
    if (!isRaised && verdict != VersionVerdict::Sound && isPast(progress, LatestFirstStepFraction)) {
        return RollBack{"too few answers of the target version to judge it"};
    }
    const bool isSettled = progress.sinceShareChange >= MinStepTime && recent.targetAnswers() >= MinRecentAnswers;
    if (verdict != VersionVerdict::Sound || (isRaised && !isSettled)) {
        return KeepShare{};
    }
    const auto *next = std::find_if(Steps.begin(), Steps.end(), [&progress](const Step &step) { return step.share > progress.share; });
    if (next != Steps.end()) {
        return isPast(progress, next->from) ? RolloutDecision(RaiseShare{next->share}) : KeepShare{};
    }
    const bool isComplete = isPast(progress, CompletionFraction) && progress.sinceShareChange >= SettlingTime;
    return isComplete ? RolloutDecision(CompleteRollout{}) : KeepShare{};
}

} // namespace Cloverbarrow
