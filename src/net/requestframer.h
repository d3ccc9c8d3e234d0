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

/// Size limits of one request, in bytes.
struct RequestLimits {
    std::size_t head = 32 * 1024;
    std::size_t target = 8 * 1024;
    std::size_t body = 8 * 1024 * 1024;
};

/// The request is not complete yet.
struct NeedsMore {
    bool wantsContinue = false; ///< The sender waits for "100 Continue".
};

/// The request is rejected. The connection cannot be used further, since the start of a next request is unknown.
struct FramingFault {
    int status = 400;
    std::string message;
};

using FramingResult = std::variant<NeedsMore, HttpRequest, FramingFault>;

/// Extracts one HTTP/1.1 request from a caller's bytes. The parser is strict: it rejects whatever two parsers could interpret
/// differently, which prevents request smuggling. It keeps target and headers as received, since the maps of headers and query keys of
/// HTTP libraries lose repeated keys and their order.
/// @param buffer bytes of the connection; those of a complete request are removed.
FramingResult frameRequest(std::string &buffer, const RequestLimits &limits);

} // namespace Cloverbarrow
