/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/address.h"
#include "net/wire.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <memory>
#include <string>

namespace Cloverbarrow
{

/// A connection to one Thrift service; closed when this object is destroyed.
/// @tparam Client the generated client.
template<typename Client>
class ThriftClient
{
public:
    /// Connects. @param address `IP:port`.
    /// @throws apache::thrift::TException if the address is invalid or the connection is not established in time.
    ThriftClient(const std::string &address, int connectTimeoutMs, int callTimeoutMs)
    {
        const auto parsed = parseSocketAddress(address);
        if (!parsed) {
            throw apache::thrift::TException("connect: " + address + " is no address");
        }
        suppressThriftOutput();
        auto configuration = std::make_shared<apache::thrift::TConfiguration>(MaxThriftMessage, MaxThriftMessage);
        auto socket = std::make_shared<apache::thrift::transport::TSocket>(parsed->host, parsed->port, configuration);
        socket->setConnTimeout(connectTimeoutMs);
        socket->setRecvTimeout(callTimeoutMs);
        socket->setSendTimeout(callTimeoutMs);
        auto transport = std::make_shared<apache::thrift::transport::TFramedTransport>(socket, configuration);
        client_ = std::make_unique<Client>(std::make_shared<apache::thrift::protocol::TCompactProtocol>(transport, MaxThriftMessage, MaxThriftElements));
        transport->open();
    }

    Client *operator->()
    {
        return client_.get();
    }

private:
    std::unique_ptr<Client> client_;
};

} // namespace Cloverbarrow
