/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/bootclock.h"
#include "net/callerconnection.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow::Tests
{

/// A connection whose other end belongs to the test, which also plays the thread that reads from the socket.
class ConnectedCaller
{
public:
    explicit ConnectedCaller(CallerConnection::Options options = {.maxRequestsInFlight = 4}, const CallerBounds &bounds = {})
    {
        options.treatsHalfCloseAsClosed = true;
        std::array<int, 2> ends{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
        serverEnd_ = Descriptor(ends[0]);
        callerEnd_ = Descriptor(ends[1]);
        connection = std::make_shared<CallerConnection>(
            serverEnd_.get(), bounds, options, [this](const auto &, HttpRequest request) { dispatched.push_back(std::move(request)); });
    }

    void send(const std::string &method, const std::string &target, const std::string &headers = {})
    {
        connection->received(method + " " + target + " HTTP/1.1\r\nHost: tablero.example\r\n" + headers + "\r\n", bootNow());
    }

    void answer(std::size_t index, const std::string &body)
    {
        HttpAnswer answer;
        answer.body = body;
        connection->answerTo(dispatched.at(index).number, answer, false);
    }

    /// Sends through the socket, from which passOn() takes the bytes. @return how many were accepted.
    std::size_t sendBytes(std::string_view bytes)
    {
        const ssize_t count = ::send(callerEnd_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }

    void closeSending()
    {
        ::shutdown(callerEnd_.get(), SHUT_WR);
    }

    /// Passes on what has been sent through the socket, up to @p count bytes, or else the end of the input, once. @return the number of bytes.
    std::size_t passOn(std::size_t count)
    {
        std::string bytes(count, '\0');
        const ssize_t received = serverEnd_.isOpen() ? ::recv(serverEnd_.get(), bytes.data(), count, MSG_DONTWAIT) : -1;
        if (received > 0) {
            connection->received(std::string_view(bytes).substr(0, static_cast<std::size_t>(received)), bootNow());
            return static_cast<std::size_t>(received);
        }
        if (received == 0) {
            connection->inputEnded();
            serverEnd_.reset();
        }
        return 0;
    }

    /// @return all available bytes.
    std::string readBytes()
    {
        std::array<char, 65536> buffer{};
        const ssize_t count = ::recv(callerEnd_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        return {buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0};
    }

    /// Reads all available bytes. @return the first byte of each body received, in order.
    std::string read()
    {
        const std::string bytes = readBytes();
        closes = closes || bytes.find("Connection: close") != std::string::npos;
        std::string bodies;
        for (std::size_t at = bytes.find("\r\n\r\n"); at != std::string::npos; at = bytes.find("\r\n\r\n", at + 1)) {
            bodies += bytes.substr(at + 4, 1);
        }
        return bodies;
    }

    std::shared_ptr<CallerConnection> connection;
    std::vector<HttpRequest> dispatched;
    bool closes = false;

private:
    Descriptor serverEnd_;
    Descriptor callerEnd_;
};

} // namespace Cloverbarrow::Tests
