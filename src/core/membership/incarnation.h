/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <string>

namespace Cloverbarrow
{

/// One life of one entry VM's process.
struct Incarnation {
    std::string name; ///< Of the entry VM.
    std::string nonce; ///< Drawn at start; never the same twice.

    auto operator<=>(const Incarnation &) const = default;
    /// @return whether no process is meant.
    bool isNone() const
    {
        return name.empty();
    }
};

} // namespace Cloverbarrow
