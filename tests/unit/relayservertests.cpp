/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "rawcaller.h"
#include "startcall.h"

#include "net/bootclock.h"
#include "net/forwarding.h"
#include "net/httpclient.h"
#include "net/relaymessages.h"
#include "net/relayserver.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <string>
#include <thread>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

/// A relay whose proof of store contact and start-up phase the test controls.
class StartingRelay
{
public:
    StartingRelay()
    {
        const auto noUpdate = [](Collection, std::int64_t) { return std::optional<CollectionUpdate>(); };
        const auto proof = [this](const ProofRequest &) { return ProofAnswer{hasProof ? std::optional(RelayProof{}) : std::nullopt, std::nullopt}; };
        server = std::make_unique<RelayServer>("127.0.0.1:0", RelaySource{noUpdate, proof, [this] { return isStarting.load(); }});
    }

    /// Requests a proof. @return the status of the answer; 0 if there is none.
    std::future<int> requestProof(HttpClient &client)
    {
        HttpCall call;
        call.address = "127.0.0.1:" + std::to_string(server->port());
        call.request.method = "GET";
        call.request.target = proofTarget("10.0.0.1:7200");
        call.request.headers = {{"Host", call.address}};
        call.timeout = seconds(20);
        auto done = std::make_shared<std::promise<int>>();
        client.start(++lastCall_, std::move(call), [done](const HttpOutcome &outcome) {
            const auto *answer = std::get_if<HttpAnswer>(&outcome);
            done->set_value(answer ? answer->status : 0);
        });
        return done->get_future();
    }

    std::atomic<bool> hasProof{false};
    std::atomic<bool> isStarting{false};
    std::unique_ptr<RelayServer> server;

private:
    HttpCallId lastCall_ = 0;
};

} // namespace

TEST_CASE("A starting relay holds requests for its proof until it has one", "[relay][herd]")
{
    HttpClient client(1);
    StartingRelay relay;
    SECTION("as soon as the proof is available")
    {
        relay.isStarting = true;
        auto status = relay.requestProof(client);
        // The answer is the proof whether the request or the proof comes first.
        relay.hasProof = true;
        while (status.wait_for(std::chrono::milliseconds(1)) != std::future_status::ready) {
            relay.server->answerWaitingFollowers();
        }
        CHECK(status.get() == 200);
    }
    SECTION("or answers 503 if the proof does not come in time")
    {
        relay.isStarting = true;
        auto status = relay.requestProof(client);
        while (status.wait_for(std::chrono::milliseconds(1)) != std::future_status::ready) {
            relay.server->answerWaitingFollowers();
        }
        CHECK(status.get() == 503);
    }
    SECTION("while an entry VM that is not a relay answers 503 at once")
    {
        CHECK(relay.requestProof(client).get() == 503);
    }
    client.stop();
}

TEST_CASE("A connection on which a follower waits for the relay is closed when the follower has gone", "[relay][end]")
{
    StartingRelay relay;
    std::string target = proofTarget("10.0.0.1:7200");
    SECTION("while it waits for a proof")
    {
        relay.isStarting = true;
    }
    SECTION("while it waits for the entries of a collection")
    {
        target = collectionUpdateTarget({Collection::Servers, 0, seconds(20)});
    }
    const auto hasInFlight = [&relay](std::size_t count) {
        for (int wait = 0; wait < 500 && relay.server->connectionCounts().inFlight != count; ++wait) {
            relay.server->checkTimeouts(bootNow());
            std::this_thread::sleep_for(milliseconds(2));
        }
        return relay.server->connectionCounts().inFlight == count;
    };
    {
        RawCaller follower("127.0.0.1:" + std::to_string(relay.server->port()));
        follower.send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(hasInFlight(1));
    }
    CHECK(hasInFlight(0));
}

TEST_CASE("A proof carries the relay's reports on slow servers only if those of the follower were accepted", "[relay][slow]")
{
    const std::string sent = GENERATE("", "reports", "invalid");
    RelaySource source;
    source.collectionUpdate = [](Collection, std::int64_t) { return std::optional<CollectionUpdate>(); };
    source.proof = [](const ProofRequest &) { return ProofAnswer{RelayProof{}, std::nullopt}; };
    source.isStarting = [] { return false; };
    std::promise<std::string> accepted;
    source.acceptSlowServers = [&accepted](const std::string &follower, const std::string &text) -> std::function<std::string()> {
        accepted.set_value(follower + " " + text);
        return text == "reports" ? [] { return std::string("answer"); } : std::function<std::string()>();
    };
    RelayServer server("127.0.0.1:0", source);
    HttpClient client(1);
    HttpCall call;
    call.address = "127.0.0.1:" + std::to_string(server.port());
    call.request.method = sent.empty() ? "GET" : "POST";
    call.request.target = proofTarget("10.0.0.1:7200");
    call.request.headers = {{"Host", call.address}};
    call.request.body = sent;
    call.timeout = seconds(20);
    std::promise<std::string> body;
    client.start(1, std::move(call), [&body](const HttpOutcome &outcome) {
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        body.set_value(answer ? std::string(answer->body) : "none");
    });
    const RelayProof received = decodeProof(body.get_future().get());
    CHECK(received.slowServers == (sent == "reports" ? "answer" : ""));
    if (!sent.empty()) {
        CHECK(accepted.get_future().get() == "10.0.0.1:7200 " + sent);
    }
    client.stop();
}

TEST_CASE("A forwarded request for which there is no memory is refused as not executed, so that another entry VM is asked", "[relay][memory]")
{
    RelaySource source;
    bool wasAccepted = false;
    source.acceptForwarded = [&wasAccepted](const auto &, const HttpRequest &) { wasAccepted = true; };
    RelayServer server("127.0.0.1:0", source, std::make_shared<MemoryBudget>(1024 * 1024));
    HttpClient client(1);
    HttpCall call;
    call.address = "127.0.0.1:" + std::to_string(server.port());
    call.request.method = "POST";
    call.request.target = "/a";
    call.request.headers = {{"Host", call.address}, {ForwardHeader, "{}"}, {ForwardTagHeader, "tag-1"}};
    call.request.body = std::string(2 * 1024 * 1024, 'd');
    call.timeout = seconds(20);
    call.echo = {ForwardTagHeader, "tag-1", true};
    const HttpOutcome outcome = startCall(client, 1, std::move(call)).get();
    client.stop();
    REQUIRE(std::holds_alternative<HttpAnswer>(outcome));
    const ForwardOutcome interpreted = interpretForwardedAnswer(std::get<HttpAnswer>(outcome));
    REQUIRE(std::holds_alternative<ForwardRefused>(interpreted));
    const Problem &problem = std::get<ForwardRefused>(interpreted).problem;
    CHECK(problem.executionStatus == ExecutionStatus::NotExecuted);
    CHECK(problem.isLocalFault);
    CHECK(problem.retryAfter);
    CHECK_FALSE(wasAccepted);
}
