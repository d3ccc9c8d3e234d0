/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "ctl/statuscommand.h"

#include "ctl/output.h"
#include "ctl/session.h"

namespace Cloverbarrow
{

namespace
{

Json statusJson(const Wire::Status &status)
{
    Json json = {{"served_by", status.servedBy},
                 {"configuration_version", status.configurationVersion},
                 {"ready", status.isReady},
                 {"reason", status.reason},
                 {"platform_silent", status.isPlatformSilent},
                 {"lease_valid", status.isLeaseValid},
                 {"drains", status.drains},
                 {"entry_vms", Json::array()},
                 {"backend_servers", Json::array()},
                 {"measuring_shares", Json::array()}};
    for (const Wire::EntryVmStatus &vm : status.entryVms) {
        json["entry_vms"].push_back({{"name", vm.name},
                                     {"admin", vm.adminAddress},
                                     {"zone", vm.zone},
                                     {"region", vm.region},
                                     {"configuration_version", vm.configurationVersion},
                                     {"state", vm.state},
                                     {"silence_ms", vm.silenceMs}});
    }
    for (const Wire::BackendStatus &backend : status.backends) {
        json["backend_servers"].push_back({{"service", backend.serviceName},
                                           {"name", backend.name},
                                           {"address", backend.address},
                                           {"zone", backend.zone},
                                           {"state", backend.state},
                                           {"in_flight", backend.inFlight},
                                           {"reported_load", backend.reportedLoad},
                                           {"latency_ms", backend.latencyMs}});
    }
    for (const Wire::ShareStatus &share : status.shares) {
        json["measuring_shares"].push_back({{"service", share.serviceName}, {"held", share.held}});
    }
    return json;
}

void printTables(const Session &session, const Wire::Status &status)
{
    session.out << "served by " << status.servedBy << ", " << (status.isReady ? "ready" : "not ready: " + status.reason) << ", configuration "
                << status.configurationVersion << (status.isPlatformSilent ? ", the platform does not answer" : "") << "\n\n";
    Table vms({"ENTRY VM", "ZONE", "REGION", "STATE", "CONFIGURATION", "HEARD MS AGO"});
    for (const Wire::EntryVmStatus &vm : status.entryVms) {
        vms.add({vm.name, vm.zone, vm.region, vm.state, std::to_string(vm.configurationVersion), std::to_string(vm.silenceMs)});
    }
    Table backends({"SERVICE", "BACKEND SERVER", "ZONE", "STATE", "IN FLIGHT", "REPORTED", "LATENCY MS"});
    for (const Wire::BackendStatus &backend : status.backends) {
        backends.add({backend.serviceName,
                      backend.name,
                      backend.zone,
                      backend.state,
                      std::to_string(backend.inFlight),
                      std::to_string(backend.reportedLoad),
                      formatFixed(backend.latencyMs, 2)});
    }
    Table shares({"SERVICE", "MEASURING SHARES HELD HERE"});
    for (const Wire::ShareStatus &share : status.shares) {
        shares.add({share.serviceName, std::to_string(share.held)});
    }
    std::string drains;
    for (const std::string &drain : status.drains) {
        drains += " " + drain;
    }
    session.out << "drained:" << (drains.empty() ? " none" : drains) << "\n"
                << "own lease: " << (status.isLeaseValid ? "valid" : "none needed or not valid") << "\n\n";
    session.out << vms.toString() << "\n" << backends.toString() << "\n" << shares.toString();
}

} // namespace

CtlExit printStatus(const Session &session)
{
    Wire::Status status;
    session.connect()->status(status);
    if (session.options.isJson) {
        session.print(statusJson(status));
    } else {
        printTables(session, status);
    }
    return CtlExit::Done;
}

} // namespace Cloverbarrow
