/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <atomic>

namespace Cloverbarrow
{

/// What the operator has requested by signals. Trivially destructible, so that a static object may be used by signal handlers until the process has ended.
class OperatorRequests
{
public:
    /// Requests a graceful shutdown; a second call requests an immediate one. Async-signal-safe.
    void requestStop()
    {
        ++stops_;
    }
    /// Requests that the settings file is read again. Async-signal-safe.
    void requestReload()
    {
        isReloadRequested_ = true;
    }
    /// @return number of calls to requestStop().
    int stops() const
    {
        return stops_;
    }
    /// @return whether a reload has been requested since the last call.
    bool takeReload()
    {
        return isReloadRequested_.exchange(false);
    }

private:
    static_assert(std::atomic<int>::is_always_lock_free && std::atomic<bool>::is_always_lock_free);

    std::atomic<int> stops_{0};
    std::atomic<bool> isReloadRequested_{false};
};

} // namespace Cloverbarrow
