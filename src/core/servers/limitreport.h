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

/// A limit that still stands is told again after this time.
constexpr Duration LimitConfirmPause = seconds(2);

/// What some entry VM has heard of the limit on one server's requests.
struct LimitReport {
    std::string server;
    std::optional<double> perSecond; ///< Nothing when the limit has ended.
    TimePoint heardAt;

    bool operator==(const LimitReport &) const = default;
};

} // namespace Cloverbarrow
