/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace apache::thrift
{
class TProcessor;
}

namespace Cloverbarrow
{

/// Serves one Thrift service: compact protocol over framed TCP, each connection on a thread of its own.
class ThriftServer
{
public:
    /// Starts to listen. @param address `IP:port`; port 0 lets the kernel choose.
    /// @throws std::runtime_error when the address cannot be listened on.
    ThriftServer(const std::string &address, const std::shared_ptr<apache::thrift::TProcessor> &processor);
    ~ThriftServer();
    ThriftServer(const ThriftServer &) = delete;
    ThriftServer &operator=(const ThriftServer &) = delete;

    /// @return the address that is listened on.
    std::string address() const;
    void stop();

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace Cloverbarrow
