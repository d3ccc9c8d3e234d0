/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/adminservice.h"

#include "net/bootclock.h"

// Status of the fleet and of backend servers for AdminService.

namespace Cloverbarrow
{

namespace
{

std::string_view nameOf(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Left:
        break;
    }
    return "left";
}

std::string stateOf(const Backend &backend, TimePoint now)
{
    if (backend.isLeaving) {
        return "leaving";
    }
    if (now < backend.ejectedUntil) {
        return "ejected";
    }
    return backend.isOnTrial ? "on trial" : "serving";
}

} // namespace

void AdminService::status(Wire::Status &result)
{
    requireOpen();
    const auto intent = context_.node->intent();
    const TimePoint now = bootNow();
    result.configurationVersion = intent ? intent->version : 0;
    context_.node->withControl([&](const ControlShard &control) {
        result.servedBy = control.membership().self().id.name;
        result.isReady = control.isReady();
        result.reason = control.reason();
        result.isPlatformSilent = control.intent().isPlatformUnresponsive(now);
        result.isLeaseValid = control.shares().isLeaseValid(now);
        if (intent) {
            result.drains = intent->intent.drains;
            for (const Service &service : intent->configuration.services) {
                Wire::ShareStatus share;
                share.serviceName = service.name;
                share.held = static_cast<std::int32_t>(control.shares().heldCount(service.name));
                result.shares.push_back(std::move(share));
            }
        }
    });
    addEntryVms(result);
    addBackends(result);
}

void AdminService::addEntryVms(Wire::Status &result) const
{
    const TimePoint now = bootNow();
    context_.node->withControl([&](const ControlShard &control) {
        const Membership &membership = control.membership();
        for (const Member &member : membership.all()) {
            Wire::EntryVmStatus vm;
            vm.name = member.id.name;
            vm.adminAddress = member.adminAddress;
            vm.zone = member.zone;
            vm.region = member.region;
            vm.configurationVersion = member.configurationVersion;
            vm.state = nameOf(membership.stateOf(member.id).value_or(MemberState::Dead));
            vm.silenceMs = std::chrono::floor<milliseconds>(membership.timeSinceContact(now, member.id).value_or(Duration(0))).count();
            result.entryVms.push_back(std::move(vm));
        }
    });
}

void AdminService::addBackends(Wire::Status &result) const
{
    const TimePoint now = bootNow();
    context_.node->withServices([&](const std::string &service, const ServiceShard &shard) {
        for (const Backend &backend : shard.pool().backends()) {
            Wire::BackendStatus reported;
            reported.serviceName = service;
            reported.name = backend.server.name;
            reported.address = backend.server.address;
            reported.zone = backend.server.zone;
            reported.state = stateOf(backend, now);
            reported.inFlight = backend.inFlight;
            reported.reportedLoad = backend.reportedLoad;
            reported.latencyMs = backend.latencyMs;
            result.backends.push_back(std::move(reported));
        }
    });
}

} // namespace Cloverbarrow
