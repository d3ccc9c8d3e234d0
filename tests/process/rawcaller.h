/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/address.h"
#include "net/descriptor.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <arpa/inet.h>
#include <poll.h>
#include <string>
#include <string_view>

namespace Cloverbarrow::Tests
{

/// A caller that sends arbitrary bytes over a TCP connection.
class RawCaller
{
public:
    /// @param receiveBuffer size of the socket's receive buffer in bytes; 0 keeps the kernel's default.
    explicit RawCaller(const std::string &address, int receiveBuffer = 0)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (receiveBuffer > 0) {
            ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        const auto parsed = parseSocketAddress(address).value();
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(parsed.port);
        ::inet_pton(AF_INET, parsed.host.c_str(), &target.sin_addr);
        ::connect(socket_.get(), reinterpret_cast<const sockaddr *>(&target), sizeof(target));
        const int one = 1;
        ::setsockopt(socket_.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }

    void send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(socket_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    void closeSending()
    {
        ::shutdown(socket_.get(), SHUT_WR);
    }

    /// Closes the connection so that the other end sees a reset.
    void reset()
    {
        const linger atOnce{1, 0};
        ::setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        socket_.reset();
    }

    /// Reads until @p text has been received @p count times, the connection ends or nothing is received for @p timeoutMs.
    std::string readUntil(std::string_view text, int count = 1, int timeoutMs = 20'000)
    {
        std::string read;
        while (occurrences(read, text) < count) {
            pollfd entry{socket_.get(), POLLIN, 0};
            if (::poll(&entry, 1, timeoutMs) <= 0) {
                break;
            }
            char buffer[65536];
            const ssize_t received = ::recv(socket_.get(), buffer, sizeof(buffer), 0);
            if (received <= 0) {
                break;
            }
            read.append(buffer, static_cast<std::size_t>(received));
        }
        return read;
    }

    /// Reads until the connection ends or nothing is received for @p timeoutMs.
    std::string readAll(int timeoutMs = 20'000)
    {
        return readUntil("\x01never", 1, timeoutMs);
    }

    /// @return whether the other end has reset the connection or resets it within @p timeoutMs. Do not call after closeSending().
    bool isReset(int timeoutMs = 5000) const
    {
        pollfd entry{socket_.get(), 0, 0};
        return ::poll(&entry, 1, timeoutMs) > 0 && (entry.revents & (POLLERR | POLLHUP)) != 0;
    }

    static int occurrences(std::string_view in, std::string_view text)
    {
        int count = 0;
        for (std::size_t at = in.find(text); at != std::string_view::npos; at = in.find(text, at + 1)) {
            ++count;
        }
        return count;
    }

private:
    Descriptor socket_;
};

} // namespace Cloverbarrow::Tests
