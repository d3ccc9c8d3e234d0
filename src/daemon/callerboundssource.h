/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"
#include "net/callerconnection.h"

#include <functional>
#include <mutex>
#include <optional>

namespace Cloverbarrow
{

/// The limits for callers, which follow from the settings and from the configuration. Thread-safe, since these change on different threads.
class CallerBoundsSource
{
public:
    /// @param settings limits according to the settings only. @param apply receives the limits after each change, in the order of the changes.
    CallerBoundsSource(const CallerBounds &settings, std::function<void(const CallerBounds &)> apply);

    /// Replaces the limits according to the settings.
    void setSettings(const CallerBounds &settings);
    /// Replaces the limits of the configuration. @param limits nothing if the configuration has none.
    void setConfigured(const std::optional<CallerLimits> &limits);

private:
    /// The mutex must be held.
    void apply() const;

    std::function<void(const CallerBounds &)> apply_;
    std::mutex mutex_;
    CallerBounds settings_;
    std::optional<CallerLimits> configured_;
};

} // namespace Cloverbarrow
