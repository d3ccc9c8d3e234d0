/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/httpclient.h"
#include "net/relaymessages.h"
#include "net/relayserver.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace Cloverbarrow;

namespace
{

/// A relay that has a proof, or may have one soon, as told.
class StartingRelay
{
public:
    StartingRelay()
    {
        const auto news = [](Collection, std::int64_t) { return std::optional<DirectoryNews>(); };
        const auto proof = [this](const std::string &) { return hasProof ? std::optional(RelayProof{}) : std::nullopt; };
        server = std::make_unique<RelayServer>("127.0.0.1:0", RelaySource{news, proof, [this] { return isStarting.load(); }});
    }

    /// Asks for a proof. @return the status of the answer, when there is one.
    std::future<int> ask(HttpClient &client)
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

TEST_CASE("A relay that has just started tells its first proof to those that asked before it had one", "[relay][herd]")
{
    HttpClient client(1);
    StartingRelay relay;
    SECTION("as soon as it has it")
    {
        relay.isStarting = true;
        auto status = relay.ask(client);
        // Whether the question or the proof comes first, the answer is the proof.
        relay.hasProof = true;
        while (status.wait_for(std::chrono::milliseconds(1)) != std::future_status::ready) {
            relay.server->answerWaiting();
        }
        CHECK(status.get() == 200);
    }
    SECTION("and says at last that it has none")
    {
        relay.isStarting = true;
        auto status = relay.ask(client);
        while (status.wait_for(std::chrono::milliseconds(1)) != std::future_status::ready) {
            relay.server->answerWaiting();
        }
        CHECK(status.get() == 503);
    }
    SECTION("and one that does not relay says so at once")
    {
        CHECK(relay.ask(client).get() == 503);
    }
    client.stop();
}
