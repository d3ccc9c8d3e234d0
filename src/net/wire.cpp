/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/wire.h"

#include "core/support/jsonnumber.h"

#include <thrift/TOutput.h>

#include <algorithm>
#include <mutex>

namespace Cloverbarrow
{

namespace
{

constexpr std::int64_t MaxAgeMs = std::chrono::floor<milliseconds>(MaxJsonDuration).count();

Wire::Member toWire(const Member &member)
{
    Wire::Member wire;
    wire.name = member.id.name;
    wire.nonce = member.id.nonce;
    wire.peerAddress = member.peerAddress;
    wire.adminAddress = member.adminAddress;
    wire.zone = member.zone;
    wire.region = member.region;
    wire.number = static_cast<std::int64_t>(member.sequenceNumber);
    wire.configurationVersion = member.configurationVersion;
    wire.claim = static_cast<Wire::MemberClaim::type>(member.claim);
    return wire;
}

MemberClaim claimFrom(Wire::MemberClaim::type claim)
{
    switch (claim) {
    case Wire::MemberClaim::LEAVING:
        return MemberClaim::Leaving;
    case Wire::MemberClaim::DEAD:
        return MemberClaim::Dead;
    case Wire::MemberClaim::ALIVE:
        break;
    }
    return MemberClaim::Alive;
}

Member fromWire(const Wire::Member &wire)
{
    return {{wire.name, wire.nonce},
            wire.peerAddress,
            wire.adminAddress,
            wire.zone,
            wire.region,
            static_cast<std::uint64_t>(wire.number),
            wire.configurationVersion,
            claimFrom(wire.claim)};
}

} // namespace

void suppressThriftOutput()
{
    static std::once_flag once;
    std::call_once(once, [] { apache::thrift::GlobalOutput.setOutputFunction([](const char *) {}); });
}

Wire::Heartbeat toWire(const Heartbeat &heartbeat)
{
    Wire::Heartbeat wire;
    wire.sender = toWire(heartbeat.sender);
    for (const Member &member : heartbeat.members) {
        wire.members.push_back(toWire(member));
    }
    for (const LeavingSign &sign : heartbeat.leavingSigns) {
        Wire::LeavingSign wireSign;
        wireSign.serviceName = sign.service;
        wireSign.backend = sign.backend;
        wireSign.ageMs = std::chrono::ceil<milliseconds>(sign.age).count();
        wire.leaving.push_back(std::move(wireSign));
    }
    return wire;
}

Heartbeat fromWire(const Wire::Heartbeat &wire)
{
    Heartbeat heartbeat;
    heartbeat.sender = fromWire(wire.sender);
    for (const Wire::Member &member : wire.members) {
        heartbeat.members.push_back(fromWire(member));
    }
    for (const Wire::LeavingSign &sign : wire.leaving) {
        heartbeat.leavingSigns.push_back({sign.serviceName, sign.backend, milliseconds(std::clamp(sign.ageMs, -MaxAgeMs, MaxAgeMs))});
    }
    return heartbeat;
}

} // namespace Cloverbarrow
