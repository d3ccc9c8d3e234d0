/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "core/workspaces/workspacetable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// How much the requests of a workspace may exceed its quota. In any `window`, at most (rate x window + burst) x (1 + overage) + slack of them may be sent.
struct QuotaTolerance {
    Duration window = seconds(5);
    double overage = 0.1;
    double slack = 20; ///< Requests.

    bool operator==(const QuotaTolerance &) const = default;
};

/// An entry VM asks for permission to send requests of one workspace.
struct QuotaClaim {
    std::string workspace;
    std::int64_t version = 0; ///< Version of the configuration that contains `quota`.
    WorkspaceQuota quota;
    int requests = 0;

    bool operator==(const QuotaClaim &) const = default;
};

/// Number of parts of the window into which requests are divided by age in a QuotaReport.
constexpr std::size_t QuotaReportParts = 10;

/// What one entry VM has admitted for a workspace within the window without a grant of the addressed granter.
struct QuotaReport {
    std::string workspace;
    std::vector<int> admitted; ///< Requests in each part of the window, newest first; missing parts are 0.

    bool operator==(const QuotaReport &) const = default;
};

/// Claims of one entry VM to the granter of these workspaces, and what it has admitted under other grants.
struct QuotaRequest {
    std::string entryVm; ///< Address of the entry VM.
    std::vector<QuotaClaim> claims; ///< Empty if the message only shows that the entry VM uses this granter.
    std::string granter; ///< Address of the granter.
    std::uint64_t incarnation = 0; ///< Process of the granter as known to the entry VM; 0 if not known.
    /// Entry VMs that may grant requests and may count this one among those that use them. The addressed one is included only if it has answered the last
    /// message. Nothing if the entry VM runs the previous release.
    std::optional<std::vector<std::string>> granters;
    Duration historyLength = Duration::max(); ///< How long this entry VM has counted what it admits.
    bool hasAllReports = false; ///< Whether a workspace without a report has admitted nothing; otherwise this holds for the claimed ones.
    std::vector<QuotaReport> reports;

    bool operator==(const QuotaRequest &) const = default;
};

/// Answer to one claim.
struct QuotaGrant {
    std::string workspace;
    int requests = 0; ///< Requests that may be sent, all of them soon.
    Duration retryAfter{0}; ///< Time until another request may be granted; 0 if all were granted.
    double use = 0; ///< Fraction of the quota that the workspace has used over the last window, with this grant; may exceed 1. 0 if not known.

    bool operator==(const QuotaGrant &) const = default;
};

/// Answer to one message.
struct QuotaAnswer {
    std::uint64_t incarnation = 0; ///< Process of the granter, a random number; 0 if it runs the previous release.
    std::vector<QuotaGrant> grants; ///< One for each claim.

    bool operator==(const QuotaAnswer &) const = default;
};

} // namespace Cloverbarrow
