/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "net/callerconnection.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Options of a CallerServer.
struct CallerServerOptions {
    std::string address; ///< `IP:port`; port 0 lets the kernel choose.
    std::size_t threads = 2;
    CallerBounds bounds = {};
    CallerConnection::Options connectionOptions = {}; ///< The server sets the monitor.
    std::string_view logPart = "callers"; ///< Part of the program in log lines on connections.
};

/// Accepts connections of callers, on Pistache's TCP layer. Its HTTP layer is not used because it answers pipelined requests
/// out of order or not at all, loses repeated headers and query keys, and truncates answers when it shuts down.
class CallerServer
{
public:
    CallerServer(const CallerServerOptions &options, RequestHandler handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// @return the port that the server listens on.
    std::uint16_t port() const;
    /// Applies to all connections, open and new.
    void setBounds(const CallerBounds &bounds);
    /// Closes connections of idle and slow callers. Call several times a second.
    void checkTimeouts(TimePoint now);
    /// Closes each connection after its next answer. New connections are still accepted and get one answer.
    void closeAfterAnswers();
    /// Like closeAfterAnswers(), but also closes connections without a request.
    void closeConnections();
    /// @return number of connections with an answer that the caller has not read completely, or with input that is processed before they close.
    std::size_t unfinishedConnections() const;
    /// @return what became of the requests of all connections, open and ended.
    ConnectionCounts connectionCounts() const;
    /// Stops listening and ends the threads, after which no more bytes are read. Open connections can still be answered by other threads.
    void stop();

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace Cloverbarrow
