/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/requestcheck.h"
#include "decoders.h"
#include "net/requestframer.h"
#include "platformprotocol.h"

#include <algorithm>
#include <string>
#include <vector>

namespace Cloverbarrow::Tests
{

namespace
{

// Small, so that short inputs reach them.
constexpr RequestLimits Limits = {128, 32, 64};

struct Framed {
    std::vector<HttpRequest> requests;
    bool isFaulty = false;
};

/// Frames @p bytes that arrive in pieces of @p pieceSize.
Framed frame(std::string_view bytes, std::size_t pieceSize)
{
    Framed framed;
    RequestFramer framer;
    std::string input;
    while (!bytes.empty()) {
        const std::string_view piece = bytes.substr(0, pieceSize);
        bytes.remove_prefix(piece.size());
        input += piece;
        FramingResult result = framer.next(input, Limits);
        for (; std::holds_alternative<HttpRequest>(result); result = framer.next(input, Limits)) {
            framed.requests.push_back(std::get<HttpRequest>(std::move(result)));
        }
        if (std::holds_alternative<FramingFault>(result)) {
            framed.isFaulty = true;
            return framed;
        }
    }
    return framed;
}

bool isSame(const HttpRequest &left, const HttpRequest &right)
{
    return left.method == right.method && left.target == right.target && left.headers == right.headers && left.body == right.body
        && left.keepsConnection == right.keepsConnection;
}

/// Requires that a server reads a request with these headers and body as it was read here.
void requireForwardable(const HttpRequest &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    Headers headers = withoutHopByHop(request.headers);
    std::erase_if(headers, [](const Header &header) { return isSameName(header.name, "content-length") || isSameName(header.name, "host"); });
    headers.insert(headers.begin(), {"Host", "h"});
    headers.push_back({"Content-Length", std::to_string(request.body.size())});
    for (const Header &header : headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    text += "\r\n" + std::string(request.body.view());
    const FramingResult result = RequestFramer().next(text, {});
    const auto *again = std::get_if<HttpRequest>(&result);
    require(again && text.empty(), "a request that is forwarded is one request");
    require(again->method == request.method && again->target == request.target && again->headers == headers && again->body == request.body,
            "a request is forwarded as received");
}

/// Reads the headers of the platform, as those of a request and of an answer.
void readHeaders(const HttpRequest &request)
{
    const Platform::PlatformProtocol protocol;
    TrafficRoute rule;
    rule.kind.deadline = seconds(2);
    Route route;
    route.rule = &rule;
    const TimePoint now(seconds(100));
    const auto checked = checkRoutedRequest(request, route, protocol.deadlineHeader(), 1, now);
    if (const auto *valid = std::get_if<CheckedRequest>(&checked)) {
        require(valid->event.deadline > now && valid->event.deadline <= now + rule.kind.deadline, "the deadline lies within that of the route");
    }
    Headers headers = request.headers;
    protocol.takeApiKey(headers);
    require(!findHeader(headers, "authorization"), "keys are removed");
    HttpAnswer answer;
    answer.status = 503;
    answer.headers = request.headers;
    protocol.interpretAnswer(answer);
    protocol.headersForCaller(answer.headers);
    protocol.isLeaving(answer.headers);
    if (const auto load = protocol.loadReport(answer.headers)) {
        require(load->running >= 0 && load->waiting >= 0 && load->slots >= 0 && load->slowness > 0, "loads are not negative");
    }
    requireUsable(protocol.remainingWarmUp(answer.headers).value_or(Duration(0)));
    if (const LimitNotice notice = protocol.limitNotice(answer.headers); const auto *limit = std::get_if<RequestLimit>(&notice)) {
        require(limit->perSecond >= 0, "limits are not negative");
    }
    if (const BackoffNotice notice = protocol.backoffNotice(answer); const auto *backoff = std::get_if<BackoffRequest>(&notice)) {
        requireUsable(backoff->duration);
        require(backoff->duration >= Duration(0), "backoffs are not negative");
    }
}

} // namespace

void decodeCallerBytes(std::string_view input)
{
    if (input.empty()) {
        return;
    }
    const std::size_t pieceSize = 1 + static_cast<unsigned char>(input.front() - 'a') % 32U;
    const std::string_view bytes = input.substr(1);
    const Framed whole = frame(bytes, bytes.size());
    for (const std::size_t size : {std::size_t(1), pieceSize}) {
        const Framed pieces = frame(bytes, size);
        require(std::equal(pieces.requests.begin(), pieces.requests.end(), whole.requests.begin(), whole.requests.end(), isSame),
                "the requests do not depend on how their bytes arrive");
        require(pieces.isFaulty == whole.isFaulty, "a fault does not depend on how the bytes arrive");
    }
    for (const HttpRequest &request : whole.requests) {
        requireForwardable(request);
        readHeaders(request);
    }
}

} // namespace Cloverbarrow::Tests
