/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "loopbacklistener.h"
#include "startcall.h"

#include "net/httpclient.h"
#include "net/receivewindow.h"

#include <catch2/catch.hpp>

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr std::size_t BodyBytes = 4 * 1024 * 1024;
const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::future<HttpOutcome> post(HttpClient &client, const std::string &address, Duration timeout)
{
    HttpCall call;
    call.address = address;
    call.request = {"POST", "/", {{"Host", "x"}}, std::string(BodyBytes, 'a'), true};
    call.timeout = timeout;
    return startCall(client, 1, std::move(call));
}

void readUntilIdle(int fd)
{
    std::vector<char> buffer(65536);
    for (pollfd entry{fd, POLLIN, 0}; ::poll(&entry, 1, 500) > 0;) {
        if (::recv(fd, buffer.data(), buffer.size(), 0) <= 0) {
            return;
        }
    }
}

/// Drops every segment that arrives at @p fd from now on, as if its host were powered off.
void dropArrivals(int fd)
{
    sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &dropAll};
    REQUIRE(::setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0);
}

} // namespace

TEST_CASE("A request whose server reads its body late is not broken off", "[net][window]")
{
    const LoopbackListener listener(1);
    HttpClient client(1);
    auto outcome = post(client, listener.address(), seconds(20));
    const Descriptor server(::accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
    const bool answersFirst = GENERATE(false, true);
    if (answersFirst) {
        REQUIRE(::send(server.get(), Ok.data(), Ok.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(Ok.size()));
    }
    std::this_thread::sleep_for(seconds(4));
    readUntilIdle(server.get());
    if (!answersFirst) {
        REQUIRE(::send(server.get(), Ok.data(), Ok.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(Ok.size()));
    }
    REQUIRE(outcome.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    const HttpOutcome result = outcome.get();
    INFO((std::holds_alternative<HttpFailure>(result) ? std::get<HttpFailure>(result).reason : std::string()));
    CHECK(std::holds_alternative<HttpAnswer>(result));
}

TEST_CASE("A request whose server is powered off before it has read the body ends before its deadline", "[net][window]")
{
    const LoopbackListener listener(1);
    HttpClient client(1);
    auto outcome = post(client, listener.address(), seconds(60));
    const Descriptor server(::accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
    // Also later than the user timeout, when the kernel does not end the connection any more.
    std::this_thread::sleep_for(GENERATE(seconds(1), seconds(5)));
    dropArrivals(server.get());
    REQUIRE(outcome.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
    const HttpOutcome result = outcome.get();
    REQUIRE(std::holds_alternative<HttpFailure>(result));
    CHECK(std::get<HttpFailure>(result).wasSent);
    CHECK_FALSE(std::get<HttpFailure>(result).isCancelled);
}

TEST_CASE("A request whose server reads its body in small pieces is not broken off", "[net][window]")
{
    const LoopbackListener listener(1);
    const int segment = 1400;
    REQUIRE(::setsockopt(listener.fd(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment) == 0);
    HttpClient client(1);
    auto outcome = post(client, listener.address(), seconds(20));
    const Descriptor server(::accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
    std::vector<char> piece(64 * 1024);
    for (int count = 0; count < 3; ++count) {
        std::this_thread::sleep_for(milliseconds(2500));
        REQUIRE(::recv(server.get(), piece.data(), piece.size(), 0) > 0);
    }
    readUntilIdle(server.get());
    REQUIRE(::send(server.get(), Ok.data(), Ok.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(Ok.size()));
    REQUIRE(outcome.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    CHECK(std::holds_alternative<HttpAnswer>(outcome.get()));
}

TEST_CASE("A peer counts as gone only if it has acknowledged nothing for the user timeout", "[net][window]")
{
    TcpStatus status;
    status.unsentBytes = 1000;
    status.unansweredProbes = 2;
    status.sinceLastAcknowledgement = UserTimeout;
    CHECK(awaitsReceiver(status));
    CHECK(hasPeerGone(status));
    SECTION("one probe may have been lost")
    {
        status.unansweredProbes = 1;
        CHECK_FALSE(hasPeerGone(status));
    }
    SECTION("it has acknowledged something since")
    {
        status.sinceLastAcknowledgement = UserTimeout - milliseconds(1);
        CHECK_FALSE(hasPeerGone(status));
    }
    SECTION("nothing is to be acknowledged")
    {
        status.unsentBytes = 0;
        CHECK_FALSE(hasPeerGone(status));
        CHECK_FALSE(awaitsReceiver(status));
    }
    SECTION("it drops what it has no room for")
    {
        status.unacknowledgedSegments = 1;
        CHECK_FALSE(awaitsReceiver(status));
        status.hasZeroWindow = true;
        CHECK(awaitsReceiver(status));
    }
}
