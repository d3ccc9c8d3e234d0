/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <string>
#include <variant>

namespace Cloverbarrow
{

/// The answer requests no backoff.
struct NoBackoff {
    bool operator==(const NoBackoff &) const = default;
};

/// The backend server asks this entry VM to send it no requests for some time.
struct BackoffRequest {
    Duration duration{0}; ///< Counted from the receipt of the answer.

    bool operator==(const BackoffRequest &) const = default;
};

/// The answer requests a backoff that cannot be parsed.
struct UnreadableBackoff {
    std::string text;

    bool operator==(const UnreadableBackoff &) const = default;
};

/// The backoff that an answer of a backend server requests.
using BackoffNotice = std::variant<NoBackoff, BackoffRequest, UnreadableBackoff>;

/// A backoff that a backend server has requested, as one entry VM reports it to another.
struct ServerBackoff {
    std::string server;
    Duration remaining{0};

    bool operator==(const ServerBackoff &) const = default;
};

} // namespace Cloverbarrow
