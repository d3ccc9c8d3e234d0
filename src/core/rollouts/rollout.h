/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <optional>
#include <string>

namespace Cloverbarrow
{

/// Progress of a rollout, as stored for operators.
enum class RolloutState {
    Running,
    Completed, ///< All requests go to the target version. The other servers may be stopped without notice.
    RolledBack, ///< No request goes to the target version.
};

/// What the entry VMs have decided about a rollout.
struct RolloutStatus {
    RolloutState state = RolloutState::Running;
    std::string targetVersion;
    double share = 0; ///< Share of the requests that goes to the target version while the rollout is running.

    bool operator==(const RolloutStatus &) const = default;
};

/// Operators' order to move a service's requests to backend servers with another version of its software.
struct Rollout {
    std::string service;
    std::string targetVersion;
    Duration duration{0}; ///< Time within which it is to be completed or rolled back.
    std::optional<RolloutStatus> status; ///< Empty if nothing was decided about this target version yet.

    bool operator==(const Rollout &) const = default;
};

/// How requests of a service are divided between servers of a rollout's target version and the others.
struct VersionShift {
    std::string targetVersion;
    double targetShare = 0; ///< From 0 to 1.

    bool operator==(const VersionShift &) const = default;
};

/// Part of a service's servers that may get a request.
enum class VersionGroup {
    Any,
    Target, ///< Servers of the target version.
    Other, ///< All other servers.
};

} // namespace Cloverbarrow
