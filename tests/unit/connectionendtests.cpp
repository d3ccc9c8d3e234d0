/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "connectedcaller.h"
#include "loopbacklistener.h"
#include "rawcaller.h"

#include "net/callerserver.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr Duration IdleLimit = seconds(15);

CallerBounds idleBounds(Duration limit = IdleLimit)
{
    CallerBounds bounds;
    bounds.idleTimeout = limit;
    return bounds;
}

/// A server whose only reading thread can be blocked, as on a VM that gets little processor time.
class LateReader
{
public:
    LateReader()
        : server_({.address = "127.0.0.1:0", .threads = 1, .bounds = idleBounds()}, [this](const auto &connection, const HttpRequest &request) {
            if (request.target == "/block") {
                isBlocked_ = true;
                unblock_.get_future().wait();
            }
            HttpAnswer answer;
            answer.body = request.target;
            connection->answerTo(request.number, answer, false);
        })
    {
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server_.port());
    }

    CallerServer &server()
    {
        return server_;
    }

    void block(RawCaller &caller)
    {
        caller.send(request("/block"));
        while (!isBlocked_) {
            std::this_thread::yield();
        }
    }

    void unblock()
    {
        unblock_.set_value();
    }

    static std::string request(const std::string &target)
    {
        return "POST " + target + " HTTP/1.1\r\nHost: tablero.example\r\nContent-Length: 0\r\n\r\n";
    }

private:
    std::promise<void> unblock_;
    std::atomic<bool> isBlocked_{false};
    CallerServer server_;
};

/// @return how many descriptors this process waits for with epoll.
int watchedDescriptors()
{
    int count = 0;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fdinfo")) {
        std::ifstream info(entry.path());
        for (std::string line; std::getline(info, line);) {
            count += line.starts_with("tfd:") ? 1 : 0;
        }
    }
    return count;
}

/// A TCP connection whose test also plays the thread that reads from the socket.
class AcceptedCaller
{
public:
    AcceptedCaller()
    {
        caller.emplace(listener_.address());
        const Descriptor accepted(::accept(listener_.fd(), nullptr, nullptr));
        CallerConnection::Options options;
        options.treatsHalfCloseAsClosed = true;
        connection = std::make_shared<CallerConnection>(
            accepted.get(), idleBounds(), options, [this](const auto &, const HttpRequest &request) { number = request.number; });
    }

    std::optional<RawCaller> caller;
    std::shared_ptr<CallerConnection> connection;
    std::uint64_t number = 0; ///< Of the last request.

private:
    LoopbackListener listener_{1};
};

} // namespace

TEST_CASE("A request that waits in its socket when its connection is to be ended is answered", "[caller][end]")
{
    LateReader reader;
    RawCaller blocking(reader.address());
    RawCaller caller(reader.address());
    caller.send(LateReader::request("/first"));
    REQUIRE(caller.readUntil("/first").find("/first") != std::string::npos);
    reader.block(blocking);
    caller.send(LateReader::request("/second"));
    std::this_thread::sleep_for(milliseconds(300));
    SECTION("by the idle limit")
    {
        reader.server().checkTimeouts(bootNow() + IdleLimit + seconds(1));
        reader.unblock();
        CHECK(caller.readUntil("/second", 1, 5000).find("/second") != std::string::npos);
    }
    SECTION("by a stop, and the answer announces the end")
    {
        reader.server().closeConnections();
        CHECK(reader.server().unfinishedConnections() == 1);
        reader.unblock();
        const std::string answer = caller.readAll(5000);
        CHECK(answer.find("/second") != std::string::npos);
        CHECK(answer.find("Connection: close") != std::string::npos);
    }
    CHECK(reader.server().connectionCounts().droppedInputs == 0);
}

TEST_CASE("A request that is read after its connection's input was closed is answered, and the answer announces the end", "[caller][end]")
{
    ConnectedCaller caller({}, idleBounds());
    SECTION("by the idle limit")
    {
        caller.connection->checkTimeouts(bootNow() + IdleLimit + seconds(1));
    }
    SECTION("by a stop")
    {
        caller.connection->closeGracefully();
    }
    caller.send("GET", "/a");
    caller.connection->inputEnded();
    REQUIRE(caller.dispatched.size() == 1);
    caller.answer(0, "a");
    CHECK(caller.read() == "a");
    CHECK(caller.closes);
}

TEST_CASE("A caller that leaves is noticed although its request was read after its connection's input was closed", "[caller][end]")
{
    AcceptedCaller accepted;
    accepted.connection->checkTimeouts(bootNow() + IdleLimit + seconds(1));
    accepted.connection->received(LateReader::request("/a"), bootNow());
    accepted.connection->inputEnded();
    REQUIRE(accepted.number != 0);
    CHECK_FALSE(accepted.connection->isGone());
    SECTION("before it has its answer")
    {
        accepted.caller.reset();
        CHECK(accepted.connection->isGone());
    }
    SECTION("after it has its answer")
    {
        accepted.connection->answerTo(accepted.number, HttpAnswer(), false);
        CHECK(accepted.caller->readAll(5000).find("Connection: close") != std::string::npos);
        accepted.caller.reset();
        accepted.connection->checkTimeouts(bootNow());
        CHECK(accepted.connection->isClosed());
    }
}

TEST_CASE("What arrives on a connection after its end is not read, and the caller sees a reset", "[caller][end]")
{
    LateReader reader;
    RawCaller caller(reader.address());
    caller.send(LateReader::request("/first"));
    REQUIRE(caller.readUntil("/first").find("/first") != std::string::npos);
    SECTION("by the idle limit")
    {
        reader.server().checkTimeouts(bootNow() + IdleLimit + seconds(1));
    }
    SECTION("by a stop")
    {
        reader.server().closeConnections();
    }
    REQUIRE(caller.readAll(5000).empty());
    caller.send(LateReader::request("/late"));
    CHECK(caller.isReset());
    const ConnectionCounts counts = reader.server().connectionCounts();
    CHECK(counts.read == 1);
    CHECK(counts.droppedInputs == 0);
}

TEST_CASE("A request that arrives in part while its connection is ended is refused instead of dropped", "[caller][end]")
{
    ConnectedCaller caller({}, idleBounds());
    caller.connection->checkTimeouts(bootNow() + IdleLimit + seconds(1));
    caller.connection->received("GET /a HTTP/1.1\r\nHo", bootNow());
    caller.connection->inputEnded();
    const std::string answer = caller.readBytes();
    CHECK(answer.starts_with("HTTP/1.1 408 "));
    CHECK(answer.find("\"outcome\":\"not-run\"") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(caller.dispatched.empty());
}

TEST_CASE("A request that waits behind an answer when its connection is to end gets an answer that announces the end", "[caller][end]")
{
    ConnectedCaller caller;
    caller.send("GET", "/a");
    caller.answer(0, std::string(4 * 1024 * 1024, 'a'));
    REQUIRE(caller.connection->isSending());
    SECTION("read before that, ended by the notice of a stop")
    {
        caller.send("POST", "/b");
        caller.connection->closeAfterAnswer();
    }
    SECTION("read before that, ended by a stop")
    {
        caller.send("POST", "/b");
        caller.connection->closeGracefully();
    }
    SECTION("read after the answer has been sent")
    {
        REQUIRE(caller.sendBytes("POST /b HTTP/1.1\r\nHost: tablero.example\r\n\r\n") > 0);
        caller.connection->closeGracefully();
    }
    while (!caller.readBytes().empty()) {
        caller.connection->checkTimeouts(bootNow());
    }
    caller.passOn(1024);
    REQUIRE(caller.dispatched.size() == 2);
    caller.answer(1, "b");
    CHECK(caller.read() == "b");
    CHECK(caller.closes);
}

TEST_CASE("A caller that sends too much while it reads its answer is refused after that answer, and nothing after the gap is read", "[caller][end]")
{
    ConnectedCaller caller;
    caller.send("GET", "/a");
    caller.answer(0, std::string(4 * 1024 * 1024, 'a'));
    caller.send("POST", "/b", "Content-Length: 300000\r\n");
    caller.connection->received(std::string(200'000, 'b'), bootNow());
    caller.connection->received(std::string(100'000, 'b'), bootNow());
    caller.send("GET", "/c");
    std::string output;
    for (std::string bytes = caller.readBytes(); !bytes.empty(); bytes = caller.readBytes()) {
        output += bytes;
        caller.connection->checkTimeouts(bootNow());
    }
    CHECK(output.find("HTTP/1.1 503 ") != std::string::npos);
    CHECK(output.find("\"outcome\":\"not-run\"") != std::string::npos);
    CHECK(output.find("Connection: close") != std::string::npos);
    CHECK(caller.dispatched.size() == 1);
}

TEST_CASE("A caller that was told to send its body gets an answer to it, also if its connection is to end", "[caller][end]")
{
    ConnectedCaller caller;
    caller.connection->closeAfterAnswer();
    caller.send("POST", "/a", "Content-Length: 1\r\nExpect: 100-continue\r\n");
    REQUIRE(caller.readBytes().starts_with("HTTP/1.1 100 "));
    caller.connection->received("x", bootNow());
    REQUIRE(caller.dispatched.size() == 1);
    caller.answer(0, "a");
    CHECK(caller.read() == "a");
    CHECK(caller.closes);
}

TEST_CASE("A lower idle limit ends no connection before its next answer", "[caller][end]")
{
    const auto monitor = std::make_shared<ConnectionMonitor>("test");
    ConnectedCaller caller({.monitor = monitor}, idleBounds());
    caller.send("GET", "/a");
    caller.answer(0, "a");
    const TimePoint start = bootNow();
    caller.connection->setBounds(idleBounds(seconds(2)));
    caller.connection->checkTimeouts(start + seconds(10));
    caller.send("GET", "/b");
    REQUIRE(caller.dispatched.size() == 2);
    caller.answer(1, "b");
    CHECK(caller.read() == "ab");
    CHECK_FALSE(caller.closes);
    caller.connection->checkTimeouts(bootNow() + seconds(10));
    caller.connection->inputEnded();
    CHECK(caller.connection->isClosed());
    CHECK(monitor->counts().ends.at(static_cast<std::size_t>(ConnectionEnd::Idle)) == 1);
}

TEST_CASE("An answer announces how long its connection may be used, so that no request crosses its end", "[caller][end]")
{
    ConnectedCaller caller({}, idleBounds());
    caller.send("GET", "/a");
    caller.answer(0, "a");
    CHECK(caller.readBytes().find("Keep-Alive: timeout=12\r\n") != std::string::npos);
    caller.connection->setBounds(idleBounds(milliseconds(900)));
    caller.send("GET", "/b");
    caller.answer(1, "b");
    CHECK(caller.readBytes().find("Keep-Alive") == std::string::npos);
    caller.connection->setBounds(idleBounds());
    caller.send("GET", "/c", "Connection: close\r\n");
    caller.answer(2, "c");
    CHECK(caller.readBytes().find("Keep-Alive") == std::string::npos);
}

TEST_CASE("A connection that was opened before there was an idle limit is ended by a later one", "[caller][end]")
{
    ConnectedCaller caller;
    caller.connection->setBounds(idleBounds());
    caller.connection->checkTimeouts(bootNow() + IdleLimit + seconds(1));
    caller.connection->inputEnded();
    CHECK(caller.connection->isClosed());
}

TEST_CASE("A connection whose caller has gone is closed, and its requests are not in flight any more", "[caller][end]")
{
    const auto monitor = std::make_shared<ConnectionMonitor>("callers");
    ConnectedCaller caller({.maxRequestsInFlight = 4, .monitor = monitor});
    caller.send("GET", "/a");
    caller.send("GET", "/b");
    REQUIRE(monitor->counts().inFlight == 2);
    caller.connection->inputEnded();
    REQUIRE(caller.connection->isGone());
    caller.connection->callerGone();
    caller.answer(0, "a");
    CHECK(caller.connection->isClosed());
    const ConnectionCounts counts = monitor->counts();
    CHECK(counts.inFlight == 0);
    CHECK(counts.leftByCaller == 2);
    CHECK(counts.answered == 0);
}

TEST_CASE("A request whose rest waits in its socket is not refused as late", "[caller][end]")
{
    LateReader reader;
    RawCaller blocking(reader.address());
    RawCaller caller(reader.address());
    const std::string second = "POST /second HTTP/1.1\r\nHost: tablero.example\r\nContent-Length: 4\r\n\r\nbody";
    const std::size_t readBytes = GENERATE(20, 70);
    caller.send(LateReader::request("/first") + second.substr(0, readBytes));
    REQUIRE(caller.readUntil("/first").find("/first") != std::string::npos);
    reader.block(blocking);
    caller.send(second.substr(readBytes));
    std::this_thread::sleep_for(milliseconds(50));
    reader.server().checkTimeouts(bootNow() + seconds(11));
    reader.unblock();
    CHECK(caller.readUntil("/second", 1, 5000).starts_with("HTTP/1.1 200"));
}

TEST_CASE("An answer is not cut while its caller reads on, also if this process has not run for longer than the timeout", "[caller][end]")
{
    constexpr Duration Timeout = milliseconds(200);
    CallerBounds bounds;
    bounds.transferTimeout = Timeout;
    const std::string body = std::string(8 * 1024 * 1024, 'd') + '!';
    CallerServer server({.address = "127.0.0.1:0", .threads = 1, .bounds = bounds}, [&body](const auto &connection, const HttpRequest &request) {
        HttpAnswer answer;
        answer.body = body;
        connection->answerTo(request.number, answer, false);
    });
    RawCaller caller("127.0.0.1:" + std::to_string(server.port()), 64 * 1024);
    caller.send(LateReader::request("/a"));
    const bool hasStalled = GENERATE(false, true);
    std::string read;
    for (TimePoint lastCheck = bootNow(); read.find('!') == std::string::npos && server.connectionCounts().ends == decltype(ConnectionCounts::ends)();) {
        // At this pace the whole answer takes several times the timeout.
        read = caller.readUntil("d", 1, 10);
        std::this_thread::sleep_for(milliseconds(10));
        if (const TimePoint now = bootNow(); now - lastCheck > (hasStalled ? 2 * Timeout : Timeout / 10)) {
            server.checkTimeouts(now);
            lastCheck = now;
        }
    }
    CHECK(read.find('!') != std::string::npos);
}

TEST_CASE("A connection that its caller has reset counts as gone although the reset has been read", "[caller][end]")
{
    std::promise<std::shared_ptr<CallerConnection>> dispatched;
    CallerServer server({.address = "127.0.0.1:0", .threads = 1},
                        [&dispatched](const auto &connection, const HttpRequest &) { dispatched.set_value(connection); });
    RawCaller caller("127.0.0.1:" + std::to_string(server.port()));
    caller.send(LateReader::request("/a"));
    const auto connection = dispatched.get_future().get();
    SECTION("but not one whose caller has only closed its sending half")
    {
        caller.closeSending();
        std::this_thread::sleep_for(milliseconds(100));
        CHECK_FALSE(connection->isGone());
    }
    SECTION("at any time after that")
    {
        caller.reset();
        std::this_thread::sleep_for(milliseconds(100));
        CHECK(connection->isGone());
    }
}

TEST_CASE("The number of a closed descriptor is used again without effect on either connection", "[caller][end]")
{
    constexpr int Rounds = 300;
    std::mutex mutex;
    std::vector<std::shared_ptr<CallerConnection>> connections;
    CallerServer server({.address = "127.0.0.1:0", .threads = 2}, [&](const auto &connection, const HttpRequest &request) {
        {
            // Keeps the duplicate of the descriptor open.
            const std::lock_guard lock(mutex);
            connections.push_back(connection);
        }
        if (request.target != "/held") {
            HttpAnswer answer;
            answer.body = request.target + ".";
            connection->answerTo(request.number, answer, false);
        }
    });
    const std::string address = "127.0.0.1:" + std::to_string(server.port());
    const int watchedBefore = watchedDescriptors();
    int wrongAnswers = 0;
    for (int round = 0; round < Rounds; ++round) {
        {
            RawCaller gone(address);
            gone.send(LateReader::request("/held"));
        }
        const std::string target = "/own" + std::to_string(round);
        RawCaller caller(address);
        caller.send(LateReader::request(target));
        wrongAnswers += caller.readUntil(target + ".", 1, 5000).find(target + ".") == std::string::npos ? 1 : 0;
    }
    CHECK(wrongAnswers == 0);
    for (int wait = 0; wait < 100 && watchedDescriptors() > watchedBefore; ++wait) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(watchedDescriptors() <= watchedBefore);
    const std::lock_guard lock(mutex);
    const std::set<std::shared_ptr<CallerConnection>> distinct(connections.begin(), connections.end());
    CHECK(distinct.size() == 2 * Rounds);
}
