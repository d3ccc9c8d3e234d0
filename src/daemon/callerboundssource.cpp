/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/callerboundssource.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

CallerBoundsSource::CallerBoundsSource(const CallerBounds &settings, std::function<void(const CallerBounds &)> apply)
    : apply_(std::move(apply))
    , settings_(settings)
{
}

void CallerBoundsSource::setSettings(const CallerBounds &settings)
{
    const std::lock_guard lock(mutex_);
    settings_ = settings;
    apply();
}

void CallerBoundsSource::setConfigured(const std::optional<CallerLimits> &limits)
{
    const std::lock_guard lock(mutex_);
    configured_ = limits;
    apply();
}

void CallerBoundsSource::apply() const
{
    CallerBounds bounds = settings_;
    if (configured_) {
        bounds.limits.head = configured_->headerBytes;
        bounds.limits.target = configured_->headerBytes;
        // The local setting limits the body as well because it protects the memory of this VM.
        bounds.limits.body = std::min(configured_->bodyBytes, bounds.limits.body);
        bounds.headTimeout = configured_->headerTime;
        bounds.transferTimeout = std::max(configured_->headerTime, bounds.transferTimeout);
        bounds.idleTimeout = configured_->idleTime;
    }
    // With the lock held, so that the newest limits are applied last.
    apply_(bounds);
}

} // namespace Cloverbarrow
