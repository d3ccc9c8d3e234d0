/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/rollouts/rollout.h"
#include "core/servers/backendpool.h"

#include <optional>

namespace Cloverbarrow
{

/// Divides the requests of a service between versions while a rollout is running. Evenly spaced, so that few requests suffice to meet the share.
class VersionSplitter
{
public:
    /// @param start position in the sequence, from 0 to 1; differs between entry VMs so that they do not all begin with the same version.
    explicit VersionSplitter(double start);

    void setShift(const std::optional<VersionShift> &shift);
    /// @return the servers that may get the next request.
    VersionGroup next(const BackendPool &pool);
    /// @return the servers that may get the retry of a request.
    VersionGroup forRetry(const BackendPool &pool) const;
    /// @return the servers that may get a request that was assigned to @p group before the shift changed.
    VersionGroup reassign(VersionGroup group, const BackendPool &pool) const;

private:
    /// @return @p group, or the other one if the pool has no servers for it.
    static VersionGroup orOther(VersionGroup group, const BackendPool &pool);

    std::optional<VersionShift> shift_;
    double position_;
};

} // namespace Cloverbarrow
