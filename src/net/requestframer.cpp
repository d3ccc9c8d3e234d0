/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/requestframer.h"

#include "core/support/text.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace Cloverbarrow
{

namespace
{

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::size_t MaxChunkLine = 256;
constexpr int HexBase = 16;

bool isTokenCharacter(char character)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    const bool isDigit = character >= '0' && character <= '9';
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return isDigit || isLetter || Others.find(character) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isVisible(char character)
{
    return character > ' ' && character < 0x7f;
}

bool isValueCharacter(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code == '\t' || (code >= ' ' && code != 0x7f);
}

std::string lowered(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) {
        return static_cast<char>(character >= 'A' && character <= 'Z' ? character + ('a' - 'A') : character);
    });
    return result;
}

/// @return whether a server that decodes or normalizes the path could arrive at another path.
bool isAmbiguousPath(std::string_view target)
{
    const std::string path = lowered(target.substr(0, target.find('?')));
    for (const std::string_view sequence : {"%2e", "%2f", "%5c", "%00", "\\", "//", "/./", "/../"}) {
        if (path.find(sequence) != std::string::npos) {
            return true;
        }
    }
    return path.ends_with("/.") || path.ends_with("/..");
}

std::optional<FramingFault> readRequestLine(std::string_view line, const RequestLimits &limits, HttpRequest &request)
{
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last) {
        return FramingFault{400, "malformed request line"};
    }
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    if (!isToken(method) || !std::all_of(target.begin(), target.end(), isVisible)) {
        return FramingFault{400, "malformed request line"};
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        return FramingFault{version.starts_with("HTTP/") ? 505 : 400, "only HTTP/1.1 and HTTP/1.0 are spoken here"};
    }
    if (method == "CONNECT" || method == "TRACE") {
        return FramingFault{405, "CONNECT and TRACE are not served"};
    }
    if (target.size() > limits.target) {
        return FramingFault{414, "the request target is too long"};
    }
    if (target.empty() || target.front() != '/' || target.find('#') != std::string_view::npos || isAmbiguousPath(target)) {
        return FramingFault{400, "the request target must be a plain path without dot segments, empty segments or encoded slashes"};
    }
    request.method = std::string(method);
    request.target = std::string(target);
    request.keepsConnection = version == "HTTP/1.1";
    return std::nullopt;
}

std::optional<FramingFault> readHeaders(std::string_view lines, HttpRequest &request)
{
    while (!lines.empty()) {
        const std::size_t end = lines.find(LineEnd);
        const std::string_view line = lines.substr(0, end);
        lines.remove_prefix(end == std::string_view::npos ? lines.size() : end + LineEnd.size());
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
            return FramingFault{400, "malformed header line"};
        }
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (!std::all_of(value.begin(), value.end(), isValueCharacter)) {
            return FramingFault{400, "a header value has control characters"};
        }
        request.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
    }
    return std::nullopt;
}

/// How the end of the body is determined.
struct BodyFraming {
    bool isChunked = false;
    std::size_t length = 0;
};

std::variant<BodyFraming, FramingFault> bodyFramingOf(const HttpRequest &request, const RequestLimits &limits)
{
    const std::size_t lengths = countHeader(request.headers, "content-length");
    const std::size_t encodings = countHeader(request.headers, "transfer-encoding");
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
        return FramingFault{400, "the body's length is given more than once"};
    }
    if (encodings == 1) {
        const bool isChunked = lowered(*findHeader(request.headers, "transfer-encoding")) == "chunked";
        if (!isChunked || !request.keepsConnection) {
            return FramingFault{isChunked ? 400 : 501, "only the transfer coding chunked of HTTP/1.1 is read"};
        }
        return BodyFraming{true, 0};
    }
    if (lengths == 0) {
        return BodyFraming{};
    }
    const std::string_view text = *findHeader(request.headers, "content-length");
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool isDigits = !text.empty() && std::all_of(text.begin(), text.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
    if (!isDigits) {
        return FramingFault{400, "Content-Length must be a number"};
    }
    if (error != std::errc() || length > limits.body) {
        return FramingFault{413, "the body is too long"};
    }
    return BodyFraming{false, length};
}

std::optional<FramingFault> checkHeaders(HttpRequest &request)
{
    const std::size_t hosts = countHeader(request.headers, "host");
    if (hosts > 1 || (hosts == 0 && request.keepsConnection)) {
        return FramingFault{400, "exactly one Host header is needed"};
    }
    if (const auto expect = findHeader(request.headers, "expect"); expect && lowered(*expect) != "100-continue") {
        return FramingFault{417, "only 100-continue can be expected"};
    }
    if (const auto connection = findHeader(request.headers, "connection")) {
        const std::string value = lowered(*connection);
        if (value.find("close") != std::string::npos) {
            request.keepsConnection = false;
        } else if (value.find("keep-alive") != std::string::npos) {
            request.keepsConnection = true;
        }
    }
    return std::nullopt;
}

enum class ChunkProgress {
    Incomplete,
    Complete,
};

/// @return the size in a chunk's size line, or nothing if it is malformed.
std::optional<std::size_t> chunkSize(std::string_view line)
{
    const std::string_view digits = trimmed(line.substr(0, line.find(';')));
    std::size_t size = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), size, HexBase);
    if (digits.empty() || error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return size;
}

/// Decodes a chunked body. @param consumed set to the number of bytes read when the body is complete.
std::variant<ChunkProgress, FramingFault> readChunks(std::string_view bytes, const RequestLimits &limits, std::string &body, std::size_t &consumed)
{
    std::size_t position = 0;
    while (true) {
        const std::size_t end = bytes.find(LineEnd, position);
        if (end == std::string_view::npos) {
            if (bytes.size() - position > MaxChunkLine) {
                return FramingFault{400, "a chunk's size line is too long"};
            }
            return ChunkProgress::Incomplete;
        }
        const auto size = chunkSize(bytes.substr(position, end - position));
        if (!size || end - position > MaxChunkLine) {
            return FramingFault{400, "malformed chunk size"};
        }
        position = end + LineEnd.size();
        if (*size == 0) {
            break;
        }
        if (*size > limits.body || body.size() + *size > limits.body) {
            return FramingFault{413, "the body is too long"};
        }
        if (bytes.size() < position + *size + LineEnd.size()) {
            return ChunkProgress::Incomplete;
        }
        body.append(bytes.substr(position, *size));
        position += *size;
        if (bytes.substr(position, LineEnd.size()) != LineEnd) {
            return FramingFault{400, "malformed chunk end"};
        }
        position += LineEnd.size();
    }
    // Trailers are skipped and not forwarded.
    while (true) {
        const std::size_t end = bytes.find(LineEnd, position);
        if (end == std::string_view::npos) {
            if (bytes.size() - position > limits.head) {
                return FramingFault{431, "the trailers are too long"};
            }
            return ChunkProgress::Incomplete;
        }
        const bool isLast = end == position;
        position = end + LineEnd.size();
        if (isLast) {
            consumed = position;
            return ChunkProgress::Complete;
        }
    }
}

NeedsMore needsMore(const HttpRequest &request, bool hasBody)
{
    const auto expect = findHeader(request.headers, "expect");
    return {expect.has_value() && !hasBody};
}

FramingResult frameBody(std::string &buffer, std::size_t headSize, HttpRequest request, const RequestLimits &limits)
{
    const auto framing = bodyFramingOf(request, limits);
    if (const auto *fault = std::get_if<FramingFault>(&framing)) {
        return *fault;
    }
    const auto &[isChunked, length] = std::get<BodyFraming>(framing);
    std::size_t bodySize = length;
    if (isChunked) {
        const auto progress = readChunks(std::string_view(buffer).substr(headSize), limits, request.body, bodySize);
        if (const auto *fault = std::get_if<FramingFault>(&progress)) {
            return *fault;
        }
        if (std::get<ChunkProgress>(progress) == ChunkProgress::Incomplete) {
            return needsMore(request, buffer.size() > headSize);
        }
    } else if (buffer.size() < headSize + length) {
        return needsMore(request, buffer.size() > headSize);
    } else {
        request.body = buffer.substr(headSize, length);
    }
    buffer.erase(0, headSize + bodySize);
    return request;
}

} // namespace

FramingResult frameRequest(std::string &buffer, const RequestLimits &limits)
{
    // RFC 9112 allows empty lines before a request.
    while (buffer.starts_with(LineEnd)) {
        buffer.erase(0, LineEnd.size());
    }
    const std::size_t headEnd = buffer.find(HeadEnd);
    if (std::min(headEnd, buffer.size()) > limits.head) {
        return FramingFault{431, "the request head is too long"};
    }
    const std::string_view bytes(buffer);
    const std::size_t lineEnd = bytes.find(LineEnd);
    if (lineEnd == std::string_view::npos) {
        const bool isGarbage = !bytes.empty()
            && !std::all_of(bytes.begin(), bytes.end(), [](char character) { return isVisible(character) || character == ' ' || character == '\r'; });
        if (isGarbage) {
            return FramingFault{400, "malformed request line"};
        }
        return NeedsMore{};
    }
    HttpRequest request;
    if (const auto fault = readRequestLine(bytes.substr(0, lineEnd), limits, request)) {
        return *fault;
    }
    if (headEnd == std::string::npos) {
        return NeedsMore{};
    }
    const std::size_t headersStart = lineEnd + LineEnd.size();
    if (headEnd > headersStart) {
        if (const auto fault = readHeaders(bytes.substr(headersStart, headEnd - headersStart), request)) {
            return *fault;
        }
    }
    if (const auto fault = checkHeaders(request)) {
        return *fault;
    }
    return frameBody(buffer, headEnd + HeadEnd.size(), std::move(request), limits);
}

} // namespace Cloverbarrow
