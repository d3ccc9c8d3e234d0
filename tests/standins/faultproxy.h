/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "net/descriptor.h"

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Cloverbarrow::Standins
{

/// Fault of a link.
enum class LinkFault {
    None,
    Slow, ///< Bytes are delayed in both directions.
    CutToTarget, ///< Bytes to the target are held back until the fault ends.
    CutFromTarget, ///< Bytes from the target are held back until the fault ends.
    Cut, ///< Bytes are held back in both directions.
    Reset, ///< Open connections are reset, and new ones as soon as they are accepted.
};

const char *nameOf(LinkFault fault);

/// How a client is partitioned from the target of a link.
enum class PartitionMode {
    Hang, ///< No bytes pass.
    Reset, ///< Connections are reset, open ones and new ones.
    RejectNew, ///< Open connections work; new ones are reset.
};

const char *nameOf(PartitionMode mode);

/// TCP proxy on a loopback address that injects faults into a link.
class FaultProxy
{
public:
    /// @param target `IP:port` to which connections are forwarded.
    explicit FaultProxy(std::string target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::string address() const;
    /// Applies to connections that are accepted from now on.
    void setTarget(std::string target);
    void setFault(LinkFault fault);
    /// Connections that are open now never carry another byte; new ones are not affected.
    void stallOpenConnections();
    /// Partitions the clients in @p processes, which are child processes, from the target. Replaces the partition before; an empty set ends it.
    void setPartition(std::vector<pid_t> processes, PartitionMode mode);
    /// @return whether the link had any fault at some time from @p from until @p to.
    bool hadFault(TimePoint from, TimePoint to) const;

private:
    using Clock = std::chrono::steady_clock;

    struct FaultPeriod {
        TimePoint from;
        TimePoint to = TimePoint::max();
    };

    struct DelayedBytes {
        Clock::time_point due;
        std::string bytes;
    };

    /// One direction of a connection.
    struct Direction {
        std::deque<DelayedBytes> delayedBytes;
        bool isSenderClosed = false; ///< The sender closed its sending half.
        bool isCloseForwarded = false;
    };

    struct Link {
        Descriptor caller;
        std::uint16_t callerPort = 0;
        Descriptor target;
        Direction toTarget;
        Direction fromTarget;
        bool isStalled = false;
        bool isInPartition = false; ///< Whether its client is in the current partition.
    };

    struct Partition {
        std::vector<pid_t> processes;
        PartitionMode mode = PartitionMode::Hang;
    };

    void run();
    void acceptOne(const Partition &partition);
    /// Applies a new partition to the open links. @return the current one.
    Partition updatePartition();
    void transfer(Link &link, LinkFault fault) const;
    static LinkFault faultOf(const Link &link, LinkFault fault, PartitionMode mode);
    /// @return whether the connection stays open.
    static bool receive(const Descriptor &from, Direction &direction, Clock::time_point due);
    static bool deliver(Direction &direction, const Descriptor &to);
    static bool isFinished(const Link &link);

    mutable std::mutex targetMutex_;
    std::string target_; ///< Guarded by the mutex.
    Descriptor listener_;
    std::string address_;
    std::uint16_t port_ = 0;
    mutable std::mutex faultsMutex_;
    std::vector<FaultPeriod> faults_; ///< In order; guarded by the mutex.
    std::atomic<LinkFault> fault_{LinkFault::None};
    std::atomic<bool> stallsOpenConnections_{false};
    std::mutex partitionMutex_;
    Partition partition_; ///< Guarded by the mutex.
    std::atomic<bool> hasPartitionChanged_{false};
    std::atomic<bool> isStopping_{false};
    std::list<Link> links_; ///< Used only by the proxy's thread.
    std::thread thread_;
};

} // namespace Cloverbarrow::Standins
