/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/peerservice.h"

#include "net/bootclock.h"
#include "net/thriftclient.h"

#include <thrift/TApplicationException.h>

namespace Cloverbarrow
{

namespace
{
// Shorter than the timeouts of the requesting entry VM, so that it still receives the result.
constexpr int PeerConnectTimeoutMs = 300;
constexpr int PeerCallTimeoutMs = 500;
} // namespace

void PeerService::open(ServiceContext context)
{
    context_ = context;
    isOpen_ = true;
}

void PeerService::exchange(Wire::Heartbeat &answer, const Wire::Heartbeat &heartbeat)
{
    const ServiceContext &serviceContext = context();
    answer = toWire(serviceContext.node->heartbeat(bootNow(), heartbeat.sender.peerAddress));
    serviceContext.events->handle(ControlEvent(HeartbeatReceived{fromWire(heartbeat)}));
}

void PeerService::fetchIntent(Wire::Intent &answer)
{
    if (const auto intent = context().node->intent()) {
        answer.version = intent->version;
        answer.value = intent->value;
    }
}

bool PeerService::canReach(const std::string &name, const std::string &nonce, const std::string &peerAddress)
{
    const ServiceContext &serviceContext = context();
    try {
        ThriftClient<Wire::PeerClient> peer(peerAddress, PeerConnectTimeoutMs, PeerCallTimeoutMs);
        Wire::Heartbeat answer;
        peer->exchange(answer, toWire(serviceContext.node->heartbeat(bootNow(), peerAddress)));
        return answer.sender.name == name && answer.sender.nonce == nonce;
    } catch (const apache::thrift::TException &) {
        return false;
    }
}

const ServiceContext &PeerService::context() const
{
    if (!isOpen_) {
        throw apache::thrift::TApplicationException("starting");
    }
    return context_;
}

} // namespace Cloverbarrow
