/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <string>

namespace Cloverbarrow
{

/// Identifies one run of an entry VM's process.
struct Incarnation {
    std::string name; ///< Name of the entry VM.
    std::string nonce; ///< Chosen at random at start, so that no two runs share it.

    auto operator<=>(const Incarnation &) const = default;
    /// @return whether this identifies no process.
    bool isNone() const
    {
        return name.empty();
    }
};

} // namespace Cloverbarrow
