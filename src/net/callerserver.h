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

namespace Cloverbarrow
{

/// How callers are listened to.
struct CallerServerOptions {
    std::string address; ///< `IP:port`; port 0 lets the kernel choose.
    std::size_t threads = 2;
    CallerBounds bounds;
    CallerConnection::Use use;
};

/// Listens to callers on Pistache's TCP layer. Its HTTP layer is not used: it answers pipelined requests
/// out of order or not at all, loses repeated headers and query keys, and cuts answers when it shuts down.
class CallerServer
{
public:
    CallerServer(const CallerServerOptions &options, RequestSink sink);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// @return the port that is listened on.
    std::uint16_t port() const;
    /// For all connections, from now on.
    void setBounds(const CallerBounds &bounds);
    /// Looks after slow callers; to be called several times a second.
    void sweep(TimePoint now);
    /// Closes each connection after its next answer. New ones are still answered.
    void closeAfterAnswers();
    /// The same, and closes idle connections at once.
    void closeConnections();
    /// @return answers that are on their way to slow readers.
    std::size_t unsentAnswers() const;

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace Cloverbarrow
