/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "net/body.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// One header line, as received.
struct Header {
    std::string name;
    std::string value;

    bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

/// A complete HTTP request.
struct HttpRequest {
    std::string method;
    std::string target; ///< Exactly as received.
    Headers headers;
    Body body;
    bool keepsConnection = true;
    std::uint64_t number = 0; ///< Identifies the request on its connection until it is answered.
    Duration waited{0}; ///< How long it has waited at least since it arrived in full, e.g. unread in the socket.
};

/// A complete HTTP answer.
struct HttpAnswer {
    int status = 200;
    std::string reason;
    Headers headers;
    Body body;
    bool usedNewConnection = false; ///< A connection was opened for the call.
};

/// @return whether the names are equal, ignoring case.
bool isSameName(std::string_view left, std::string_view right);
/// @return the first value of the header @p name, or nothing.
std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name);
std::size_t countHeader(const Headers &headers, std::string_view name);
/// @return the headers without hop-by-hop ones: those that RFC 9110 lists and those that a Connection header names.
Headers withoutHopByHop(const Headers &headers);

/// Serializes the head of an answer and sets its Content-Length.
/// @param isHead whether the request was HEAD, so that the length is sent but not the body.
/// @param closes whether to announce that the connection closes. @param idleTimeout announced if it does not.
std::string serializeHead(const HttpAnswer &answer, bool isHead, bool closes, std::optional<std::chrono::seconds> idleTimeout = {});
/// @return whether the body of @p answer is sent after its head.
bool hasBody(const HttpAnswer &answer, bool isHead);
/// Serializes a whole answer; the parameters are those of serializeHead().
std::string serialize(const HttpAnswer &answer, bool isHead, bool closes);

/// @return the standard reason phrase of @p status.
std::string_view reasonOf(int status);

} // namespace Cloverbarrow
