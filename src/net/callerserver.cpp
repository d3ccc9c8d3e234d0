/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/callerserver.h"

#include "core/support/address.h"
#include "net/bootclock.h"
#include "net/signalstack.h"

#include <pistache/listener.h>
#include <pistache/peer.h>
#include <pistache/tcp.h>

#include <algorithm>
#include <mutex>
#include <vector>

namespace Cloverbarrow
{

namespace
{

constexpr const char *ConnectionKey = "connection";
constexpr int Backlog = 1024;

/// The open connections, for timeout checks and closing. Thread-safe.
class ConnectionList
{
public:
    explicit ConnectionList(const CallerBounds &bounds)
        : bounds_(bounds)
    {
    }

    CallerBounds bounds() const
    {
        const std::lock_guard lock(mutex_);
        return bounds_;
    }

    void setBounds(const CallerBounds &bounds)
    {
        const std::lock_guard lock(mutex_);
        bounds_ = bounds;
        for (const auto &connection : connections_) {
            connection->setBounds(bounds);
        }
    }

    void add(std::shared_ptr<CallerConnection> connection)
    {
        const std::lock_guard lock(mutex_);
        if (isClosing_) {
            connection->closeAfterAnswer();
        }
        connections_.push_back(std::move(connection));
    }

    std::vector<std::shared_ptr<CallerConnection>> all() const
    {
        const std::lock_guard lock(mutex_);
        return connections_;
    }

    void removeClosed()
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(connections_, [](const auto &connection) { return connection->isClosed(); });
    }

    /// From now on new connections close after their first answer. @return the open connections.
    std::vector<std::shared_ptr<CallerConnection>> startClosing()
    {
        const std::lock_guard lock(mutex_);
        isClosing_ = true;
        return connections_;
    }

private:
    mutable std::mutex mutex_;
    CallerBounds bounds_;
    bool isClosing_ = false;
    std::vector<std::shared_ptr<CallerConnection>> connections_;
};

/// Passes bytes from Pistache to the connection that they belong to.
class CallerHandler : public Pistache::Tcp::Handler
{
public:
    CallerHandler(const CallerConnection::Options &options, RequestHandler handler, std::shared_ptr<ConnectionList> connections)
        : options_(options)
        , handler_(std::move(handler))
        , connections_(std::move(connections))
    {
    }

    std::shared_ptr<Pistache::Tcp::Handler> clone() const override
    {
        return std::make_shared<CallerHandler>(options_, handler_, connections_);
    }

    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        ensureSignalStack();
        auto connection = std::make_shared<CallerConnection>(peer->fd(), connections_->bounds(), options_, handler_, peer->address().host());
        peer->putData(ConnectionKey, connection);
        connections_->add(std::move(connection));
    }

    void onInput(const char *bytes, std::size_t count, const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        if (const auto connection = connectionOf(peer)) {
            connection->received({bytes, count}, bootNow());
        }
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        if (const auto connection = connectionOf(peer)) {
            connection->inputEnded();
        }
    }

private:
    static std::shared_ptr<CallerConnection> connectionOf(const std::shared_ptr<Pistache::Tcp::Peer> &peer)
    {
        return std::static_pointer_cast<CallerConnection>(peer->tryGetData(ConnectionKey));
    }

    CallerConnection::Options options_;
    RequestHandler handler_;
    std::shared_ptr<ConnectionList> connections_;
};

} // namespace

class CallerServer::Impl
{
public:
    Impl(const CallerServerOptions &options, RequestHandler handler)
        : connections_(std::make_shared<ConnectionList>(options.bounds))
        , monitor_(std::make_shared<ConnectionMonitor>(options.logPart))
    {
        using Pistache::Tcp::Options;
        const Pistache::Flags<Options> flags = Pistache::Flags<Options>(Options::ReuseAddr) | Options::NoDelay;
        const auto address = parseSocketAddress(options.address).value();
        listener_->init(options.threads, flags, "callers", Backlog);
        CallerConnection::Options connectionOptions = options.connectionOptions;
        connectionOptions.monitor = monitor_;
        listener_->setHandler(std::make_shared<CallerHandler>(connectionOptions, std::move(handler), connections_));
        listener_->bind(Pistache::Address(address.host, Pistache::Port(address.port)));
        listener_->runThreaded();
        port_ = static_cast<std::uint16_t>(listener_->getPort());
    }

    ~Impl()
    {
        stop();
    }

    std::uint16_t port() const
    {
        return port_;
    }

    void stop()
    {
        if (listener_) {
            listener_->shutdown();
            // Only its destructor waits for the threads.
            listener_.reset();
        }
    }

    void checkTimeouts(TimePoint now)
    {
        for (const auto &connection : connections_->all()) {
            connection->checkTimeouts(now);
        }
        connections_->removeClosed();
    }

    void setBounds(const CallerBounds &bounds)
    {
        connections_->setBounds(bounds);
    }

    void closeAfterAnswers()
    {
        for (const auto &connection : connections_->startClosing()) {
            connection->closeAfterAnswer();
        }
    }

    void closeConnections()
    {
        for (const auto &connection : connections_->startClosing()) {
            connection->closeGracefully();
        }
    }

    ConnectionCounts connectionCounts() const
    {
        return monitor_->counts();
    }

    std::size_t unfinishedConnections() const
    {
        const auto all = connections_->all();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto &connection) { return connection->isUnfinished(); }));
    }

private:
    std::shared_ptr<ConnectionList> connections_;
    std::shared_ptr<ConnectionMonitor> monitor_;
    std::uint16_t port_ = 0;
    std::unique_ptr<Pistache::Tcp::Listener> listener_ = std::make_unique<Pistache::Tcp::Listener>(); ///< Null once stopped.
};

CallerServer::CallerServer(const CallerServerOptions &options, RequestHandler handler)
    : impl_(std::make_unique<Impl>(options, std::move(handler)))
{
}

CallerServer::~CallerServer() = default;

std::uint16_t CallerServer::port() const
{
    return impl_->port();
}

void CallerServer::checkTimeouts(TimePoint now)
{
    impl_->checkTimeouts(now);
}

void CallerServer::setBounds(const CallerBounds &bounds)
{
    impl_->setBounds(bounds);
}

void CallerServer::closeAfterAnswers()
{
    impl_->closeAfterAnswers();
}

void CallerServer::closeConnections()
{
    impl_->closeConnections();
}

ConnectionCounts CallerServer::connectionCounts() const
{
    return impl_->connectionCounts();
}

std::size_t CallerServer::unfinishedConnections() const
{
    return impl_->unfinishedConnections();
}

void CallerServer::stop()
{
    impl_->stop();
}

} // namespace Cloverbarrow
