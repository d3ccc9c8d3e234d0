/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <string>

namespace Cloverbarrow
{

/// What makes two requests the same one sent again, whatever their ids and the entry VMs that they reach.
struct RequestContent {
    std::string digest; ///< Of method, host, target and body.
    std::string caller; ///< Digest of the address that it came from.

    auto operator<=>(const RequestContent &) const = default;
};

} // namespace Cloverbarrow
