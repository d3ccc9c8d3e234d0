/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/random.h"
#include "core/time.h"

#include <cstddef>
#include <span>
#include <variant>

namespace Cloverbarrow
{

struct Backend;

/// Any server, with equal chance.
struct RandomPick {
};

/// Each server in turn.
struct RoundRobinPick {
    std::size_t next = 0;
};

/// The server with the fewest attempts of this entry VM.
struct LeastInFlightPick {
};

/// The better of two random servers, by attempts of this entry VM.
struct TwoChoicesPick {
};

/// The server with the least estimated load: own attempts, and what the server's last report says
/// that others had there, faded by its age.
struct LoadReportPick {
    Duration halfLife = milliseconds(50); ///< Age at which a report counts half.
    int choices = 0; ///< Random servers compared; 0 compares all.
};

using PickPolicy = std::variant<RandomPick, RoundRobinPick, LeastInFlightPick, TwoChoicesPick, LoadReportPick>;

/// Chooses one of @p candidates, which are indices into @p backends. There is at least one.
std::size_t pickBackend(PickPolicy &policy, std::span<const Backend> backends, std::span<const std::size_t> candidates, TimePoint now, Random &random);

} // namespace Cloverbarrow
