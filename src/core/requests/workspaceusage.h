/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/adaptivemean.h"

#include <cstdint>
#include <map>

namespace Cloverbarrow
{

/// Learns which fraction of its quota each workspace usually uses, to determine under shortage which ones send more than their usual load.
class WorkspaceUsage
{
public:
    /// Counts a request. @param workspace hash of its name; 0 for an anonymous caller. @param quotaUse fraction of its quota in use; 0 if unknown.
    /// @param isShortage whether capacity is scarce; the usual use is not learned then.
    void count(std::uint64_t workspace, double quotaUse, bool isShortage);
    /// @return use of the quota as a multiple of the workspace's usual use, relative to all workspaces; 1 if unknown.
    double relativeUse(std::uint64_t workspace, double quotaUse) const;

private:
    double growth(std::uint64_t workspace, double quotaUse) const;

    std::map<std::uint64_t, AdaptiveMean> usualUse_;
    AdaptiveMean meanUse_{0, 0, 100}; ///< Of all workspaces, over 100 requests.
    // The mean of the reciprocals weights each workspace alike: one that sends many times its usual load contributes many requests with small values.
    AdaptiveMean reciprocalGrowth_{1, 1, 40}; ///< Over 40 requests, about 10 s of one entry VM.
};

} // namespace Cloverbarrow
