/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/thriftserver.h"

#include "core/support/address.h"
#include "net/wire.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <future>
#include <stdexcept>
#include <thread>

namespace Cloverbarrow
{

namespace
{

using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TServerEventHandler;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TServerSocket;
using apache::thrift::transport::TTransport;
using apache::thrift::transport::TTransportFactory;

constexpr int ReceiveTimeoutMs = 10'000;
constexpr int SendTimeoutMs = 5'000;
constexpr int MaxClients = 256;

/// Creates framed transports with a maximum message size, so that a malformed length cannot exhaust memory.
class BoundedFrameFactory : public TTransportFactory
{
public:
    std::shared_ptr<TTransport> getTransport(std::shared_ptr<TTransport> transport) override
    {
        auto configuration = std::make_shared<apache::thrift::TConfiguration>(MaxThriftMessage, MaxThriftMessage);
        return std::make_shared<TFramedTransport>(std::move(transport), std::move(configuration));
    }
};

/// Signals when the server starts listening.
class ListenEventHandler : public TServerEventHandler
{
public:
    void preServe() override
    {
        listening_.set_value();
    }

    std::future<void> future()
    {
        return listening_.get_future();
    }

private:
    std::promise<void> listening_;
};

std::shared_ptr<TServerSocket> makeSocket(const SocketAddress &address)
{
    auto socket = std::make_shared<TServerSocket>(address.host, address.port);
    socket->setRecvTimeout(ReceiveTimeoutMs);
    socket->setSendTimeout(SendTimeoutMs);
    return socket;
}

} // namespace

class ThriftServer::Impl
{
public:
    Impl(const std::string &address, const std::shared_ptr<apache::thrift::TProcessor> &processor)
        : host_(parseSocketAddress(address).value().host)
        , socket_(makeSocket(parseSocketAddress(address).value()))
    {
        suppressThriftOutput();
        server_ = std::make_unique<TThreadedServer>(
            processor, socket_, std::make_shared<BoundedFrameFactory>(), std::make_shared<TCompactProtocolFactory>(MaxThriftMessage, MaxThriftElements));
        server_->setConcurrentClientLimit(MaxClients);
        auto eventHandler = std::make_shared<ListenEventHandler>();
        auto listening = eventHandler->future();
        server_->setServerEventHandler(eventHandler);
        std::promise<void> failed;
        auto failure = failed.get_future();
        thread_ = std::thread([this, failed = std::move(failed)]() mutable { serve(failed); });
        while (listening.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready) {
            if (failure.wait_for(std::chrono::milliseconds(0)) == std::future_status::ready) {
                thread_.join();
                failure.get();
                throw std::runtime_error("listen: " + address + " stopped immediately");
            }
        }
    }

    ~Impl()
    {
        stop();
    }

    std::string address() const
    {
        return SocketAddress{host_, static_cast<std::uint16_t>(socket_->getPort())}.toString();
    }

    void stop()
    {
        server_->stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

private:
    void serve(std::promise<void> &failed)
    {
        try {
            server_->serve();
            failed.set_value();
        } catch (const std::exception &) {
            failed.set_exception(std::current_exception());
        }
    }

    std::string host_;
    std::shared_ptr<TServerSocket> socket_;
    std::unique_ptr<TThreadedServer> server_;
    std::thread thread_;
};

ThriftServer::ThriftServer(const std::string &address, const std::shared_ptr<apache::thrift::TProcessor> &processor)
    : impl_(std::make_unique<Impl>(address, processor))
{
}

ThriftServer::~ThriftServer() = default;

std::string ThriftServer::address() const
{
    return impl_->address();
}

void ThriftServer::stop()
{
    impl_->stop();
}

} // namespace Cloverbarrow
