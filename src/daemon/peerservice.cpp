/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/peerservice.h"

#include "net/bootclock.h"

#include <thrift/TApplicationException.h>

namespace Cloverbarrow
{

void PeerService::open(ServiceContext context)
{
    context_ = context;
    isOpen_ = true;
}

void PeerService::exchange(Wire::Heartbeat &answer, const Wire::Heartbeat &heartbeat)
{
    const ServiceContext &own = context();
    answer = toWire(own.node->heartbeat(bootNow()));
    own.events->handle(ControlEvent(HeartbeatReceived{fromWire(heartbeat)}));
}

void PeerService::fetchIntent(Wire::Intent &answer)
{
    if (const auto intent = context().node->intent()) {
        answer.version = intent->version;
        answer.value = intent->value;
    }
}

std::int64_t PeerService::silenceMs(const std::string &name, const std::string &nonce)
{
    const TimePoint now = bootNow();
    const auto silence = context().node->withControl([&](const ControlShard &control) { return control.membership().silence(now, {name, nonce}); });
    constexpr std::int64_t NotKnown = -1;
    return silence ? std::chrono::floor<milliseconds>(*silence).count() : NotKnown;
}

const ServiceContext &PeerService::context() const
{
    if (!isOpen_) {
        throw apache::thrift::TApplicationException("starting");
    }
    return context_;
}

} // namespace Cloverbarrow
