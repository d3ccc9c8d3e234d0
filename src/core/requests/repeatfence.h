/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <array>
#include <cstdint>

namespace Cloverbarrow
{

/// This entry VM's part of a budget on repeated arrivals that counts over a sliding window.
struct RepeatWindow {
    double ratio = 0; ///< Repeats for each request of the window.
    double share = 0; ///< Repeats on top of that in any window.

    bool operator==(const RepeatWindow &) const = default;
};

/// Counts requests and repeats of the last window, so that the repeats of no window exceed the part of this entry VM.
class RepeatFence
{
public:
    void setWindow(const RepeatWindow &window);
    void addRequest(TimePoint now);
    /// @param reserve repeats that must be left afterwards.
    bool allows(TimePoint now, int reserve) const;
    void addRepeat(TimePoint now);

private:
    // The users' budget counts over ten seconds (`retry_window_s`); steps of one second are fine enough with the margin
    // that is taken off the ratio.
    static constexpr int Steps = 10;
    static constexpr Duration StepTime = seconds(1);

    struct Step {
        std::int64_t number = -1;
        int requests = 0;
        int repeats = 0;
    };

    static std::int64_t stepAt(TimePoint now);
    Step &stepFor(TimePoint now);

    RepeatWindow window_;
    std::array<Step, Steps + 1> steps_; ///< By number modulo their count; the oldest is only partly in the window.
};

} // namespace Cloverbarrow
