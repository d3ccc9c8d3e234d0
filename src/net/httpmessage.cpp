/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/httpmessage.h"

#include "core/support/text.h"

#include <algorithm>
#include <array>
#include <map>

namespace Cloverbarrow
{

namespace
{

constexpr std::array<std::string_view, 9> HopByHop = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"};

/// @return the header names listed in the message's Connection headers.
std::vector<std::string_view> namedByConnection(const Headers &headers)
{
    std::vector<std::string_view> names;
    for (const Header &header : headers) {
        if (!isSameName(header.name, "connection")) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            names.push_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
        }
    }
    return names;
}

bool isBodiless(const HttpAnswer &answer)
{
    return answer.status == 204 || answer.status == 304;
}

} // namespace

bool isSameName(std::string_view left, std::string_view right)
{
    return isSameIgnoringCase(left, right);
}

std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (isSameName(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

std::size_t countHeader(const Headers &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [name](const Header &header) { return isSameName(header.name, name); }));
}

Headers withoutHopByHop(const Headers &headers)
{
    const auto named = namedByConnection(headers);
    Headers kept;
    for (const Header &header : headers) {
        const auto isNamed = [&header](std::string_view name) { return isSameName(header.name, name); };
        if (std::none_of(HopByHop.begin(), HopByHop.end(), isNamed) && std::none_of(named.begin(), named.end(), isNamed)) {
            kept.push_back(header);
        }
    }
    return kept;
}

std::string serializeHead(const HttpAnswer &answer, bool isHead, bool closes, std::optional<std::chrono::seconds> idleTimeout)
{
    const std::string_view reason = answer.reason.empty() ? reasonOf(answer.status) : std::string_view(answer.reason);
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " " + std::string(reason) + "\r\n";
    for (const Header &header : answer.headers) {
        const bool isLength = isSameName(header.name, "content-length");
        // Answers to HEAD and with 304 keep the backend server's length, since they have no body to count.
        if (!isLength || ((isHead || answer.status == 304) && answer.body.empty())) {
            text += header.name + ": " + header.value + "\r\n";
        }
    }
    const bool hasLength = (isHead || answer.status == 304) && answer.body.empty() && findHeader(answer.headers, "content-length");
    if (!isBodiless(answer) && !hasLength) {
        text += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    }
    text += closes ? "Connection: close\r\n" : "Connection: keep-alive\r\n";
    if (!closes && idleTimeout) {
        text += "Keep-Alive: timeout=" + std::to_string(idleTimeout->count()) + "\r\n";
    }
    return text + "\r\n";
}

bool hasBody(const HttpAnswer &answer, bool isHead)
{
    return !isHead && !isBodiless(answer);
}

std::string serialize(const HttpAnswer &answer, bool isHead, bool closes)
{
    std::string text = serializeHead(answer, isHead, closes);
    if (hasBody(answer, isHead)) {
        text += answer.body.view();
    }
    return text;
}

std::string_view reasonOf(int status)
{
    static const std::map<int, std::string_view> reasons = {
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {204, "No Content"},
        {304, "Not Modified"},
        {400, "Bad Request"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {413, "Content Too Large"},
        {414, "URI Too Long"},
        {417, "Expectation Failed"},
        {422, "Unprocessable Content"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {501, "Not Implemented"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
        {505, "HTTP Version Not Supported"},
    };
    const auto found = reasons.find(status);
    return found == reasons.end() ? std::string_view("Status") : found->second;
}

} // namespace Cloverbarrow
