/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

namespace Cloverbarrow
{

/// Bounds retries to a share of first attempts, plus a small start.
class RetryBudget
{
public:
    /// @param percent retries for each hundred first attempts.
    void setPercent(int percent);
    /// Counts a first attempt.
    void addFirstAttempt();
    /// @return whether a retry may be made; it is counted if so.
    bool take();

private:
    double perAttempt_ = 0.1;
    double tokens_ = 3;
};

} // namespace Cloverbarrow
