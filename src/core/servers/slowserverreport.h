/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <string>

namespace Cloverbarrow
{

/// What an entry VM has observed at a slow server.
enum class SlowServerCause {
    Slow, ///< A request took many times the usual time.
    LostResponse, ///< A request got no response, although the server was not full.
};

/// A report of an entry VM that a server is many times slower than is usual for its service, or that it loses responses.
struct SlowServerReport {
    /// Without further reports a server is used again after at most this time. A shorter time costs a request of the fleet for each server and
    /// lifetime; a longer one leaves a recovered server without requests.
    static constexpr Duration Lifetime = seconds(8);
    /// An entry VM that still observes the same reports it again after this time, before the first hints expire.
    static constexpr Duration RenewInterval = seconds(2);

    std::string server;
    SlowServerCause cause = SlowServerCause::Slow;
    TimePoint observedAt;

    bool operator==(const SlowServerReport &) const = default;
};

} // namespace Cloverbarrow
