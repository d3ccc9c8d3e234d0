/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/descriptor.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <arpa/inet.h>
#include <cerrno>
#include <string>
#include <system_error>

namespace Cloverbarrow::Tests
{

/// A socket that listens on a free port of the loopback address.
class LoopbackListener
{
public:
    /// @param backlog length of the queue of established connections. @throws std::system_error if the socket cannot listen.
    explicit LoopbackListener(int backlog)
    {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof local;
        if (::bind(socket_.get(), reinterpret_cast<const sockaddr *>(&local), size) != 0 || ::listen(socket_.get(), backlog) != 0
            || ::getsockname(socket_.get(), reinterpret_cast<sockaddr *>(&local), &size) != 0) {
            throw std::system_error(errno, std::generic_category(), "listen");
        }
        address_ = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    }

    int fd() const
    {
        return socket_.get();
    }

    const std::string &address() const
    {
        return address_;
    }

private:
    Descriptor socket_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    std::string address_;
};

} // namespace Cloverbarrow::Tests
