/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/descriptor.h"
#include "net/httpclient.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <future>
#include <memory>
#include <string>
#include <thread>

using namespace Cloverbarrow;

namespace
{

constexpr std::size_t MiB = 1024 * 1024;
constexpr std::size_t MaxAnswerBytes = 2 * MiB;
// More than the socket buffers of both sides hold.
constexpr std::size_t BufferedBytes = 14 * MiB;
// Ends a test that fails.
constexpr std::size_t MaxSentBytes = 128 * MiB;

/// What a server sends in place of an answer.
struct EndlessBytes {
    std::string description;
    std::string start;
    std::string repeated;
};

/// Accepts one connection, reads a request and sends bytes until its client closes the connection.
class EndlessServer
{
public:
    explicit EndlessServer(EndlessBytes bytes)
        : bytes_(std::move(bytes))
        , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(::bind(listener_.get(), reinterpret_cast<const sockaddr *>(&address), size) == 0);
        REQUIRE(::listen(listener_.get(), 1) == 0);
        REQUIRE(::getsockname(listener_.get(), reinterpret_cast<sockaddr *>(&address), &size) == 0);
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread([this] { serve(); });
    }

    ~EndlessServer()
    {
        ::shutdown(listener_.get(), SHUT_RDWR);
        thread_.join();
    }

    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    const std::string &address() const
    {
        return address_;
    }

    /// Waits until the client has closed the connection. @return the number of bytes sent.
    std::size_t sentBytes()
    {
        return sent_.get_future().get();
    }

private:
    void serve()
    {
        const Descriptor connection(::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
        std::array<char, 4096> request{};
        static_cast<void>(::recv(connection.get(), request.data(), request.size(), 0));
        std::string block = bytes_.start;
        std::size_t sent = 0;
        while (sent < MaxSentBytes) {
            while (block.size() < 64 * 1024) {
                block += bytes_.repeated;
            }
            const ssize_t count = ::send(connection.get(), block.data(), block.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                break;
            }
            sent += static_cast<std::size_t>(count);
            block.erase(0, static_cast<std::size_t>(count));
        }
        sent_.set_value(sent);
    }

    EndlessBytes bytes_;
    Descriptor listener_;
    std::string address_;
    std::promise<std::size_t> sent_;
    std::thread thread_;
};

HttpOutcome get(HttpClient &client, const std::string &address)
{
    auto done = std::make_shared<std::promise<HttpOutcome>>();
    HttpCall call;
    call.address = address;
    call.request = {"GET", "/", {{"Host", "x"}}, "", true};
    call.timeout = seconds(20);
    call.acceptsCloseDelimited = true;
    call.maxAnswerBytes = MaxAnswerBytes;
    client.start(1, std::move(call), [done](HttpOutcome outcome) { done->set_value(std::move(outcome)); });
    return done->get_future().get();
}

} // namespace

TEST_CASE("A connection on which bytes without end are received is closed after a bounded number of them", "[net][endless]")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const auto bytes = GENERATE_COPY(EndlessBytes{"no answer", "", "0123456789abcdef"},
                                     EndlessBytes{"a status line", "HTTP/1.1 200 ", "a"},
                                     EndlessBytes{"a header", ok + "X-Filler: ", "a"},
                                     EndlessBytes{"headers", ok, "X-Filler: a\r\n"},
                                     EndlessBytes{"headers that look like status lines", ok, ok},
                                     EndlessBytes{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                                     EndlessBytes{"a body that ends with the connection", ok + "\r\n", "a"},
                                     EndlessBytes{"chunks", chunked, "10\r\n0123456789abcdef\r\n"},
                                     EndlessBytes{"a chunk extension", chunked + "10;", "a"},
                                     EndlessBytes{"trailers", chunked + "0\r\n", "X-Filler: a\r\n"});
    CAPTURE(bytes.description);
    EndlessServer server(bytes);
    HttpClient client(1);
    const HttpOutcome outcome = get(client, server.address());
    REQUIRE(std::holds_alternative<HttpFailure>(outcome));
    CAPTURE(std::get<HttpFailure>(outcome).reason);
    CHECK(std::get<HttpFailure>(outcome).wasSent);
    CHECK_FALSE(std::get<HttpFailure>(outcome).isTimeout);
    CHECK(server.sentBytes() <= MaxAnswerBytes + BufferedBytes);
}
