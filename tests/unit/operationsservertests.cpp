/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/operationsserver.h"

#include "net/bootclock.h"
#include "net/httpclient.h"
#include "rawcaller.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr int AnswerTimeoutMs = 2'000;
const std::string Readiness = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string Chunked = "POST /readyz HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

/// An operations endpoint whose readiness the test controls.
struct Endpoint {
    std::string unreadyReason;
    OperationsServer server{"127.0.0.1:0", {[] { return std::string("requests 7\n"); }, [this] { return unreadyReason; }}};
    std::string address = "127.0.0.1:" + std::to_string(server.port());

    /// @return the answer to a request on a new connection.
    std::string ask(const std::string &method, const std::string &target) const
    {
        RawCaller caller(address);
        caller.send(method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        return caller.readAll(AnswerTimeoutMs);
    }
};

/// Sends @p text in two parts that the server receives separately.
void sendInParts(RawCaller &caller, std::string_view text, std::size_t firstPart)
{
    caller.send(text.substr(0, firstPart));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    caller.send(text.substr(firstPart));
}

} // namespace

TEST_CASE("A chunked body that arrives in parts doesn't end the readiness answers", "[operations]")
{
    // Not destroyed if the test fails, since a server whose thread loops can't be.
    auto endpoint = std::make_unique<Endpoint>().release();
    RawCaller caller(endpoint->address);
    // In the line end of a chunk.
    const std::string request = Chunked + "5\r\nabcde\r\n0\r\n\r\n";
    sendInParts(caller, request, request.find("\n0"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    REQUIRE(endpoint->ask("GET", "/readyz").starts_with("HTTP/1.1 200"));
    delete endpoint;
}

TEST_CASE("A readiness call that is cut at any byte is answered as a whole one", "[operations]")
{
    const Endpoint endpoint;
    for (std::size_t cut = 1; cut < Readiness.size(); ++cut) {
        RawCaller caller(endpoint.address);
        sendInParts(caller, Readiness, cut);
        INFO("after " << cut << " bytes");
        CHECK(caller.readUntil("ready\n", 1, AnswerTimeoutMs).starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("A readiness call without a Host header is answered", "[operations]")
{
    const Endpoint endpoint;
    RawCaller caller(endpoint.address);
    caller.send("GET /readyz HTTP/1.1\r\n\r\n");
    CHECK(caller.readUntil("ready\n", 1, AnswerTimeoutMs).starts_with("HTTP/1.1 200"));
}

TEST_CASE("Readiness calls sent ahead are all answered", "[operations]")
{
    const Endpoint endpoint;
    RawCaller caller(endpoint.address);
    caller.send(Readiness + Readiness + Readiness);
    CHECK(RawCaller::occurrences(caller.readUntil("ready\n", 3, AnswerTimeoutMs), "HTTP/1.1 200") == 3);
}

TEST_CASE("The operations endpoint serves metrics, liveness and readiness", "[operations]")
{
    Endpoint endpoint;
    CHECK(endpoint.ask("GET", "/metrics").ends_with("\r\n\r\nrequests 7\n"));
    CHECK(endpoint.ask("GET", "/metrics?name=a").ends_with("\r\n\r\nrequests 7\n"));
    CHECK(endpoint.ask("GET", "/healthz").ends_with("\r\n\r\nalive\n"));
    CHECK(endpoint.ask("GET", "/readyz").starts_with("HTTP/1.1 200"));
    CHECK(endpoint.ask("POST", "/readyz").starts_with("HTTP/1.1 405"));
    CHECK(endpoint.ask("GET", "/other").starts_with("HTTP/1.1 404"));
    endpoint.unreadyReason = "no configuration";
    const std::string answer = endpoint.ask("GET", "/readyz");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.ends_with("\r\n\r\nnot ready: no configuration\n"));
}

TEST_CASE("An idle connection to the operations endpoint is closed", "[operations]")
{
    Endpoint endpoint;
    RawCaller caller(endpoint.address);
    caller.send(Readiness);
    REQUIRE(!caller.readUntil("ready\n", 1, AnswerTimeoutMs).empty());
    endpoint.server.checkTimeouts(bootNow() + seconds(360));
    const auto start = std::chrono::steady_clock::now();
    CHECK(caller.readAll(AnswerTimeoutMs).empty());
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(AnswerTimeoutMs));
}

TEST_CASE("A question about the readiness uses its source no more after the stop", "[operations][lifetime]")
{
    std::promise<void> entered;
    std::atomic<bool> isInside{false};
    const auto unreadyReason = [&entered, &isInside] {
        isInside = true;
        entered.set_value();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        isInside = false;
        return std::string();
    };
    OperationsServer server("127.0.0.1:0", {[] { return std::string(); }, unreadyReason});
    HttpClient client(1);
    HttpCall call;
    call.address = "127.0.0.1:" + std::to_string(server.port());
    call.request.method = "GET";
    call.request.target = "/readyz";
    call.request.headers = {{"Host", call.address}};
    call.timeout = seconds(20);
    client.start(1, std::move(call), [](const HttpOutcome &) {});
    entered.get_future().wait();
    server.stop();
    CHECK_FALSE(isInside);
    client.stop();
}
