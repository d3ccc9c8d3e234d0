/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/httpmessage.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace Cloverbarrow
{

/// Bounds on one request, in bytes.
struct RequestLimits {
    std::size_t head = 32 * 1024;
    std::size_t target = 8 * 1024;
    std::size_t body = 8 * 1024 * 1024;
};

/// The request is not whole yet.
struct NeedsMore {
    bool wantsContinue = false; ///< The sender waits for "100 Continue".
};

/// The request is refused; where the next one would start is not known.
struct FramingFault {
    int status = 400;
    std::string message;
};

using FramingResult = std::variant<NeedsMore, HttpRequest, FramingFault>;

/// Cuts one HTTP/1.1 request off a caller's bytes, strictly: whatever two readers could understand
/// differently is refused. The bytes are kept as they came; a library's map of headers or query keys loses
/// repeated ones and their order.
/// @param buffer bytes of the connection; those of a whole request are removed.
FramingResult frameRequest(std::string &buffer, const RequestLimits &limits);

} // namespace Cloverbarrow
