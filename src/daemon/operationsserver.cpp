/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/operationsserver.h"

#include "core/support/address.h"
#include "net/signalstack.h"

#include <pistache/endpoint.h>

namespace Cloverbarrow
{

namespace
{

class OperationsHandler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(OperationsHandler)

    explicit OperationsHandler(OperationsSource source)
        : source_(std::move(source))
    {
    }

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter response) override
    {
        using Pistache::Http::Code;
        ensureSignalStack();
        if (request.method() != Pistache::Http::Method::Get) {
            response.send(Code::Method_Not_Allowed, "only GET is served here\n");
        } else if (request.resource() == "/metrics") {
            response.send(Code::Ok, source_.metrics());
        } else if (request.resource() == "/healthz") {
            response.send(Code::Ok, "alive\n");
        } else if (request.resource() == "/readyz") {
            const std::string reason = source_.unreadyReason();
            response.send(reason.empty() ? Code::Ok : Code::Service_Unavailable, reason.empty() ? "ready\n" : "not ready: " + reason + "\n");
        } else {
            response.send(Code::Not_Found, "known are /metrics, /healthz and /readyz\n");
        }
    }

private:
    OperationsSource source_;
};

} // namespace

class OperationsServer::Impl
{
public:
    Impl(const std::string &address, OperationsSource source)
        : endpoint_(std::make_unique<Pistache::Http::Endpoint>(addressOf(address)))
    {
        const auto flags = Pistache::Tcp::Options::ReuseAddr;
        endpoint_->init(Pistache::Http::Endpoint::options().threads(1).flags(flags));
        endpoint_->setHandler(std::make_shared<OperationsHandler>(std::move(source)));
        endpoint_->serveThreaded();
        port_ = static_cast<std::uint16_t>(endpoint_->getPort());
    }

    std::uint16_t port() const
    {
        return port_;
    }

    void stop()
    {
        if (endpoint_) {
            endpoint_->shutdown();
            // Only its destructor waits for the threads.
            endpoint_.reset();
        }
    }

private:
    static Pistache::Address addressOf(const std::string &address)
    {
        const auto parsed = parseSocketAddress(address).value();
        return {parsed.host, Pistache::Port(parsed.port)};
    }

    std::uint16_t port_ = 0;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint_; ///< Null once stopped.
};

OperationsServer::OperationsServer(const std::string &address, OperationsSource source)
    : impl_(std::make_unique<Impl>(address, std::move(source)))
{
}

OperationsServer::~OperationsServer()
{
    impl_->stop();
}

std::uint16_t OperationsServer::port() const
{
    return impl_->port();
}

void OperationsServer::stop()
{
    impl_->stop();
}

} // namespace Cloverbarrow
