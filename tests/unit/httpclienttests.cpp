/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/httpclient.h"

#include "net/bootclock.h"
#include "net/callerserver.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <string>

using namespace Cloverbarrow;

TEST_CASE("A call that starts under the id of another one in flight does not leave that one without an outcome", "[http][lifetime]")
{
    CallerServerOptions options;
    options.address = "127.0.0.1:0";
    // Never answers.
    const CallerServer server(options, [](const std::shared_ptr<CallerConnection> &, const HttpRequest &) {});
    std::promise<HttpOutcome> first;
    std::promise<HttpOutcome> second;
    HttpClient client(1);
    for (std::promise<HttpOutcome> *done : {&first, &second}) {
        HttpCall call;
        call.address = "127.0.0.1:" + std::to_string(server.port());
        call.request = {"GET", "/", {{"Host", "x"}}, "", true};
        call.timeout = seconds(20);
        client.start(7, std::move(call), [done](HttpOutcome outcome) { done->set_value(std::move(outcome)); });
    }
    auto outcome = first.get_future();
    REQUIRE(outcome.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    CHECK(std::holds_alternative<HttpFailure>(outcome.get()));
    client.stop();
    CHECK(std::holds_alternative<HttpFailure>(second.get_future().get()));
}

TEST_CASE("A call does not time out before its time has passed, so that its request is not retried just before the deadline", "[http][timeout]")
{
    CallerServerOptions options;
    options.address = "127.0.0.1:0";
    // Never answers.
    const CallerServer server(options, [](const std::shared_ptr<CallerConnection> &, const HttpRequest &) {});
    HttpClient client(1);
    for (HttpCallId number = 1; number <= 20; ++number) {
        HttpCall call;
        call.address = "127.0.0.1:" + std::to_string(server.port());
        call.request = {"GET", "/", {{"Host", "x"}}, "", true};
        call.timeout = microseconds(5999);
        const TimePoint deadline = bootNow() + call.timeout;
        std::promise<TimePoint> ended;
        client.start(number, std::move(call), [&ended](const HttpOutcome &) { ended.set_value(bootNow()); });
        CHECK(ended.get_future().get() >= deadline);
    }
}
