/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "loopbacklistener.h"
#include "startcall.h"

#include "net/descriptor.h"
#include "net/httpclient.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t MiB = 1024 * 1024;
constexpr std::size_t MaxAnswerBytes = 2 * MiB;
// More than the socket buffers of both sides hold.
constexpr std::size_t BufferedBytes = 14 * MiB;
// Ends a test that fails.
constexpr std::size_t MaxSentBytes = 128 * MiB;

/// What a server sends in answer to the requests on a connection.
struct RawAnswer {
    RawAnswer(std::string text, std::string first, std::string rest)
        : RawAnswer(std::move(text), std::vector<std::string>{std::move(first)}, std::move(rest))
    {
    }
    RawAnswer(std::string text, std::vector<std::string> first, std::string rest)
        : description(std::move(text))
        , starts(std::move(first))
        , repeated(std::move(rest))
    {
    }

    std::string description;
    std::vector<std::string> starts; ///< One for each request.
    std::string repeated; ///< Follows the last one.
};

/// An answer of which a server sends only a part before it closes the connection.
struct TruncatedAnswer {
    std::string description;
    std::string method;
    std::string head;
    std::string rest;
};

/// Accepts one connection, reads requests and sends bytes, without end or until its client closes the connection.
class RawServer
{
public:
    explicit RawServer(RawAnswer bytes)
        : bytes_(std::move(bytes))
        , thread_([this] { serve(); })
    {
    }

    ~RawServer()
    {
        ::shutdown(listener_.fd(), SHUT_RDWR);
        thread_.join();
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    const std::string &address() const
    {
        return listener_.address();
    }

    /// Waits until the client has closed the connection. @return the number of bytes sent.
    std::size_t sentBytes()
    {
        return sent_.get_future().get();
    }

private:
    void serve()
    {
        const Descriptor connection(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
        std::size_t sent = 0;
        for (const std::string &start : bytes_.starts) {
            std::array<char, 4096> request{};
            static_cast<void>(::recv(connection.get(), request.data(), request.size(), 0));
            sent += sendAll(connection, start, &start == &bytes_.starts.back() ? bytes_.repeated : std::string());
        }
        sent_.set_value(sent);
    }

    /// Sends @p block and then @p repeated without end, unless it is empty. @return the number of bytes sent.
    static std::size_t sendAll(const Descriptor &connection, std::string block, const std::string &repeated)
    {
        std::size_t sent = 0;
        while (sent < MaxSentBytes) {
            while (!repeated.empty() && block.size() < 64 * 1024) {
                block += repeated;
            }
            if (block.empty()) {
                break;
            }
            const ssize_t count = ::send(connection.get(), block.data(), block.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                break;
            }
            sent += static_cast<std::size_t>(count);
            block.erase(0, static_cast<std::size_t>(count));
        }
        return sent;
    }

    RawAnswer bytes_;
    LoopbackListener listener_{1};
    std::promise<std::size_t> sent_;
    std::thread thread_;
};

HttpCall callTo(const std::string &address)
{
    HttpCall call;
    call.address = address;
    call.request = {"GET", "/", {{"Host", "x"}}, "", true};
    call.timeout = seconds(20);
    call.acceptsCloseDelimited = true;
    call.maxAnswerBytes = MaxAnswerBytes;
    return call;
}

/// Checks that a call to a server that sends these bytes gets no answer. @param call without an address.
void checkNoAnswer(const std::string &bytes, HttpCall call)
{
    // The connection stays open: the call must not wait for its deadline.
    RawServer server({"no answer", {bytes, ""}, ""});
    HttpClient client(1);
    call.address = server.address();
    const HttpOutcome outcome = startCall(client, 1, std::move(call)).get();
    REQUIRE(std::holds_alternative<HttpFailure>(outcome));
    CHECK(std::get<HttpFailure>(outcome).wasSent);
    CHECK_FALSE(std::get<HttpFailure>(outcome).isTimeout);
}

} // namespace

TEST_CASE("A connection on which bytes without end are received is closed after a bounded number of them", "[net][endless]")
{
    const auto bytes = GENERATE_COPY(RawAnswer{"no answer", "", "0123456789abcdef"},
                                     RawAnswer{"a status line", "HTTP/1.1 200 ", "a"},
                                     RawAnswer{"a header", Ok + "X-Filler: ", "a"},
                                     RawAnswer{"headers", Ok, "X-Filler: a\r\n"},
                                     RawAnswer{"headers that look like status lines", Ok, Ok},
                                     RawAnswer{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                                     RawAnswer{"a body that ends with the connection", Ok + "\r\n", "a"},
                                     RawAnswer{"chunks", Chunked, "10\r\n0123456789abcdef\r\n"},
                                     RawAnswer{"a chunk extension", Chunked + "10;", "a"},
                                     RawAnswer{"trailers", Chunked + "0\r\n", "X-Filler: a\r\n"});
    CAPTURE(bytes.description);
    RawServer server(bytes);
    HttpClient client(1);
    const HttpOutcome outcome = startCall(client, 1, callTo(server.address())).get();
    REQUIRE(std::holds_alternative<HttpFailure>(outcome));
    CAPTURE(std::get<HttpFailure>(outcome).reason);
    CHECK(std::get<HttpFailure>(outcome).wasSent);
    CHECK_FALSE(std::get<HttpFailure>(outcome).isTimeout);
    CHECK(server.sentBytes() <= MaxAnswerBytes + BufferedBytes);
}

TEST_CASE("The body of a success without the server's signature is not read", "[net][endless]")
{
    RawServer server({"an unsigned body", Ok + "\r\n", "a"});
    HttpClient client(1);
    HttpCall call = callTo(server.address());
    call.successHeader = "Signature";
    const HttpOutcome outcome = startCall(client, 1, std::move(call)).get();
    REQUIRE(std::holds_alternative<HttpAnswer>(outcome));
    CHECK(std::get<HttpAnswer>(outcome).status == 200);
    CHECK(std::get<HttpAnswer>(outcome).body.empty());
    CHECK(server.sentBytes() <= BufferedBytes);
}

TEST_CASE("Large answers are given up when a client buffers as much as it may, and small ones are still received", "[net][endless]")
{
    constexpr std::size_t Servers = 8;
    constexpr std::size_t MaxBufferedBytes = 4 * MiB;
    HttpClient client(2, std::make_shared<MemoryBudget>(MaxBufferedBytes));
    std::vector<std::unique_ptr<RawServer>> servers;
    std::vector<std::future<HttpOutcome>> outcomes;
    for (std::size_t server = 0; server < Servers; ++server) {
        servers.push_back(std::make_unique<RawServer>(RawAnswer{"chunks", Chunked, "10\r\n0123456789abcdef\r\n"}));
        HttpCall call = callTo(servers.back()->address());
        call.maxAnswerBytes = 16 * MiB;
        outcomes.push_back(startCall(client, server, std::move(call)));
    }
    std::size_t sent = 0;
    for (std::size_t server = 0; server < Servers; ++server) {
        const HttpOutcome outcome = outcomes[server].get();
        REQUIRE(std::holds_alternative<HttpFailure>(outcome));
        CHECK(std::get<HttpFailure>(outcome).reason == "there is no memory for the answer");
        sent += servers[server]->sentBytes();
    }
    CHECK(sent < Servers * 16 * MiB);
    RawServer small({"a small answer", Ok + "Content-Length: 2\r\n\r\nok", ""});
    CHECK(std::get<HttpAnswer>(startCall(client, Servers, callTo(small.address())).get()).body == "ok");
}

TEST_CASE("Trailers add no headers to an answer and do not replace its body", "[net]")
{
    const auto *trailer = GENERATE("Signature: forged\r\n", "HTTP/1.1: 200 OK\r\n");
    RawServer server({"trailers", Chunked + "2\r\nok\r\n0\r\n" + trailer + "\r\n", ""});
    HttpClient client(1);
    const HttpOutcome outcome = startCall(client, 1, callTo(server.address())).get();
    REQUIRE(std::holds_alternative<HttpAnswer>(outcome));
    CHECK(std::get<HttpAnswer>(outcome).body == "ok");
    CHECK_FALSE(findHeader(std::get<HttpAnswer>(outcome).headers, "Signature"));
}

TEST_CASE("An answer whose head is truncated is not passed on as a success", "[net][truncated]")
{
    const std::string head = "Request-Id: 7\r\nSignature: abc\r\nContent-Type: text/plain\r\n";
    const auto answer =
        GENERATE_COPY(TruncatedAnswer{"with a length", "GET", Ok + head + "Content-Length: 2\r\n\r\n", "ok"},
                      TruncatedAnswer{"without a body", "GET", Ok + "Content-Length: 0\r\n" + head + "\r\n", ""},
                      TruncatedAnswer{"in chunks", "GET", Ok + head + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n0\r\n\r\n"},
                      TruncatedAnswer{"that ends with the connection", "GET", Ok + head + "\r\n", ""},
                      TruncatedAnswer{"to HEAD", "HEAD", Ok + head + "Content-Length: 2\r\n\r\n", ""},
                      TruncatedAnswer{"with status 204", "GET", "HTTP/1.1 204 No Content\r\n" + head + "\r\n", ""},
                      TruncatedAnswer{"with status 304", "GET", "HTTP/1.1 304 Not Modified\r\n" + head + "\r\n", ""},
                      TruncatedAnswer{"after an interim answer", "GET", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + Ok + head + "\r\n", ""});
    CAPTURE(answer.description);
    HttpClient client(1);
    const std::string bytes = answer.head + answer.rest;
    for (std::size_t size = 1; size < bytes.size(); ++size) {
        CAPTURE(size, bytes.substr(0, size));
        RawServer server({answer.description, bytes.substr(0, size), ""});
        HttpCall call = callTo(server.address());
        call.request.method = answer.method;
        call.successHeader = "Signature";
        call.echo = {"Request-Id", "7", false};
        const HttpOutcome outcome = startCall(client, size, std::move(call)).get();
        if (bytes.substr(size) == "\n" && answer.rest.size() > 1) {
            // Only the end of the last chunk's line is missing; the body is whole.
            CHECK((std::holds_alternative<HttpFailure>(outcome) || std::get<HttpAnswer>(outcome).body == "ok"));
            continue;
        }
        REQUIRE(std::holds_alternative<HttpFailure>(outcome));
        CHECK(std::get<HttpFailure>(outcome).wasSent);
        CHECK_FALSE(std::get<HttpFailure>(outcome).isTimeout);
    }
    RawServer server({answer.description, bytes, ""});
    HttpCall call = callTo(server.address());
    call.request.method = answer.method;
    const HttpOutcome outcome = startCall(client, bytes.size(), std::move(call)).get();
    CHECK(std::holds_alternative<HttpAnswer>(outcome));
}

// Guards against a server's answer with a status that HTTP does not have, which callers received as an answer.
TEST_CASE("An answer whose status line is malformed or has an unknown status is not passed on", "[net][status]")
{
    const std::string line = GENERATE(as<std::string>(),
                                      "HTTP/1.1 000 None",
                                      "HTTP/1.1 099 Low",
                                      "HTTP/1.1 101 Switching Protocols",
                                      "HTTP/1.1 600 High",
                                      "HTTP/1.1 700 Higher",
                                      "HTTP/1.1 999 Highest",
                                      "HTTP/1.1 20 Short",
                                      "HTTP/1.1 2000 Long",
                                      "HTTP/1.1 1 0 Parted",
                                      "HTTP/1.1 2x0 Letter",
                                      "HTTP/1.1 -20 Negative",
                                      "HTTP/1.1  200 Blanks",
                                      "HTTP/1.1\t200 Tab",
                                      "HTTP/1.1 200\tTab",
                                      "HTTP/1.1",
                                      "HTTP/1.x 200 Version",
                                      "HTTP/2 200",
                                      "HTTP/2.0 200 Version",
                                      "HTTP/0.9 200 Version",
                                      "HTTP/3 200",
                                      "HTTP/11 200 Version");
    CAPTURE(line);
    const std::string head = line + "\r\nRequest-Id: 1\r\nSignature: abc\r\nContent-Length: 2\r\n\r\n";
    const std::string method = GENERATE(as<std::string>(), "GET", "HEAD", "POST");
    const auto *interim = GENERATE("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
    HttpCall call = callTo({});
    call.request.method = method;
    call.mayReuseConnection = true;
    call.echo = {"Request-Id", "1", true};
    call.timeout = seconds(5);
    checkNoAnswer(interim + head + "ok", std::move(call));
}

TEST_CASE("Answers with any status of HTTP are passed on as they are, after interim ones", "[net][status]")
{
    const int status = GENERATE(200, 299, 300, 418, 499, 503, 599);
    const auto *interim = GENERATE("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 199 Unknown\r\n\r\n");
    const auto *reason = GENERATE("", " ", " Some reason");
    CAPTURE(status, interim, reason);
    RawServer server({"an answer", interim + ("HTTP/1.1 " + std::to_string(status)) + reason + "\r\nContent-Length: 2\r\n\r\nok", ""});
    HttpClient client(1);
    const HttpOutcome outcome = startCall(client, 1, callTo(server.address())).get();
    REQUIRE(std::holds_alternative<HttpAnswer>(outcome));
    CHECK(std::get<HttpAnswer>(outcome).status == status);
    CHECK(std::get<HttpAnswer>(outcome).body == "ok");
    CHECK(std::get<HttpAnswer>(outcome).headers.size() == 1);
}

// Guards against header lines that are none in HTTP/1.1, which reached callers and changed where they took the body to begin or end.
TEST_CASE("An answer with a malformed header line is not passed on", "[net][header]")
{
    const std::string line = GENERATE(as<std::string>(),
                                      "Content\x01Type: text/plain",
                                      "Content-Length : 7",
                                      " Folded: line",
                                      "\tFolded: line",
                                      "folded line",
                                      ": no name",
                                      "No colon",
                                      "Name with blanks: a",
                                      "N\xc3\xa4me: a",
                                      "Value: a\x01b",
                                      "Value: a\rLocation: b",
                                      "Value: \x7f");
    const bool isFirst = GENERATE(true, false);
    CAPTURE(line, isFirst);
    const std::string signature = "Signature: abc\r\n";
    const std::string head = (isFirst ? line + "\r\n" + signature : signature + line + "\r\n") + "Content-Length: 2\r\n\r\n";
    HttpCall call = callTo({});
    call.successHeader = "Signature";
    checkNoAnswer(Ok + head + "ok", std::move(call));
}

// Guards against answers that were cut at a malformed length and passed on as whole successes.
TEST_CASE("An answer whose length is malformed or ambiguous is not passed on", "[net][length]")
{
    const std::string lines = GENERATE(as<std::string>(),
                                       "Content-Length: 2\r\nContent-Length: 4\r\n",
                                       "Content-Length: 4\r\nContent-Length: 2\r\n",
                                       "Content-Length: 4\r\ncontent-length: 2\r\n",
                                       "Content-Length: 2x\r\n",
                                       "Content-Length: 2, 4\r\n",
                                       "Content-Length: 2 4\r\n",
                                       "Content-Length: 0x4\r\n",
                                       "Content-Length: +2\r\n",
                                       "Content-Length: -2\r\n",
                                       "Content-Length:\r\n",
                                       "Content-Length: 99999999999999999999999\r\n",
                                       "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
                                       "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                       "Transfer-Encoding: identity\r\n",
                                       "Transfer-Encoding: chunked, identity\r\n",
                                       "Transfer-Encoding: xchunked\r\n");
    CAPTURE(lines);
    const bool isChunked = lines.find("Encoding") != std::string::npos;
    HttpCall call = callTo({});
    call.successHeader = "Signature";
    checkNoAnswer(Ok + "Signature: abc\r\n" + lines + "\r\n" + (isChunked ? "4\r\ndone\r\n0\r\n\r\n" : "done"), std::move(call));
}

TEST_CASE("Equal lengths and chunks are passed on", "[net][length]")
{
    const std::string answer = GENERATE(as<std::string>(),
                                        "Content-Length: 4\r\nContent-Length: 4\r\n\r\ndone",
                                        "Content-Length: 004\r\n\r\ndone",
                                        "Transfer-Encoding: Chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n");
    CAPTURE(answer);
    RawServer server({"a length", Ok + answer, ""});
    HttpClient client(1);
    const HttpOutcome outcome = startCall(client, 1, callTo(server.address())).get();
    REQUIRE(std::holds_alternative<HttpAnswer>(outcome));
    CHECK(std::get<HttpAnswer>(outcome).body == "done");
}

TEST_CASE("Any header of HTTP/1.1 is passed on as it is", "[net][header]")
{
    const std::string line =
        GENERATE(as<std::string>(), "X-Any_Token!#$%&'*+.^`|~1: a", "Empty:", "Blanks: \t a, b \t", "Bytes: \xc3\xa4", "Tab: a\tb", "Colons: a:b");
    CAPTURE(line);
    RawServer server({"a header", Ok + line + "\r\nContent-Length: 2\r\n\r\nok", ""});
    HttpClient client(1);
    const HttpOutcome outcome = startCall(client, 1, callTo(server.address())).get();
    REQUIRE(std::holds_alternative<HttpAnswer>(outcome));
    const auto &headers = std::get<HttpAnswer>(outcome).headers;
    REQUIRE(headers.size() == 2);
    CHECK(line.starts_with(headers.front().name + ":"));
    CHECK(line.find(headers.front().value) != std::string::npos);
}

TEST_CASE("A truncated late answer to an earlier request is not passed on to the next request", "[net][truncated]")
{
    const std::string head = "Signature: abc\r\nContent-Length: 2\r\n\r\n";
    const std::string first = Ok + "Request-Id: 1\r\n" + head + "ok";
    for (std::size_t size = 1; size < first.size(); ++size) {
        CAPTURE(size);
        RawServer server({"two answers to the same request", {first, first.substr(0, size)}, ""});
        HttpClient client(1);
        HttpCall call = callTo(server.address());
        call.mayReuseConnection = true;
        call.echo = {"Request-Id", "1", true};
        REQUIRE(std::holds_alternative<HttpAnswer>(startCall(client, 1, call).get()));
        call.echo = {"Request-Id", "2", true};
        CHECK(std::holds_alternative<HttpFailure>(startCall(client, 2, call).get()));
    }
}

TEST_CASE("A status line within a head does not replace the answer that it belongs to", "[net][truncated]")
{
    const auto *second = GENERATE("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK: fine\r\n");
    RawServer server({"a truncated answer before another one",
                      "HTTP/1.1 500 Failed\r\nRequest-Id: 1\r\n" + (second + std::string("Request-Id: 2\r\nContent-Length: 0\r\n\r\n")),
                      ""});
    HttpClient client(1);
    HttpCall call = callTo(server.address());
    call.echo = {"Request-Id", "2", true};
    const HttpOutcome outcome = startCall(client, 1, std::move(call)).get();
    CHECK(std::holds_alternative<HttpFailure>(outcome));
}
