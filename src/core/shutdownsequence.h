/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstddef>
#include <optional>

namespace Cloverbarrow
{

/// What is still under way in this entry VM.
struct WorkLeft {
    std::size_t requests = 0;
    std::size_t payouts = 0; ///< Whose record is not yet as it should be.
    bool holdsShares = false; ///< Not given back yet; their lease lapses by itself.
    bool hasUntold = false; ///< The store does not hold yet what only this process has seen.

    /// @return whether nothing is left that a caller could miss.
    bool isNone() const
    {
        return requests == 0 && payouts == 0;
    }
};

/// The steps of a graceful shutdown: say "not ready" and keep serving while the platform's balancer takes
/// notice; then accept no more connections; then finish what is in flight; then exit.
class ShutdownSequence
{
public:
    enum class Phase {
        Serving,
        NotReady, ///< Still serves whatever comes.
        Finishing, ///< Accepts no new connection.
        Done,
    };

    /// @param notice how long the balancer needs to notice, @param limit after which what is left is given up.
    ShutdownSequence(Duration notice, Duration limit);

    /// A stop was asked for; a second time means at once.
    void requested(TimePoint now);
    /// @return the phase after looking at what is left.
    Phase advance(TimePoint now, const WorkLeft &left);
    Phase phase() const;

private:
    Duration notice_;
    Duration limit_;
    Phase phase_ = Phase::Serving;
    TimePoint requestedAt_;
};

} // namespace Cloverbarrow
