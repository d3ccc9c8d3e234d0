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

/// What the operations endpoint tells.
struct OperationsSource {
    std::function<std::string()> metrics;
    /// Empty when ready, else why not.
    std::function<std::string()> unreadyReason;
};

/// Serves /metrics, /healthz and /readyz on an address of their own.
class OperationsServer
{
public:
    /// @param address `IP:port`; port 0 lets the kernel choose.
    OperationsServer(const std::string &address, OperationsSource source);
    ~OperationsServer();
    OperationsServer(const OperationsServer &) = delete;
    OperationsServer &operator=(const OperationsServer &) = delete;

    std::uint16_t port() const;
    void stop();

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace Cloverbarrow
