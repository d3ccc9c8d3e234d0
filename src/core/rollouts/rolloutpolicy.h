/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/rollouts/rollout.h"
#include "core/rollouts/versionevidence.h"
#include "core/support/time.h"

#include <string>
#include <variant>

namespace Cloverbarrow
{

/// Limits on the requests that a faulty version gets.
struct RolloutLimits {
    double exposureShare = 0.1; ///< Share of the service's requests, from the order until the end of the rollout's duration.

    bool operator==(const RolloutLimits &) const = default;
};

/// A running rollout, as far as decisions about it need.
struct RolloutProgress {
    Duration age{0}; ///< Time since the order.
    Duration duration{0};
    double share = 0; ///< Current share of the target version.
    Duration sinceShareChange{0};
};

/// Nothing changes yet.
struct KeepShare {
    bool operator==(const KeepShare &) const = default;
};

/// The target version gets a larger share of the requests.
struct RaiseShare {
    double share = 0;

    bool operator==(const RaiseShare &) const = default;
};

/// All entry VMs send all requests to the target version, so the other servers may be stopped.
struct CompleteRollout {
    bool operator==(const CompleteRollout &) const = default;
};

struct RollBack {
    std::string reason;

    bool operator==(const RollBack &) const = default;
};

using RolloutDecision = std::variant<KeepShare, RaiseShare, CompleteRollout, RollBack>;

/// @return share of the requests that the target version gets from the order on.
double initialShare(const RolloutLimits &limits);

/// Decides how a rollout goes on. The share stays low for nearly half of the duration, because a fault may show late, and then rises in few steps, because a
/// fault may show only under load. @param evidence all answers since the order. @param recent answers since the share was last raised.
RolloutDecision decideRollout(const RolloutLimits &limits, const RolloutProgress &progress, const VersionEvidence &evidence, const VersionEvidence &recent);

} // namespace Cloverbarrow
