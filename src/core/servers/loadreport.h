/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

namespace Cloverbarrow
{

/// The load that a backend server reports.
struct LoadReport {
    int running = 0; ///< Requests being executed, including waiting ones if the server does not report these separately.
    int waiting = 0; ///< Queued requests.
    int slots = 0; ///< Requests that the server can execute at a time; 0 if not reported.
    double slowness = 1; ///< Current execution time on its VM as a multiple of the usual time.

    bool operator==(const LoadReport &) const = default;
};

} // namespace Cloverbarrow
