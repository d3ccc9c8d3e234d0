/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "connectedcaller.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <sys/socket.h>

#include <array>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

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
    ConnectedCaller caller({.maxRequestsInFlight = 2});
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

TEST_CASE("An idle connection keeps hardly any memory of the requests and answers that it has carried", "[caller][memory]")
{
    constexpr std::size_t LargeBytes = 4 * 1024 * 1024;
    const auto budget = std::make_shared<MemoryBudget>(64 * 1024 * 1024);
    ConnectedCaller caller({.maxRequestsInFlight = 4, .memory = budget});
    const std::string content(LargeBytes, 'd');
    SECTION("with a length")
    {
        caller.send("POST", "/a", "Content-Length: " + std::to_string(LargeBytes) + "\r\n");
        caller.connection->received(content, bootNow());
        REQUIRE(caller.dispatched.size() == 1);
        CHECK(budget->counts().peakBytes < LargeBytes + LargeBytes / 2 + MemoryBudget::SmallBytes);
    }
    SECTION("in chunks")
    {
        caller.send("POST", "/a", "Transfer-Encoding: chunked\r\n");
        caller.connection->received("400000\r\n" + content + "\r\n0\r\n\r\n", bootNow());
        REQUIRE(caller.dispatched.size() == 1);
    }
    CHECK(caller.dispatched[0].body == content);
    caller.dispatched[0].body = {};
    caller.answer(0, "a");
    CHECK(budget->counts().usedBytes <= MemoryBudget::SmallBytes);
    caller.connection->checkTimeouts(bootNow() + seconds(2));
    CHECK(budget->counts().usedBytes <= 4096);
    caller.send("GET", "/b");
    CHECK(caller.dispatched.size() == 2);
}

TEST_CASE("A request for which there is no memory is refused before its body arrives, and is not dispatched", "[caller][memory]")
{
    const auto budget = std::make_shared<MemoryBudget>(1024 * 1024);
    ConnectedCaller caller({.maxRequestsInFlight = 4, .memory = budget});
    SECTION("with a length")
    {
        caller.send("POST", "/a", "Content-Length: 2000000\r\n");
    }
    SECTION("in chunks")
    {
        caller.send("POST", "/a", "Transfer-Encoding: chunked\r\n");
        caller.connection->received("200000\r\n" + std::string(1'500'000, 'd'), bootNow());
    }
    const std::string answer = caller.readBytes();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("\"outcome\":\"not-run\"") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(caller.dispatched.empty());
    // The rest of the body is discarded.
    caller.connection->received(std::string(500'000, 'd'), bootNow());
    CHECK(caller.dispatched.empty());
    CHECK(budget->counts().usedBytes <= MemoryBudget::SmallBytes);
    CHECK(budget->counts().refusedRequests == 1);
}

TEST_CASE("An answer that its caller does not read keeps its memory reserved until the connection closes", "[caller][memory]")
{
    const auto budget = std::make_shared<MemoryBudget>(64 * 1024 * 1024);
    ConnectedCaller caller({.maxRequestsInFlight = 4, .memory = budget});
    caller.send("GET", "/a");
    BodyBuilder body(budget, MemoryUse::Answer);
    REQUIRE(body.append(std::string(4 * 1024 * 1024, 'd')));
    HttpAnswer answer;
    answer.body = body.take();
    caller.connection->answerTo(caller.dispatched.at(0).number, answer, false);
    answer = {};
    CHECK(budget->counts().usedBytes >= 4 * 1024 * 1024);
    caller.connection->checkTimeouts(bootNow() + seconds(60));
    CHECK(caller.connection->isClosed());
    CHECK(budget->counts().usedBytes == 0);
}

TEST_CASE("Answers that wait behind one that is read late are not counted any more once they have been sent", "[caller][memory]")
{
    const auto budget = std::make_shared<MemoryBudget>(64 * 1024 * 1024);
    ConnectedCaller caller({.maxRequestsInFlight = 4, .memory = budget});
    caller.send("GET", "/a");
    caller.send("GET", "/b");
    caller.answer(0, std::string(4 * 1024 * 1024, 'a'));
    caller.answer(1, std::string(10'000, 'b'));
    CHECK(budget->counts().usedBytes >= 10'000);
    while (caller.connection->isSending()) {
        caller.readBytes();
        caller.connection->checkTimeouts(bootNow());
    }
    caller.connection->checkTimeouts(bootNow() + seconds(2));
    CHECK(budget->counts().usedBytes <= 4096);
}

TEST_CASE("A connection for which there is no descriptor is closed instead of staying open without answers", "[caller]")
{
    std::array<int, 2> ends{};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    const Descriptor serverEnd(ends[0]);
    const Descriptor callerEnd(ends[1]);
    rlimit limit{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    // No number below the limit is free.
    const rlimit none{0, limit.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
    int dispatched = 0;
    const auto connection = std::make_shared<CallerConnection>(
        serverEnd.get(), CallerBounds(), CallerConnection::Options(), [&dispatched](const auto &, const HttpRequest &) { ++dispatched; });
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
    connection->received("GET / HTTP/1.1\r\nHost: tablero.example\r\n\r\n", bootNow());
    CHECK(dispatched == 0);
    CHECK(connection->isClosed());
    char byte = 0;
    CHECK(::recv(callerEnd.get(), &byte, 1, MSG_DONTWAIT) == 0);
}
