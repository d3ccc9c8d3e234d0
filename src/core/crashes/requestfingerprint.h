/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <string>

namespace Cloverbarrow
{

/// Identifies copies of one request from one caller, independent of request ids and of the entry VMs that receive them.
struct RequestFingerprint {
    std::string digest; ///< Digest of method, host, target and body.
    std::string caller; ///< Digest of the caller's address.

    auto operator<=>(const RequestFingerprint &) const = default;
};

} // namespace Cloverbarrow
