/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

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

/// Serves /metrics, /healthz and /readyz on a separate address.
class OperationsServer
{
public:
    /// @param address `IP:port`; with port 0 the kernel assigns one.
    OperationsServer(const std::string &address, OperationsSource source);
    ~OperationsServer();
    OperationsServer(const OperationsServer &) = delete;
    OperationsServer &operator=(const OperationsServer &) = delete;

    std::uint16_t port() const;
    /// Stops listening and waits for the threads, so that the source is not used any more.
    void stop();

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace Cloverbarrow
