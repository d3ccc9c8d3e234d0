/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/directoryrunner.h"
#include "directorystore.h"
#include "net/callerserver.h"
#include "net/crashjson.h"
#include "net/forwarding.h"
#include "net/relaymessages.h"
#include "startcall.h"
#include "storeclient.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Standins;
using namespace Cloverbarrow::Tests;

namespace
{

/// Counts events.
class EventCounter : public EventHandler
{
public:
    void handle(NodeEvent) override
    {
        ++count;
    }

    std::atomic<int> count{0};
};

/// Answers calls only when the test does.
class SilentStore : public DirectoryClient
{
public:
    void list(const ListDirectory &, DirectoryCallback done) override
    {
        keep(std::move(done));
    }
    void watch(const WatchDirectory &, DirectoryCallback done) override
    {
        keep(std::move(done));
    }
    void check(DirectoryCallback done) override
    {
        keep(std::move(done));
    }
    void readLeaderRecord(const std::string &, const ReadLeaderRecord &, DirectoryCallback done) override
    {
        keep(std::move(done));
    }
    void writeLeaderRecord(const std::string &, const WriteLeaderRecord &, DirectoryCallback done) override
    {
        keep(std::move(done));
    }
    void writeCrashReport(const std::string &, const WriteCrashReport &, DirectoryCallback done) override
    {
        keep(std::move(done));
    }
    void writeRolloutStatus(const WriteRolloutStatus &, DirectoryCallback done) override
    {
        keep(std::move(done));
    }
    DirectoryEntry decode(Collection, const std::string &) const override
    {
        return {};
    }
    std::uint64_t calls() const override
    {
        return 0;
    }

    DirectoryCallback lastCallback() const
    {
        const std::lock_guard lock(mutex_);
        return last_;
    }

private:
    void keep(DirectoryCallback done)
    {
        const std::lock_guard lock(mutex_);
        last_ = std::move(done);
    }

    mutable std::mutex mutex_;
    DirectoryCallback last_;
};

/// Overwrites freed memory while it exists, so that a use of it fails.
class FreedMemoryOverwriter
{
public:
    FreedMemoryOverwriter()
    {
        constexpr int Pattern = 0xA5;
        ::mallopt(M_PERTURB, Pattern);
    }
    ~FreedMemoryOverwriter()
    {
        ::mallopt(M_PERTURB, 0);
    }
    FreedMemoryOverwriter(const FreedMemoryOverwriter &) = delete;
    FreedMemoryOverwriter &operator=(const FreedMemoryOverwriter &) = delete;
};

/// Sends @p bytes at once on a new connection. @return the connection.
Descriptor sendTo(std::uint16_t port, const std::string &bytes)
{
    Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(socket.get(), reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0);
    REQUIRE(::send(socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    return socket;
}

/// @return a free port on the loopback device.
std::uint16_t freePort()
{
    CallerServerOptions options;
    options.address = "127.0.0.1:0";
    return CallerServer(options, [](const std::shared_ptr<CallerConnection> &, const HttpRequest &) {}).port();
}

} // namespace

// Guards against an access to the core of an entry VM that has not constructed it yet.
TEST_CASE("Crash updates that arrive while an entry VM starts are rejected, and answered afterwards", "[platform][startup]")
{
    DirectoryStore store;
    HttpClient client(1);
    EventCounter events;
    DirectorySettings settings;
    settings.address = store.address();
    settings.relayAddress = "127.0.0.1:" + std::to_string(freePort());
    DirectoryRunner runner(settings, "entry-1", "bog-a", 7, std::make_unique<Platform::StoreClient>(client, store.address()), client, nullptr, events);
    HttpCallId calls = 0;
    const auto post = [&] {
        HttpCall call;
        call.address = settings.relayAddress;
        call.request = {"POST", std::string(CrashUpdatesTarget), {{"Host", "x"}}, encodeCrashUpdates({"10.0.0.2:7200", {}}), true};
        call.timeout = seconds(20);
        return std::get<HttpAnswer>(startCall(client, ++calls, std::move(call)).get());
    };
    CHECK(post().status == 404);
    CHECK(events.count == 0);
    runner.setForwardedRequestHandler([](const std::shared_ptr<CallerConnection> &, const HttpRequest &) {});
    runner.crashUpdates().setHasUpdates(false);
    const HttpAnswer answer = post();
    CHECK(answer.status == 200);
    runner.crashUpdates().tick();
    CHECK(decodeCrashUpdatesAnswer(answer.body) == CrashExchangeOutcome::NothingToSend);
    CHECK(events.count == 1);
    runner.stop();
    client.stop();
}

// The next request of the connection is handled by the thread that answers the former one.
TEST_CASE("A connection to the relay that is answered after the stop uses no object that has ended", "[platform][lifetime]")
{
    const FreedMemoryOverwriter overwriter;
    HttpClient client(1);
    EventCounter events;
    DirectorySettings settings;
    const std::uint16_t port = freePort();
    settings.relayAddress = "127.0.0.1:" + std::to_string(port);
    DirectoryRunner runner(settings, "entry-1", "bog-a", 7, std::make_unique<SilentStore>(), client, nullptr, events);
    std::atomic<int> requests{0};
    std::promise<std::shared_ptr<CallerConnection>> first;
    runner.setForwardedRequestHandler([&requests, &first](const std::shared_ptr<CallerConnection> &connection, const HttpRequest &) {
        if (++requests == 1) {
            first.set_value(connection);
        }
    });
    const std::string request = std::string("GET / HTTP/1.1\r\nHost: x\r\n") + ForwardHeader + ": {}\r\n\r\n";
    const Descriptor socket = sendTo(port, request + request);
    const auto connection = first.get_future().get();
    runner.stop();
    connection->answer({}, false);
    CHECK(requests == 2);
    client.stop();
}

// Seen by a sanitizer for threads or addresses.
TEST_CASE("Answers of the store that are being handled at the stop use no relay that has ended", "[platform][lifetime]")
{
    constexpr int Rounds = 20;
    constexpr int Threads = 2;
    HttpClient client(1);
    EventCounter events;
    for (int round = 0; round < Rounds; ++round) {
        DirectorySettings settings;
        settings.relayAddress = "127.0.0.1:0";
        auto store = std::make_unique<SilentStore>();
        const SilentStore &calls = *store;
        DirectoryRunner runner(settings, "entry-1", "bog-a", 7, std::move(store), client, nullptr, events);
        while (!calls.lastCallback()) {
            runner.tick();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        std::atomic<int> handled{0};
        std::atomic<bool> isOver{false};
        std::vector<std::thread> threads;
        threads.reserve(Threads);
        for (int number = 0; number < Threads; ++number) {
            threads.emplace_back([&calls, &handled, &isOver] {
                while (!isOver) {
                    calls.lastCallback()({0, DirectoryChecked{true}});
                    ++handled;
                }
            });
        }
        while (handled < Threads) {
            std::this_thread::yield();
        }
        runner.stop();
        isOver = true;
        for (std::thread &thread : threads) {
            thread.join();
        }
    }
    client.stop();
}
