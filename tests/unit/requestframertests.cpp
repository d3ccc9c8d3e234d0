/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/requestframer.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

int faultStatus(std::string bytes)
{
    const auto result = RequestFramer().next(bytes, {});
    const auto *fault = std::get_if<FramingFault>(&result);
    return fault ? fault->status : 0;
}

HttpRequest framed(std::string bytes)
{
    auto result = RequestFramer().next(bytes, {});
    REQUIRE(std::holds_alternative<HttpRequest>(result));
    return std::get<HttpRequest>(std::move(result));
}

} // namespace

TEST_CASE("Target, repeated query keys and repeated headers are kept as received", "[framing]")
{
    const HttpRequest request = framed("GET /a?y=%00&x=1&x=2&y HTTP/1.1\r\nHost: h\r\nX-R: 1\r\nx-r: 2\r\n\r\n");
    CHECK(request.target == "/a?y=%00&x=1&x=2&y");
    CHECK(request.headers == Headers{{"Host", "h"}, {"X-R", "1"}, {"x-r", "2"}});
}

TEST_CASE("Bytes after the end of a request stay in the buffer", "[framing]")
{
    std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b";
    const auto result = RequestFramer().next(bytes, {});
    REQUIRE(std::holds_alternative<HttpRequest>(result));
    CHECK(std::get<HttpRequest>(result).body == "abc");
    CHECK(bytes == "GET /b");
}

TEST_CASE("A chunked body is decoded", "[framing]")
{
    const HttpRequest request = framed("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=1\r\nde\r\n0\r\nT: 1\r\n\r\n");
    CHECK(request.body == "abcde");
}

TEST_CASE("Requests that two parsers could frame differently are rejected", "[framing]")
{
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    CHECK(faultStatus(start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd") == 400);
    CHECK(faultStatus(start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc") == 400);
    CHECK(faultStatus(start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == 400);
    CHECK(faultStatus(start + "Content-Length: -3\r\n\r\n") == 400);
    CHECK(faultStatus(start + "Content-Length: +3\r\n\r\nabc") == 400);
    CHECK(faultStatus(start + "Content-Length: 99999999999999999999\r\n\r\n") == 413);
    CHECK(faultStatus(start + "Transfer-Encoding: gzip, chunked\r\n\r\n") == 501);
    CHECK(faultStatus(start + "Transfer-Encoding: chunked\r\n\r\nx\r\n") == 400);
    CHECK(faultStatus(start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n") == 400);
    CHECK(faultStatus(start + "X : 1\r\n\r\n") == 400);
    CHECK(faultStatus(start + "X: 1\r\n folded\r\n\r\n") == 400);
    CHECK(faultStatus(start + "X: a\rb\r\n\r\n") == 400);
}

TEST_CASE("Malformed and unsupported requests get a specific status", "[framing]")
{
    CHECK(faultStatus("\x16\x03\x01\x02") == 400);
    CHECK(faultStatus("HELLO\r\n") == 400);
    CHECK(faultStatus("GET /a HTTP/2.0\r\n\r\n") == 505);
    CHECK(faultStatus("CONNECT h:1 HTTP/1.1\r\n\r\n") == 405);
    CHECK(faultStatus("GET /a HTTP/1.1\r\n\r\n") == 400);
    CHECK(faultStatus("GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") == 400);
    CHECK(faultStatus("GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n") == 400);
    CHECK(faultStatus("GET /a HTTP/1.1\r\nHost: h\r\nExpect: more\r\n\r\n") == 417);
    CHECK(faultStatus("GET /" + std::string(9000, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n") == 414);
    CHECK(faultStatus("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(40000, 'a') + "\r\n\r\n") == 431);
}

TEST_CASE("A part of a request that reaches its bound exactly is read in the same way when its bytes arrive one by one", "[framing]")
{
    constexpr RequestLimits Limits = {64, 16, 16};
    const auto padded = [](std::string start, std::size_t size) { return start.append(size - start.size(), 'a'); };
    const std::string chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::size_t extra = GENERATE(0, 1);
    const std::string bytes = GENERATE_COPY(padded("GET /a HTTP/1.1\r\nHost: h\r\nX: ", Limits.head + extra) + "\r\n\r\n",
                                            chunked + padded("3;x=", 256 + extra) + "\r\nabc\r\n0\r\n\r\n",
                                            chunked + "0\r\n" + padded("T: ", Limits.head - 2 + extra) + "\r\n\r\n");
    CAPTURE(bytes);
    RequestFramer framer;
    std::string input;
    FramingResult result;
    for (const char byte : bytes) {
        input.push_back(byte);
        result = framer.next(input, Limits);
        if (std::holds_alternative<FramingFault>(result)) {
            break;
        }
    }
    std::string whole = bytes;
    CHECK(std::holds_alternative<HttpRequest>(result) == (extra == 0));
    CHECK(RequestFramer().next(whole, Limits).index() == result.index());
}

TEST_CASE("Paths that a server could normalize to another route are rejected", "[framing]")
{
    for (const char *path : {"/a/../b", "/a/%2e%2E/b", "/a%2Fb", "/a//b", "/a/.", "/a\\b", "/a%00"}) {
        INFO(path);
        CHECK(faultStatus("GET " + std::string(path) + " HTTP/1.1\r\nHost: h\r\n\r\n") == 400);
    }
}

TEST_CASE("A sender that expects 100-continue is asked to continue", "[framing]")
{
    std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n";
    const auto result = RequestFramer().next(bytes, {});
    REQUIRE(std::holds_alternative<NeedsMore>(result));
    CHECK(std::get<NeedsMore>(result).wantsContinue);
}

TEST_CASE("The answer to HEAD has a length and no body", "[framing]")
{
    HttpAnswer answer;
    answer.body = "abc";
    CHECK(serialize(answer, true, false) == "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: keep-alive\r\n\r\n");
}
