/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/callerconnection.h"

#include "net/bootclock.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <array>

using namespace Cloverbarrow;

namespace
{

/// A connection whose other end belongs to the test.
class ConnectedCaller
{
public:
    explicit ConnectedCaller(std::size_t requestsInFlight = 4)
    {
        std::array<int, 2> ends{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
        serverEnd_ = Descriptor(ends[0]);
        callerEnd_ = Descriptor(ends[1]);
        connection = std::make_shared<CallerConnection>(serverEnd_.get(),
                                                        CallerBounds(),
                                                        CallerConnection::Options{true, requestsInFlight},
                                                        [this](const auto &, HttpRequest request) { dispatched.push_back(std::move(request)); });
    }

    void send(const std::string &method, const std::string &target, const std::string &headers = {})
    {
        connection->received(method + " " + target + " HTTP/1.1\r\nHost: tablero.example\r\n" + headers + "\r\n", bootNow());
    }

    void answer(std::size_t index, const std::string &body)
    {
        HttpAnswer answer;
        answer.body = body;
        connection->answerTo(dispatched.at(index).number, answer, false);
    }

    /// Reads all available bytes. @return the first byte of each body received, in order.
    std::string read()
    {
        std::array<char, 65536> buffer{};
        const ssize_t count = ::recv(callerEnd_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        const std::string bytes(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        closes = closes || bytes.find("Connection: close") != std::string::npos;
        std::string bodies;
        for (std::size_t at = bytes.find("\r\n\r\n"); at != std::string::npos; at = bytes.find("\r\n\r\n", at + 1)) {
            bodies += bytes.substr(at + 4, 1);
        }
        return bodies;
    }

    std::shared_ptr<CallerConnection> connection;
    std::vector<HttpRequest> dispatched;
    bool closes = false;

private:
    Descriptor serverEnd_;
    Descriptor callerEnd_;
};

} // namespace

TEST_CASE("Pipelined safe requests are dispatched at once and answered in order", "[caller][pipeline]")
{
    ConnectedCaller caller;
    caller.send("GET", "/a");
    caller.send("GET", "/b");
    caller.send("GET", "/c");
    REQUIRE(caller.dispatched.size() == 3);
    caller.answer(2, "c");
    caller.answer(1, "b");
    CHECK(caller.read().empty());
    caller.answer(0, "a");
    CHECK(caller.read() == "abc");
    CHECK_FALSE(caller.closes);
}

TEST_CASE("An unsafe request is dispatched after the earlier requests, and later ones after it", "[caller][pipeline]")
{
    ConnectedCaller caller;
    caller.send("GET", "/a");
    caller.send("POST", "/b", "Content-Length: 0\r\n");
    caller.send("GET", "/c");
    REQUIRE(caller.dispatched.size() == 1);
    caller.answer(0, "a");
    REQUIRE(caller.dispatched.size() == 2);
    CHECK(caller.dispatched.back().method == "POST");
    caller.answer(1, "b");
    REQUIRE(caller.dispatched.size() == 3);
}

TEST_CASE("A connection dispatches no more requests than may be in flight", "[caller][pipeline]")
{
    ConnectedCaller caller(2);
    for (const char *target : {"/a", "/b", "/c"}) {
        caller.send("GET", target);
    }
    CHECK(caller.dispatched.size() == 2);
    caller.answer(0, "a");
    CHECK(caller.dispatched.size() == 3);
}

TEST_CASE("A closing connection answers the requests in flight and dispatches no more", "[caller][pipeline]")
{
    ConnectedCaller caller;
    caller.send("GET", "/a");
    caller.send("GET", "/b");
    caller.connection->closeGracefully();
    caller.send("GET", "/c");
    CHECK(caller.dispatched.size() == 2);
    caller.answer(0, "a");
    CHECK(caller.read() == "a");
    CHECK_FALSE(caller.closes);
    caller.answer(1, "b");
    CHECK(caller.read() == "b");
    CHECK(caller.closes);
    CHECK(caller.dispatched.size() == 2);
}

TEST_CASE("A request with Connection: close is the last one dispatched and answered", "[caller][pipeline]")
{
    ConnectedCaller caller;
    caller.send("GET", "/a");
    caller.send("GET", "/b", "Connection: close\r\n");
    caller.send("GET", "/c");
    REQUIRE(caller.dispatched.size() == 2);
    caller.answer(1, "b");
    CHECK(caller.read().empty());
    caller.answer(0, "a");
    CHECK(caller.read() == "ab");
    CHECK(caller.closes);
    CHECK(caller.dispatched.size() == 2);
}

TEST_CASE("A malformed request is answered after the requests in flight, and closes the connection", "[caller][pipeline]")
{
    ConnectedCaller caller;
    caller.send("GET", "/a");
    caller.connection->received("GET nonsense\r\n\r\n", bootNow());
    CHECK(caller.read().empty());
    caller.answer(0, "a");
    CHECK(caller.read().starts_with("a"));
    CHECK(caller.closes);
}

TEST_CASE("A second answer to a request is dropped", "[caller][pipeline]")
{
    ConnectedCaller caller;
    caller.send("GET", "/a");
    caller.answer(0, "a");
    caller.answer(0, "x");
    CHECK(caller.read() == "a");
}
