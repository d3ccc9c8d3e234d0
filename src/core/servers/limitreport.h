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

/// Interval at which a limit that is still in force is confirmed to peers.
constexpr Duration LimitConfirmInterval = seconds(2);

/// The request limit of one server as observed by an entry VM.
struct LimitReport {
    std::string server;
    std::optional<double> perSecond; ///< Empty if the limit has ended.
    TimePoint observedAt;

    bool operator==(const LimitReport &) const = default;
};

} // namespace Cloverbarrow
