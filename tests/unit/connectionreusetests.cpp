/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "startcall.h"

#include "net/callerserver.h"
#include "net/httpclient.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

const std::string SilentTarget = "/silent";

/// A server that answers all requests except those for SilentTarget.
class PartlySilentServer
{
public:
    /// @param keepAlive value of the Keep-Alive header of its answers.
    explicit PartlySilentServer(std::string keepAlive = "timeout=60")
        : keepAlive_(std::move(keepAlive))
    {
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server_.port());
    }

    /// @return the connections of the requests received so far, once there are @p count.
    std::vector<std::shared_ptr<CallerConnection>> connections(std::size_t count)
    {
        for (int wait = 0; wait < 500; ++wait) {
            if (const std::lock_guard lock(mutex_); connections_.size() >= count) {
                return connections_;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return {};
    }

private:
    void accept(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request)
    {
        const std::lock_guard lock(mutex_);
        connections_.push_back(connection);
        if (request.target != SilentTarget) {
            connection->answerTo(request.number, {200, "OK", {{"Content-Length", "0"}, {"Keep-Alive", keepAlive_}}, ""}, false);
        }
    }

    std::string keepAlive_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<CallerConnection>> connections_;
    CallerServer server_{{"127.0.0.1:0", 1, {}, {true, 1}}, [this](const auto &connection, const HttpRequest &request) { accept(connection, request); }};
};

std::future<HttpOutcome> get(HttpClient &client, HttpCallId id, const PartlySilentServer &server, const std::string &target, Duration timeout)
{
    HttpCall call;
    call.address = server.address();
    call.request = {"GET", target, {{"Host", "x"}}, "", true};
    call.timeout = timeout;
    call.mayReuseConnection = true;
    return startCall(client, id, std::move(call));
}

} // namespace

TEST_CASE("A connection on which no response came back is closed and never reused, so that no late response reaches another request", "[silent][net]")
{
    const bool isCancelled = GENERATE(false, true);
    PartlySilentServer server;
    HttpClient client(1);
    CHECK(std::get<HttpAnswer>(get(client, 1, server, "/", seconds(5)).get()).usedNewConnection);

    auto silent = get(client, 2, server, SilentTarget, isCancelled ? seconds(5) : milliseconds(200));
    REQUIRE(server.connections(2).size() == 2);
    if (isCancelled) {
        client.cancel(2, server.address());
    }
    const HttpOutcome outcome = silent.get();
    REQUIRE(std::holds_alternative<HttpFailure>(outcome));
    CHECK(std::get<HttpFailure>(outcome).wasSent);
    CHECK(std::get<HttpFailure>(outcome).isTimeout != isCancelled);
    CHECK(std::get<HttpFailure>(outcome).isCancelled == isCancelled);

    CHECK(std::get<HttpAnswer>(get(client, 3, server, "/", seconds(5)).get()).usedNewConnection);
    const auto connections = server.connections(3);
    REQUIRE(connections.size() == 3);
    CHECK(connections[1] == connections[0]); // An answered connection is reused.
    CHECK(connections[2] != connections[1]);
    CHECK(connections[1]->isGone());
}

TEST_CASE("A connection is not reused within the last second before its server may close it", "[net]")
{
    const int announced = GENERATE(2, 3);
    PartlySilentServer server("timeout=" + std::to_string(announced));
    HttpClient client(1);
    CHECK(std::get<HttpAnswer>(get(client, 1, server, "/", seconds(5)).get()).usedNewConnection);
    CHECK_FALSE(std::get<HttpAnswer>(get(client, 2, server, "/", seconds(5)).get()).usedNewConnection);
    std::this_thread::sleep_for(seconds(announced - 1) + milliseconds(200));
    CHECK(std::get<HttpAnswer>(get(client, 3, server, "/", seconds(5)).get()).usedNewConnection);
}
