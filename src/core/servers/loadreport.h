/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

namespace Cloverbarrow
{

/// What a backend server tells of its load.
struct LoadReport {
    int running = 0; ///< Requests; with those waiting where the server does not tell them apart.
    int waiting = 0;
    int slots = 0; ///< 0 when it does not say.
    double slowness = 1; ///< How long work takes on its VM now, as a multiple of the usual.

    bool operator==(const LoadReport &) const = default;
};

} // namespace Cloverbarrow
