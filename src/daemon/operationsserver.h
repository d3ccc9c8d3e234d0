/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Cloverbarrow
{

/// Functions that supply the content of the operations endpoint.
struct OperationsSource {
    std::function<std::string()> metrics;
    /// @return why this entry VM is not ready; empty if it is.
    std::function<std::string()> unreadyReason;
};

class CallerServer;

/// Serves /metrics, /healthz and /readyz on a separate address. Like callers' requests, these are read by the own framer: in Pistache's HTTP layer a chunked
/// body that arrives in parts can keep the thread in a loop without end, and a request that ends within a line end is read beyond its end.
class OperationsServer
{
public:
    /// @param address `IP:port`; with port 0 the kernel assigns one.
    OperationsServer(const std::string &address, OperationsSource source);
    ~OperationsServer();
    OperationsServer(const OperationsServer &) = delete;
    OperationsServer &operator=(const OperationsServer &) = delete;

    std::uint16_t port() const;
    /// Closes connections of idle and slow callers. Call several times a second.
    void checkTimeouts(TimePoint now);
    /// Stops listening and waits for the threads, so that the source is not used any more.
    void stop();

private:
    OperationsSource source_;
    std::unique_ptr<CallerServer> server_;
};

} // namespace Cloverbarrow
