/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstddef>

namespace Cloverbarrow
{

/// Bounds the probes that one entry VM makes before its choices. The bound is fixed, so all entry VMs together
/// stay within theirs without asking each other.
class ProbeAllowance
{
public:
    /// @param perSecond most probes a second, in the mean.
    void setRate(double perSecond);
    /// @return whether a probe may be made now; it is counted if so.
    bool take(TimePoint now);

private:
    double perSecond_ = 0;
    double tokens_ = 0;
    TimePoint refilledAt_;
};

} // namespace Cloverbarrow
