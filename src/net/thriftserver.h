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

/// Serves one Thrift service with the compact protocol over framed TCP, with one thread per connection.
class ThriftServer
{
public:
    /// Starts listening. @param address `IP:port`; port 0 lets the kernel choose.
    /// @throws std::exception if the server cannot listen on the address.
    ThriftServer(const std::string &address, const std::shared_ptr<apache::thrift::TProcessor> &processor);
    ~ThriftServer();
    ThriftServer(const ThriftServer &) = delete;
    ThriftServer &operator=(const ThriftServer &) = delete;

    /// @return the address that the server listens on, with its actual port.
    std::string address() const;
    void stop();

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace Cloverbarrow
