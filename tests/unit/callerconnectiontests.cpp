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

/// A connection whose far end the test holds.
class Connected
{
public:
    explicit Connected(std::size_t requestsInFlight = 4)
    {
        std::array<int, 2> ends{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
        near_ = Descriptor(ends[0]);
        far_ = Descriptor(ends[1]);
        connection = std::make_shared<CallerConnection>(near_.get(),
                                                        CallerBounds(),
                                                        CallerConnection::Use{true, requestsInFlight},
                                                        [this](const auto &, HttpRequest request) { taken.push_back(std::move(request)); });
    }

    void send(const std::string &method, const std::string &target, const std::string &more = {})
    {
        connection->received(method + " " + target + " HTTP/1.1\r\nHost: tablero.example\r\n" + more + "\r\n", bootNow());
    }

    void answer(std::size_t index, const std::string &body)
    {
        HttpAnswer answer;
        answer.body = body;
        connection->answerTo(taken.at(index).number, answer, false);
    }

    /// @return the bodies of the answers that have come, in their order; the far end reads all there is.
    std::string read()
    {
        std::array<char, 65536> buffer{};
        const ssize_t count = ::recv(far_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        const std::string bytes(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        closes = closes || bytes.find("Connection: close") != std::string::npos;
        std::string bodies;
        for (std::size_t at = bytes.find("\r\n\r\n"); at != std::string::npos; at = bytes.find("\r\n\r\n", at + 1)) {
            bodies += bytes.substr(at + 4, 1);
        }
        return bodies;
    }

    std::shared_ptr<CallerConnection> connection;
    std::vector<HttpRequest> taken;
    bool closes = false;

private:
    Descriptor near_;
    Descriptor far_;
};

} // namespace

TEST_CASE("Reads that come without waiting for answers are handed on at once and answered in order", "[caller][pipeline]")
{
    Connected caller;
    caller.send("GET", "/a");
    caller.send("GET", "/b");
    caller.send("GET", "/c");
    REQUIRE(caller.taken.size() == 3);
    caller.answer(2, "c");
    caller.answer(1, "b");
    CHECK(caller.read().empty());
    caller.answer(0, "a");
    CHECK(caller.read() == "abc");
    CHECK_FALSE(caller.closes);
}

TEST_CASE("A write waits for the reads before it, and reads for the write", "[caller][pipeline]")
{
    Connected caller;
    caller.send("GET", "/a");
    caller.send("POST", "/b", "Content-Length: 0\r\n");
    caller.send("GET", "/c");
    REQUIRE(caller.taken.size() == 1);
    caller.answer(0, "a");
    REQUIRE(caller.taken.size() == 2);
    CHECK(caller.taken.back().method == "POST");
    caller.answer(1, "b");
    REQUIRE(caller.taken.size() == 3);
}

TEST_CASE("No more requests of a connection are worked on than allowed", "[caller][pipeline]")
{
    Connected caller(2);
    for (const char *target : {"/a", "/b", "/c"}) {
        caller.send("GET", target);
    }
    CHECK(caller.taken.size() == 2);
    caller.answer(0, "a");
    CHECK(caller.taken.size() == 3);
}

TEST_CASE("A connection that is to close answers all that was handed on and takes nothing more", "[caller][pipeline]")
{
    Connected caller;
    caller.send("GET", "/a");
    caller.send("GET", "/b");
    caller.connection->closeSoon();
    caller.send("GET", "/c");
    CHECK(caller.taken.size() == 2);
    caller.answer(0, "a");
    CHECK(caller.read() == "a");
    CHECK_FALSE(caller.closes);
    caller.answer(1, "b");
    CHECK(caller.read() == "b");
    CHECK(caller.closes);
    CHECK(caller.taken.size() == 2);
}

TEST_CASE("A request that asks to close is the last one, behind the answers before it", "[caller][pipeline]")
{
    Connected caller;
    caller.send("GET", "/a");
    caller.send("GET", "/b", "Connection: close\r\n");
    caller.send("GET", "/c");
    REQUIRE(caller.taken.size() == 2);
    caller.answer(1, "b");
    CHECK(caller.read().empty());
    caller.answer(0, "a");
    CHECK(caller.read() == "ab");
    CHECK(caller.closes);
    CHECK(caller.taken.size() == 2);
}

TEST_CASE("What is no request is answered behind the answers that are due", "[caller][pipeline]")
{
    Connected caller;
    caller.send("GET", "/a");
    caller.connection->received("GET nonsense\r\n\r\n", bootNow());
    CHECK(caller.read().empty());
    caller.answer(0, "a");
    CHECK(caller.read().starts_with("a"));
    CHECK(caller.closes);
}

TEST_CASE("An answer for a request that has been answered is dropped", "[caller][pipeline]")
{
    Connected caller;
    caller.send("GET", "/a");
    caller.answer(0, "a");
    caller.answer(0, "x");
    CHECK(caller.read() == "a");
}
