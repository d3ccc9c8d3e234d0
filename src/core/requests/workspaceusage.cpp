/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/workspaceusage.h"

#include <algorithm>
#include <cstddef>

namespace Cloverbarrow
{

namespace
{

// Requests over which the usual use of a workspace is learned: at 76 workspaces and 5 requests a second, about two minutes.
constexpr double UsualUseWindow = 30;
// Weight of the mean of all workspaces in the usual use of a workspace that has sent few requests to this entry VM.
constexpr double OthersWeight = 3; // requests
// Bounds the memory of an entry VM; deployments have about a hundred workspaces.
constexpr std::size_t MaxWorkspaces = 4096;
// Uses below this are too small for a quotient to mean anything.
constexpr double MinUse = 0.001;

} // namespace

void WorkspaceUsage::count(std::uint64_t workspace, double quotaUse, bool isShortage)
{
    if (workspace == 0 || quotaUse <= 0) {
        return;
    }
    reciprocalGrowth_.add(1 / growth(workspace, quotaUse));
    if (isShortage || (usualUse_.size() >= MaxWorkspaces && !usualUse_.contains(workspace))) {
        return;
    }
    usualUse_.try_emplace(workspace, meanUse_.value(), OthersWeight, UsualUseWindow).first->second.add(quotaUse);
    meanUse_.add(quotaUse);
}

double WorkspaceUsage::relativeUse(std::uint64_t workspace, double quotaUse) const
{
    return workspace == 0 || quotaUse <= 0 ? 1 : growth(workspace, quotaUse) * reciprocalGrowth_.value();
}

double WorkspaceUsage::growth(std::uint64_t workspace, double quotaUse) const
{
    const auto found = usualUse_.find(workspace);
    const double usual = found == usualUse_.end() ? meanUse_.value() : found->second.value();
    return usual < MinUse ? 1 : std::max(quotaUse, MinUse) / usual;
}

} // namespace Cloverbarrow
