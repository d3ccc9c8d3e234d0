/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <string>

namespace Cloverbarrow
{

/// Identifies one process of an entry VM. A restarted entry VM keeps its name and has a new nonce.
struct Incarnation {
    std::string name; ///< Name of the entry VM.
    std::string nonce; ///< Chosen at random at start, so that no two processes share it.

    auto operator<=>(const Incarnation &) const = default;
    /// @return whether this identifies no process.
    bool isNone() const
    {
        return name.empty();
    }
};

} // namespace Cloverbarrow
