/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "faultproxy.h"

#include "core/support/address.h"
#include "net/bootclock.h"
#include "socketowner.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

namespace Cloverbarrow::Standins
{

namespace
{

constexpr int Backlog = 256;
constexpr int PollMs = 5;
constexpr std::size_t BufferSize = 64 * 1024;
constexpr auto SlowDelay = std::chrono::milliseconds(120);

sockaddr_in socketAddress(const std::string &address)
{
    const auto parsed = parseSocketAddress(address).value();
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(parsed.port);
    ::inet_pton(AF_INET, parsed.host.c_str(), &target.sin_addr);
    return target;
}

Descriptor newSocket(int flags = 0)
{
    return Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0));
}

/// Makes closing reset the connection, so that the peer cannot mistake it for an orderly close.
void resetOnClose(const Descriptor &socket)
{
    const linger now{1, 0};
    ::setsockopt(socket.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

bool isRetryable()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

const char *nameOf(LinkFault fault)
{
    constexpr std::array Names = {"none", "slow", "cut there", "cut back", "cut", "reset"};
    return Names.at(static_cast<std::size_t>(fault));
}

const char *nameOf(PartitionMode mode)
{
    constexpr std::array Names = {"hanging", "reset", "new connections rejected"};
    return Names.at(static_cast<std::size_t>(mode));
}

FaultProxy::FaultProxy(std::string target)
    : target_(std::move(target))
    , listener_(newSocket(SOCK_NONBLOCK))
{
    sockaddr_in local = socketAddress("127.0.0.1:0");
    socklen_t size = sizeof local;
    const bool isBound = ::bind(listener_.get(), reinterpret_cast<const sockaddr *>(&local), size) == 0;
    if (!isBound || ::listen(listener_.get(), Backlog) != 0) {
        throw std::runtime_error("fault proxy cannot listen on a loopback port");
    }
    ::getsockname(listener_.get(), reinterpret_cast<sockaddr *>(&local), &size);
    port_ = ntohs(local.sin_port);
    address_ = "127.0.0.1:" + std::to_string(port_);
    thread_ = std::thread([this] { run(); });
}

FaultProxy::~FaultProxy()
{
    isStopping_ = true;
    thread_.join();
}

std::string FaultProxy::address() const
{
    return address_;
}

void FaultProxy::setTarget(std::string target)
{
    const std::lock_guard lock(targetMutex_);
    target_ = std::move(target);
}

void FaultProxy::setFault(LinkFault fault)
{
    const std::lock_guard lock(faultsMutex_);
    const TimePoint now = bootNow();
    if (fault_ != LinkFault::None && !faults_.empty()) {
        faults_.back().to = now;
    }
    if (fault != LinkFault::None) {
        faults_.push_back({now});
    }
    fault_ = fault;
}

void FaultProxy::stallOpenConnections()
{
    const std::lock_guard lock(faultsMutex_);
    if (fault_ == LinkFault::None) {
        const TimePoint now = bootNow();
        faults_.push_back({now, now});
    }
    stallsOpenConnections_ = true;
}

void FaultProxy::setPartition(std::vector<pid_t> processes, PartitionMode mode)
{
    {
        const std::lock_guard lock(faultsMutex_);
        // A partition that has ended may still have delayed requests, so it counts as a fault until the next change.
        faults_.push_back({bootNow(), processes.empty() ? bootNow() : TimePoint::max()});
        for (std::size_t index = 0; index + 1 < faults_.size(); ++index) {
            faults_[index].to = std::min(faults_[index].to, bootNow());
        }
    }
    const std::lock_guard lock(partitionMutex_);
    partition_ = {std::move(processes), mode};
    hasPartitionChanged_ = true;
}

FaultProxy::Partition FaultProxy::updatePartition()
{
    const std::lock_guard lock(partitionMutex_);
    if (hasPartitionChanged_.exchange(false)) {
        for (Link &link : links_) {
            link.isInPartition = !partition_.processes.empty() && ownerOfConnection(link.callerPort, port_, partition_.processes);
        }
    }
    return partition_;
}

LinkFault FaultProxy::faultOf(const Link &link, LinkFault fault, PartitionMode mode)
{
    if (!link.isInPartition || mode == PartitionMode::RejectNew) {
        return fault;
    }
    return mode == PartitionMode::Hang ? LinkFault::Cut : LinkFault::Reset;
}

bool FaultProxy::hadFault(TimePoint from, TimePoint to) const
{
    const std::lock_guard lock(faultsMutex_);
    return std::any_of(faults_.begin(), faults_.end(), [from, to](const FaultPeriod &period) { return period.from <= to && period.to >= from; });
}

void FaultProxy::run()
{
    while (!isStopping_) {
        std::vector<pollfd> waits = {{listener_.get(), POLLIN, 0}};
        for (const Link &link : links_) {
            waits.push_back({link.caller.get(), static_cast<short>(link.toTarget.isSenderClosed ? 0 : POLLIN), 0});
            waits.push_back({link.target.get(), static_cast<short>(link.fromTarget.isSenderClosed ? 0 : POLLIN), 0});
        }
        ::poll(waits.data(), waits.size(), PollMs);
        const LinkFault fault = fault_;
        const Partition partition = updatePartition();
        if ((waits.front().revents & POLLIN) != 0) {
            acceptOne(partition);
        }
        const bool stallsOpen = stallsOpenConnections_.exchange(false);
        for (Link &link : links_) {
            link.isStalled = link.isStalled || stallsOpen;
            transfer(link, faultOf(link, fault, partition.mode));
        }
        std::erase_if(links_, isFinished);
        if (fault != LinkFault::None || !partition.processes.empty()) {
            // Bytes that are held back keep the descriptors readable; without this pause the loop would spin.
            std::this_thread::sleep_for(std::chrono::milliseconds(PollMs));
        }
    }
}

void FaultProxy::acceptOne(const Partition &partition)
{
    Link link;
    sockaddr_in caller{};
    socklen_t size = sizeof caller;
    link.caller = Descriptor(::accept4(listener_.get(), reinterpret_cast<sockaddr *>(&caller), &size, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!link.caller.isOpen()) {
        return;
    }
    link.callerPort = ntohs(caller.sin_port);
    link.isInPartition = !partition.processes.empty() && ownerOfConnection(link.callerPort, port_, partition.processes);
    if (link.isInPartition && partition.mode == PartitionMode::RejectNew) {
        resetOnClose(link.caller);
        return;
    }
    link.target = newSocket();
    const sockaddr_in target = [this] {
        const std::lock_guard lock(targetMutex_);
        return socketAddress(target_);
    }();
    if (::connect(link.target.get(), reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        resetOnClose(link.caller);
        return;
    }
    const int one = 1;
    ::setsockopt(link.caller.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    ::setsockopt(link.target.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    links_.push_back(std::move(link));
}

void FaultProxy::transfer(Link &link, LinkFault fault) const
{
    const auto now = Clock::now();
    const auto due = fault == LinkFault::Slow ? now + SlowDelay : now;
    const bool holdsToTarget = link.isStalled || fault == LinkFault::CutToTarget || fault == LinkFault::Cut;
    const bool holdsFromTarget = link.isStalled || fault == LinkFault::CutFromTarget || fault == LinkFault::Cut;
    bool staysOpen = fault != LinkFault::Reset;
    staysOpen = staysOpen && (holdsToTarget || (receive(link.caller, link.toTarget, due) && deliver(link.toTarget, link.target)));
    staysOpen = staysOpen && (holdsFromTarget || (receive(link.target, link.fromTarget, due) && deliver(link.fromTarget, link.caller)));
    if (!staysOpen) {
        resetOnClose(link.caller);
        resetOnClose(link.target);
        link.caller.reset();
        link.target.reset();
    }
}

bool FaultProxy::receive(const Descriptor &from, Direction &direction, Clock::time_point due)
{
    std::array<char, BufferSize> buffer{};
    while (!direction.isSenderClosed) {
        const ssize_t count = ::recv(from.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0) {
            return isRetryable();
        }
        direction.isSenderClosed = count == 0;
        if (count > 0) {
            direction.delayedBytes.push_back({due, std::string(buffer.data(), static_cast<std::size_t>(count))});
        }
    }
    return true;
}

bool FaultProxy::deliver(Direction &direction, const Descriptor &to)
{
    while (!direction.delayedBytes.empty() && direction.delayedBytes.front().due <= Clock::now()) {
        std::string &bytes = direction.delayedBytes.front().bytes;
        const ssize_t count = ::send(to.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0) {
            return isRetryable();
        }
        bytes.erase(0, static_cast<std::size_t>(count));
        if (bytes.empty()) {
            direction.delayedBytes.pop_front();
        }
    }
    if (direction.delayedBytes.empty() && direction.isSenderClosed && !direction.isCloseForwarded) {
        ::shutdown(to.get(), SHUT_WR);
        direction.isCloseForwarded = true;
    }
    return true;
}

bool FaultProxy::isFinished(const Link &link)
{
    return !link.caller.isOpen() || (link.toTarget.isCloseForwarded && link.fromTarget.isCloseForwarded);
}

} // namespace Cloverbarrow::Standins
