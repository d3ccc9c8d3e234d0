/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// One header line, as it came.
struct Header {
    std::string name;
    std::string value;

    bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

/// A whole HTTP request.
struct HttpRequest {
    std::string method;
    std::string target; ///< Byte for byte as it came.
    Headers headers;
    std::string body;
    bool keepsConnection = true;
    std::uint64_t number = 0; ///< On its connection; names it among those that wait for answers there.
};

/// A whole HTTP answer.
struct HttpAnswer {
    int status = 200;
    std::string reason;
    Headers headers;
    std::string body;
};

/// @return whether the names are equal but for case.
bool isSameName(std::string_view left, std::string_view right);
/// @return the first value under @p name, or nothing.
std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name);
std::size_t countHeader(const Headers &headers, std::string_view name);
/// @return headers without those that speak of one connection only, named in RFC 9110 or by Connection.
Headers withoutHopByHop(const Headers &headers);

/// Writes an answer; its length header is set here.
/// @param isHead the request was HEAD: the length is told, the body is not sent.
/// @param closes whether to say that the connection closes.
std::string serialize(const HttpAnswer &answer, bool isHead, bool closes);

/// @return the standard reason phrase of @p status.
std::string_view reasonOf(int status);

} // namespace Cloverbarrow
