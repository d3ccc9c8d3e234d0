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

/// Work that is not yet finished in this entry VM.
struct RemainingWork {
    std::size_t requests = 0;
    std::size_t payouts = 0; ///< Payouts whose record is not yet in its final state.
    bool holdsShares = false; ///< Shares of probe budgets that have not been released yet; otherwise their leases expire.
    bool hasUnpublishedReports = false; ///< Some crash reports of this process have not been stored yet.

    /// @return whether no work for a caller is left.
    bool isEmpty() const
    {
        return requests == 0 && payouts == 0;
    }
};

/// The steps of a graceful shutdown: report "not ready" and keep serving until the platform's load balancer has noticed;
/// then accept no more connections; then finish what is in flight; then exit.
class ShutdownSequence
{
public:
    enum class Phase {
        Serving,
        NotReady, ///< Still accepts connections and serves requests.
        Finishing, ///< Accepts no new connections.
        Done,
    };

    /// @param notice time that the load balancer needs to notice. @param limit time after which unfinished work is abandoned.
    ShutdownSequence(Duration notice, Duration limit);

    /// Requests a stop. A second request skips to the end at once.
    void requestStop(TimePoint now);
    /// @param remaining the unfinished work. @return the resulting phase.
    Phase advance(TimePoint now, const RemainingWork &remaining);
    Phase phase() const;
    /// @return when unfinished work is abandoned; empty before a stop is requested.
    std::optional<TimePoint> abandonsAt() const;

private:
    Duration notice_;
    Duration limit_;
    Phase phase_ = Phase::Serving;
    TimePoint requestedAt_;
};

} // namespace Cloverbarrow
