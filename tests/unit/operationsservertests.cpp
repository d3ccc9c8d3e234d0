/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/operationsserver.h"
#include "net/httpclient.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>

using namespace Cloverbarrow;

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
