/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "directorystore.h"
#include "eventually.h"
#include "loopbacklistener.h"
#include "names.h"
#include "net/gzip.h"
#include "net/httpclient.h"
#include "process.h"
#include "registeredbackend.h"
#include "sampleplan.h"
#include "startcall.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Standins;
using namespace Cloverbarrow::Tests;

namespace
{

using Json = nlohmann::json;

constexpr int MemoryLimitMb = 96;
const std::string EchoPlaceholder = "@";
// Signed and with the id of the request, since the body of another success is not read.
const std::string Ok = std::string("HTTP/1.1 200 OK\r\n") + Platform::StampHeader + ": s\r\n" + Platform::RequestIdHeader + ": " + EchoPlaceholder + "\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

/// Bytes without end that a server sends in answer to each request.
struct Flood {
    std::string description;
    std::string start;
    std::string repeated; ///< Follows without end, unless it is empty.
    std::chrono::milliseconds pause{0}; ///< Between blocks of 64 KiB.
};

/// @return an answer whose body unpacks to @p bytes bytes.
std::string compressedAnswer(std::size_t bytes)
{
    const std::string body = gzip(std::string(bytes, ' '));
    return Ok + "Content-Encoding: gzip\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::vector<Flood> floods()
{
    return {{"no answer", "", "0123456789abcdef"},
            {"an endless status line", "HTTP/1.1 200 ", "a"},
            {"headers", Ok, "X-Filler: a\r\n"},
            {"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
            {"a body that ends with the connection", Ok + "\r\n", "a"},
            {"a body of 4 GB", Ok + "Content-Length: 4294967296\r\n\r\n", "a"},
            {"chunks", Chunked, "10\r\n0123456789abcdef\r\n"},
            {"a chunk extension", Chunked + "10;", "a"},
            {"trailers", Chunked + "0\r\n", "X-Filler: a\r\n"},
            {"a second answer after a complete one", "", Ok + "Content-Length: 2\r\n\r\n{}"},
            {"chunks that arrive slowly", Chunked, "10\r\n0123456789abcdef\r\n", std::chrono::milliseconds(100)},
            {"a small body that unpacks to 64 MB", compressedAnswer(64 * 1024 * 1024), ""}};
}

/// Accepts connections and answers requests with a flood, until the client closes the connection.
class FloodingServer
{
public:
    /// @param probeAnswer what a request for the load is answered with; empty for a flood.
    explicit FloodingServer(Flood flood, std::string probeAnswer = {})
        : flood_(std::move(flood))
        , probeAnswer_(std::move(probeAnswer))
        , acceptor_([this] { acceptAll(); })
    {
    }

    ~FloodingServer()
    {
        isOver_ = true;
        ::shutdown(listener_.fd(), SHUT_RDWR);
        acceptor_.join();
        for (std::thread &thread : connections_) {
            thread.join();
        }
    }

    FloodingServer(const FloodingServer &) = delete;
    FloodingServer &operator=(const FloodingServer &) = delete;

    const std::string &address() const
    {
        return listener_.address();
    }

    int connectionCount() const
    {
        return connectionCount_;
    }

    /// @return number of requests that were answered with a flood.
    int floodCount() const
    {
        return floodCount_;
    }

private:
    void acceptAll()
    {
        // Bounds the threads and descriptors of a test that fails.
        constexpr int MaxConnections = 400;
        while (!isOver_ && connectionCount_ < MaxConnections) {
            const int connection = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0) {
                return;
            }
            ++connectionCount_;
            connections_.emplace_back([this, connection] { serve(Descriptor(connection)); });
        }
    }

    void serve(const Descriptor &connection)
    {
        constexpr timeval PollTime{0, 100'000};
        ::setsockopt(connection.get(), SOL_SOCKET, SO_RCVTIMEO, &PollTime, sizeof PollTime);
        ::setsockopt(connection.get(), SOL_SOCKET, SO_SNDTIMEO, &PollTime, sizeof PollTime);
        while (!isOver_) {
            std::array<char, 4096> request{};
            const ssize_t count = ::recv(connection.get(), request.data(), request.size(), 0);
            if (count == 0 || (count < 0 && errno != EAGAIN)) {
                return;
            }
            const std::string_view text(request.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
            if (!probeAnswer_.empty() && text.starts_with("GET /health")) {
                static_cast<void>(::send(connection.get(), probeAnswer_.data(), probeAnswer_.size(), MSG_NOSIGNAL));
            } else if (!text.empty()) {
                ++floodCount_;
                sendFlood(connection, requestIdIn(text));
                return;
            }
        }
    }

    static std::string requestIdIn(std::string_view request)
    {
        const std::string name = std::string(Platform::RequestIdHeader) + ": ";
        const std::size_t start = request.find(name);
        if (start == std::string_view::npos) {
            return {};
        }
        request.remove_prefix(start + name.size());
        return std::string(request.substr(0, request.find('\r')));
    }

    void sendFlood(const Descriptor &connection, const std::string &requestId)
    {
        constexpr std::size_t BlockBytes = 64 * 1024;
        std::string block = flood_.start;
        if (const std::size_t echo = block.find(EchoPlaceholder); echo != std::string::npos) {
            block.replace(echo, EchoPlaceholder.size(), requestId);
        }
        while (!isOver_) {
            while (block.size() < BlockBytes && !flood_.repeated.empty()) {
                block += flood_.repeated;
            }
            if (block.empty()) {
                return;
            }
            const ssize_t count = ::send(connection.get(), block.data(), block.size(), MSG_NOSIGNAL);
            if (count < 0 && errno != EAGAIN) {
                return;
            }
            block.erase(0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
            std::this_thread::sleep_for(flood_.pause);
        }
    }

    Flood flood_;
    std::string probeAnswer_;
    LoopbackListener listener_{128};
    std::atomic<bool> isOver_{false};
    std::atomic<int> connectionCount_{0};
    std::atomic<int> floodCount_{0};
    std::vector<std::thread> connections_;
    std::thread acceptor_;
};

/// An entry VM with a memory limit as on a small VM, as a separate process.
class LimitedEntryVm
{
public:
    /// @param extra further settings of the directory.
    explicit LimitedEntryVm(const std::string &store, const std::string &extra = {})
    {
        char folder[] = "/tmp/cloverbarrow-flood-XXXXXX";
        folder_ = ::mkdtemp(folder);
        const std::string settings = folder_ + "/settings.yaml";
        std::ofstream(settings) << "name: entry-1\nzone: bog-a\nregion: bogota\nlisten: {callers: 127.0.0.1:0, operations: 127.0.0.1:0}\n"
                                << "directory: {address: " << store << ", " << extra << "repeat_ratio: 0.2, repeat_slack: 64, probes_per_server: 60}\n"
                                << "limits: {memory_mb: " << MemoryLimitMb << "}\nshutdown: {notice_ms: 50, limit_ms: 2000}\nlog_level: off\n";
        process_ = std::make_unique<Process>(std::vector<std::string>{std::string(BINARY_FOLDER) + "/cloverbarrowd", "--settings=" + settings});
        addresses_ = Json::parse(process_->firstLine());
    }

    ~LimitedEntryVm()
    {
        process_.reset();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    LimitedEntryVm(const LimitedEntryVm &) = delete;
    LimitedEntryVm &operator=(const LimitedEntryVm &) = delete;

    bool isReady()
    {
        return statusOf(addresses_.at("operations"), {"GET", "/readyz", {{"Host", "x"}}, "", true}, client_, ++calls_) == 200;
    }

    /// @return the status of the answer; 0 if there is none.
    int read(HttpClient &client, HttpCallId call) const
    {
        Headers headers = {{"Host", "a.example"}, {Platform::RequestIdHeader, "id-" + std::to_string(call)}, {Platform::DeadlineMsHeader, "3000"}};
        return statusOf(addresses_.at("callers"), {"GET", "/read/1", std::move(headers), "", true}, client, call);
    }

    /// @return the greatest resident memory of the process so far, in MB; 0 if it has ended.
    double peakMemoryMb() const
    {
        std::ifstream status("/proc/" + std::to_string(process_->pid()) + "/status");
        std::string word;
        double kibibytes = 0;
        while (status >> word) {
            if (word == "VmHWM:") {
                status >> kibibytes;
            }
        }
        return kibibytes * 1024 / 1e6;
    }

private:
    static int statusOf(const std::string &address, HttpRequest request, HttpClient &client, HttpCallId id)
    {
        HttpCall call;
        call.address = address;
        call.request = std::move(request);
        call.timeout = seconds(6);
        const HttpOutcome outcome = startCall(client, id, std::move(call)).get();
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        return answer ? answer->status : 0;
    }

    std::string folder_;
    std::unique_ptr<Process> process_;
    Json addresses_;
    HttpClient client_{1};
    HttpCallId calls_ = 0;
};

void checkMemory(const LimitedEntryVm &entryVm)
{
    const double peak = entryVm.peakMemoryMb();
    CHECK(peak > 0);
    CHECK(peak < MemoryLimitMb);
}

} // namespace

// Guards against a process that ends, with the requests of all callers, since it keeps what faulty servers send without end.
TEST_CASE("Servers that send bytes without end leave the callers of others served", "[platform][endless]")
{
    constexpr int Faulty = 4;
    constexpr int Callers = 16;
    constexpr int Reads = 12;
    const bool answersProbes = GENERATE(true, false);
    const Flood flood = GENERATE(from_range(floods()));
    CAPTURE(flood.description, answersProbes);
    DirectoryStore store;
    std::vector<std::unique_ptr<RegisteredBackend>> sound;
    for (const char *id : {"i-1", "i-2", "i-3"}) {
        sound.push_back(std::make_unique<RegisteredBackend>(id));
        store.put("servers", id, sound.back()->registration("reclamos"));
    }
    std::vector<std::unique_ptr<FloodingServer>> faulty;
    for (int number = 0; number < Faulty; ++number) {
        const std::string id = "i-faulty-" + std::to_string(number);
        const std::string idle = std::string("HTTP/1.1 200 OK\r\n") + Platform::InstanceHeader + ": " + id + "\r\n" + Platform::ServerLoadHeader
            + ": 0,0,3,100\r\nContent-Length: 0\r\n\r\n";
        faulty.push_back(std::make_unique<FloodingServer>(flood, answersProbes ? idle : std::string()));
        Json registration = sound.front()->registration("reclamos");
        registration["address"] = faulty.back()->address();
        store.put("servers", id, registration);
    }
    store.put("config", "main", planSpecification(1, Json::array({routeSpecification("a.example", "safe", "/read/", 3)})));
    LimitedEntryVm entryVm(store.address());
    REQUIRE(eventually([&entryVm] { return entryVm.isReady(); }));
    std::atomic<int> served{0};
    std::atomic<int> unanswered{0};
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            HttpClient client(1);
            for (int read = 0; read < Reads; ++read) {
                const int status = entryVm.read(client, static_cast<HttpCallId>(caller) * Reads + static_cast<HttpCallId>(read) + 1);
                served += status == 200 ? 1 : 0;
                unanswered += status == 0 ? 1 : 0;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    checkMemory(entryVm);
    int flooded = 0;
    for (const auto &server : faulty) {
        flooded += server->floodCount();
    }
    CHECK(flooded >= Faulty);
    CHECK(unanswered == 0);
    // Each faulty server is ejected after three failed requests, and a read may be tried at two of them.
    CHECK(served >= Callers * Reads * 3 / 4);
}

TEST_CASE("A relay that sends bytes without end keeps no entry VM from serving", "[platform][endless][relay]")
{
    const Flood flood = GENERATE(from_range(floods()));
    CAPTURE(flood.description);
    FloodingServer relay(flood);
    DirectoryStore store;
    RegisteredBackend server("i-1");
    store.put("servers", "i-1", server.registration("reclamos"));
    store.put("config", "main", planSpecification(1, Json::array({routeSpecification("a.example", "safe", "/read/", 3)})));
    store.put(Platform::RelaysKind, "bog-a", {{"address", relay.address()}});
    store.put(Platform::RelaysKind, "bog-b", {{"address", relay.address()}});
    LimitedEntryVm entryVm(store.address(), "relay: 127.0.0.1:0, ");
    HttpClient client(1);
    CHECK(eventually([&entryVm] { return entryVm.isReady(); }));
    CHECK(eventually([&] { return relay.connectionCount() > 2; }));
    CHECK(entryVm.read(client, 1) == 200);
    checkMemory(entryVm);
}

TEST_CASE("A store that sends bytes without end does not end an entry VM", "[platform][endless][store]")
{
    const Flood flood = GENERATE(from_range(floods()));
    CAPTURE(flood.description);
    FloodingServer store(flood);
    LimitedEntryVm entryVm(store.address(), "relay: 127.0.0.1:0, ");
    // Lists, watches, checks and calls about the leader record, each with its pauses.
    CHECK(eventually([&store] { return store.connectionCount() > 6; }));
    CHECK_FALSE(entryVm.isReady());
    checkMemory(entryVm);
}
