/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/shutdownsequence.h"

namespace Cloverbarrow
{

namespace
{
// A working platform accepts released shares and unpublished reports within a few calls.
constexpr Duration ReleaseTimeout = seconds(3);
} // namespace

ShutdownSequence::ShutdownSequence(Duration notice, Duration limit)
    : notice_(notice)
    , limit_(limit)
{
}

void ShutdownSequence::requestStop(TimePoint now)
{
    if (phase_ == Phase::Serving) {
        phase_ = Phase::NotReady;
        requestedAt_ = now;
    } else {
        phase_ = Phase::Done;
    }
}

ShutdownSequence::Phase ShutdownSequence::advance(TimePoint now, const RemainingWork &remaining)
{
    // The remaining work was counted while requests were still accepted, so it is only complete from the next call on.
    const bool wasFinishing = phase_ == Phase::Finishing;
    if (phase_ == Phase::NotReady && now - requestedAt_ >= notice_) {
        phase_ = Phase::Finishing;
    }
    const bool isReleased = (!remaining.holdsShares && !remaining.hasUnpublishedReports) || now - requestedAt_ >= notice_ + ReleaseTimeout;
    const bool isFinished = wasFinishing && remaining.isEmpty() && isReleased;
    const bool isOverdue = phase_ != Phase::Serving && now - requestedAt_ >= limit_;
    if (isFinished || isOverdue) {
        phase_ = Phase::Done;
    }
    return phase_;
}

std::optional<TimePoint> ShutdownSequence::abandonsAt() const
{
    return phase_ == Phase::Serving ? std::nullopt : std::optional(requestedAt_ + limit_);
}

ShutdownSequence::Phase ShutdownSequence::phase() const
{
    return phase_;
}

} // namespace Cloverbarrow
