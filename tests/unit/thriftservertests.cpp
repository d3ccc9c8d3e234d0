/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "Peer.h"
#include "net/thriftclient.h"
#include "net/thriftserver.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <memory>
#include <string>
#include <vector>

using namespace Cloverbarrow;

namespace
{

constexpr double BytesPerMegabyte = 1e6;

std::string frameOf(const std::string &message, std::uint32_t announced)
{
    const std::uint32_t length = htonl(announced);
    return std::string(reinterpret_cast<const char *>(&length), sizeof(length)) + message; // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
}

std::string frameOf(const std::string &message)
{
    return frameOf(message, static_cast<std::uint32_t>(message.size()));
}

/// @return a call of `exchange` in the compact protocol, up to its arguments.
std::string callOf(const std::string &arguments)
{
    return std::string("\x82\x21\x00\x08", 4) + "exchange" + arguments;
}

/// @return @p number as in the compact protocol.
std::string varint(std::uint32_t number)
{
    std::string text;
    for (; number >= 0x80; number >>= 7U) {
        text += static_cast<char>(number | 0x80U);
    }
    return text + static_cast<char>(number);
}

/// @return a heartbeat whose list of members or signs announces @p count elements and has none.
std::string listOf(char field, std::uint32_t count)
{
    return callOf(std::string("\x1c", 1) + field + "\xfc" + varint(count));
}

/// Sends the bytes on a connection of their own and waits until the server has closed it or answered.
void sendAndWait(const SocketAddress &address, const std::string &bytes)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(descriptor >= 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
    REQUIRE(::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
    static_cast<void>(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    ::shutdown(descriptor, SHUT_WR);
    char answer = 0;
    while (::recv(descriptor, &answer, 1, 0) > 0) { }
    ::close(descriptor);
}

void resetPeakMemory()
{
    std::ofstream("/proc/self/clear_refs") << 5;
}

double peakMemoryMb()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word && word != "VmHWM:") { }
    double kilobytes = 0;
    status >> kilobytes;
    return kilobytes * 1024 / BytesPerMegabyte;
}

} // namespace

TEST_CASE("A Thrift message that announces far more than it has takes little memory, and the server goes on", "[thrift][bounds]")
{
    constexpr double MaxGrowthMb = 100;
    constexpr int CallTimeoutMs = 5000;
    constexpr std::size_t Depth = 100'000;
    ThriftServer server("127.0.0.1:0", std::make_shared<Wire::PeerProcessor>(std::make_shared<Wire::PeerNull>()));
    const SocketAddress address = parseSocketAddress(server.address()).value();
    const std::vector<std::pair<std::string, std::string>> messages = {
        {"a frame of 2 GB", frameOf(callOf(""), 0x7fffffff)},
        {"a frame of 4 GB", frameOf(callOf(""), 0xffffffff)},
        {"a text of 2 GB", frameOf(callOf(std::string("\x1c\x1c\x18", 3) + varint(0x7fffffff)))},
        {"2^31 - 1 members", frameOf(listOf('\x29', 0x7fffffff))},
        {"10 million members", frameOf(listOf('\x29', 10'000'000))},
        {"10 million signs", frameOf(listOf('\x39', 10'000'000))},
        {"an unknown list of 2^31 - 1 structures", frameOf(listOf('\x99', 0x7fffffff))},
        {"an unknown member that is nested too deep", frameOf(callOf(std::string("\x5c", 1) + std::string(Depth, '\x1c')))},
        {"unknown lists that are nested too deep", frameOf(callOf(std::string("\x59", 1) + std::string(Depth, '\x19')))},
    };
    for (const auto &[what, bytes] : messages) {
        CAPTURE(what);
        resetPeakMemory();
        const double before = peakMemoryMb();
        sendAndWait(address, bytes);
        CHECK(peakMemoryMb() - before < MaxGrowthMb);
        ThriftClient<Wire::PeerClient> client(server.address(), CallTimeoutMs, CallTimeoutMs);
        Wire::Heartbeat answer;
        CHECK_NOTHROW(client->exchange(answer, Wire::Heartbeat()));
    }
    server.stop();
}

TEST_CASE("A Thrift message with the members of a large fleet is accepted", "[thrift][bounds]")
{
    constexpr int CallTimeoutMs = 5000;
    constexpr std::size_t MemberCount = 10'000;
    ThriftServer server("127.0.0.1:0", std::make_shared<Wire::PeerProcessor>(std::make_shared<Wire::PeerNull>()));
    ThriftClient<Wire::PeerClient> client(server.address(), CallTimeoutMs, CallTimeoutMs);
    Wire::Heartbeat heartbeat;
    heartbeat.members.resize(MemberCount);
    Wire::Heartbeat answer;
    CHECK_NOTHROW(client->exchange(answer, heartbeat));
    server.stop();
}
