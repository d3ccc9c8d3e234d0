/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/rollouts/versionsplitter.h"

namespace Cloverbarrow
{

VersionSplitter::VersionSplitter(double start)
    : position_(start)
{
}

void VersionSplitter::setShift(const std::optional<VersionShift> &shift)
{
    shift_ = shift;
}

VersionGroup VersionSplitter::next(const BackendPool &pool)
{
    if (!shift_) {
        return VersionGroup::Any;
    }
    position_ += shift_->targetShare;
    const bool isTarget = position_ >= 1;
    position_ -= isTarget ? 1 : 0;
    return orOther(isTarget ? VersionGroup::Target : VersionGroup::Other, pool);
}

VersionGroup VersionSplitter::forRetry(const BackendPool &pool) const
{
    if (!shift_) {
        return VersionGroup::Any;
    }
    // A version that is still being judged gets no second attempt, which would count against its limited share.
    return orOther(shift_->targetShare < 1 ? VersionGroup::Other : VersionGroup::Target, pool);
}

VersionGroup VersionSplitter::reassign(VersionGroup group, const BackendPool &pool) const
{
    if (!shift_) {
        return VersionGroup::Any;
    }
    if (group == VersionGroup::Target && shift_->targetShare > 0) {
        return orOther(group, pool);
    }
    return forRetry(pool);
}

VersionGroup VersionSplitter::orOther(VersionGroup group, const BackendPool &pool)
{
    if (pool.hasCandidate(group)) {
        return group;
    }
    return group == VersionGroup::Target ? VersionGroup::Other : VersionGroup::Target;
}

} // namespace Cloverbarrow
