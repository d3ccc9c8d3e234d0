/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/requestframer.h"

#include "core/support/text.h"
#include "net/headersyntax.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace Cloverbarrow
{

namespace
{

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::size_t MaxChunkLine = 256;
constexpr int HexBase = 16;

bool isVisible(char character)
{
    return character > ' ' && character < 0x7f;
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
        if (!isHeaderValue(value)) {
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
    if (!isDecimal(text)) {
        return FramingFault{400, "Content-Length must be a number"};
    }
    const auto length = contentLength(text);
    if (!length || *length > limits.body) {
        return FramingFault{413, "the body is too long"};
    }
    return BodyFraming{false, *length};
}

std::optional<FramingFault> checkHeaders(HttpRequest &request, const RequestLimits &limits)
{
    const std::size_t hosts = countHeader(request.headers, "host");
    if (hosts > 1 || (hosts == 0 && request.keepsConnection && limits.requiresHost)) {
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

/// @return length of @p input without the part of @p end that it may end with, so that a bound holds alike for bytes that arrive in pieces.
std::size_t lengthWithout(std::string_view end, std::string_view input)
{
    while (!input.ends_with(end)) {
        end.remove_suffix(1);
    }
    return input.size() - end.size();
}

} // namespace

RequestFramer::RequestFramer(std::shared_ptr<MemoryBudget> budget)
    : budget_(std::move(budget))
{
}

FramingResult RequestFramer::next(std::string &input, const RequestLimits &limits)
{
    if (!partial_) {
        if (auto result = readHead(input, limits)) {
            return std::move(*result);
        }
    }
    std::string_view rest(input);
    const BodyProgress progress = readBody(rest, limits);
    input.erase(0, input.size() - rest.size());
    if (const auto *fault = std::get_if<FramingFault>(&progress)) {
        return *fault;
    }
    switch (std::get<Progress>(progress)) {
    case Progress::Incomplete:
        return NeedsMore{findHeader(partial_->request.headers, "expect").has_value() && !partial_->hasStarted};
    case Progress::NoMemory:
        return NoMemoryForBody{std::exchange(partial_, std::nullopt)->request};
    case Progress::Complete:
        break;
    }
    HttpRequest request = std::move(partial_->request);
    request.body = partial_->body.take();
    partial_.reset();
    return request;
}

bool RequestFramer::isReadingBody() const
{
    return partial_.has_value();
}

std::size_t RequestFramer::bodyBytes() const
{
    return partial_ ? partial_->body.size() : 0;
}

bool RequestFramer::isReadingSafeRequest() const
{
    return partial_ && isSafeMethod(partial_->request.method);
}

void RequestFramer::reset()
{
    partial_.reset();
}

std::optional<FramingResult> RequestFramer::readHead(std::string &input, const RequestLimits &limits)
{
    // RFC 9112 allows empty lines before a request.
    while (input.starts_with(LineEnd)) {
        input.erase(0, LineEnd.size());
    }
    const std::size_t headEnd = input.find(HeadEnd);
    if (std::min(headEnd, lengthWithout(HeadEnd, input)) > limits.head) {
        return FramingFault{431, "the request head is too long"};
    }
    const std::string_view bytes(input);
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
    if (const auto fault = checkHeaders(request, limits)) {
        return *fault;
    }
    const auto framing = bodyFramingOf(request, limits);
    if (const auto *fault = std::get_if<FramingFault>(&framing)) {
        return *fault;
    }
    input.erase(0, headEnd + HeadEnd.size());
    const auto &[isChunked, length] = std::get<BodyFraming>(framing);
    if (!isChunked && length == 0) {
        return request;
    }
    BodyBuilder body(budget_, MemoryUse::Request);
    if (!body.reserve(length)) {
        return NoMemoryForBody{std::move(request)};
    }
    partial_ = PartialRequest{std::move(request), std::move(body), isChunked, length};
    return std::nullopt;
}

RequestFramer::BodyProgress RequestFramer::readBody(std::string_view &input, const RequestLimits &limits)
{
    partial_->hasStarted = partial_->hasStarted || !input.empty();
    return partial_->isChunked ? readChunks(input, limits) : BodyProgress(readData(input));
}

RequestFramer::Progress RequestFramer::readData(std::string_view &input)
{
    const std::string_view bytes = input.substr(0, partial_->length);
    if (!partial_->body.append(bytes)) {
        return Progress::NoMemory;
    }
    input.remove_prefix(bytes.size());
    partial_->length -= bytes.size();
    return partial_->length == 0 ? Progress::Complete : Progress::Incomplete;
}

RequestFramer::BodyProgress RequestFramer::readChunks(std::string_view &input, const RequestLimits &limits)
{
    const auto readPart = [&]() -> BodyProgress {
        switch (partial_->part) {
        case ChunkPart::Size:
            return readChunkSize(input, limits);
        case ChunkPart::Data: {
            const Progress progress = readData(input);
            if (progress == Progress::Complete) {
                partial_->part = ChunkPart::DataEnd;
            }
            return progress;
        }
        case ChunkPart::DataEnd:
            if (!LineEnd.starts_with(input.substr(0, LineEnd.size()))) {
                return FramingFault{400, "malformed chunk end"};
            }
            if (input.size() < LineEnd.size()) {
                return Progress::Incomplete;
            }
            input.remove_prefix(LineEnd.size());
            partial_->part = ChunkPart::Size;
            return Progress::Complete;
        case ChunkPart::Trailers:
            break;
        }
        return readTrailers(input, limits);
    };
    while (true) {
        const bool isLastPart = partial_->part == ChunkPart::Trailers;
        BodyProgress progress = readPart();
        const auto *state = std::get_if<Progress>(&progress);
        if (!state || *state != Progress::Complete || isLastPart) {
            return progress;
        }
    }
}

RequestFramer::BodyProgress RequestFramer::readChunkSize(std::string_view &input, const RequestLimits &limits)
{
    const std::size_t end = input.find(LineEnd);
    if (end == std::string_view::npos) {
        return lengthWithout(LineEnd, input) > MaxChunkLine ? BodyProgress(FramingFault{400, "a chunk's size line is too long"}) : Progress::Incomplete;
    }
    const auto size = chunkSize(input.substr(0, end));
    if (!size || end > MaxChunkLine) {
        return FramingFault{400, "malformed chunk size"};
    }
    if (*size > limits.body || partial_->body.size() + *size > limits.body) {
        return FramingFault{413, "the body is too long"};
    }
    input.remove_prefix(end + LineEnd.size());
    partial_->length = *size;
    partial_->part = *size == 0 ? ChunkPart::Trailers : ChunkPart::Data;
    return Progress::Complete;
}

RequestFramer::BodyProgress RequestFramer::readTrailers(std::string_view &input, const RequestLimits &limits)
{
    // Trailers are skipped and not forwarded.
    while (true) {
        const std::size_t end = input.find(LineEnd);
        if (partial_->trailerBytes + std::min(end, lengthWithout(LineEnd, input)) > limits.head) {
            return FramingFault{431, "the trailers are too long"};
        }
        if (end == std::string_view::npos) {
            return Progress::Incomplete;
        }
        input.remove_prefix(end + LineEnd.size());
        partial_->trailerBytes += end + LineEnd.size();
        if (end == 0) {
            return Progress::Complete;
        }
    }
}

bool isSafeMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD";
}

} // namespace Cloverbarrow
