/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "loadedzones.h"

#include "eventually.h"
#include "names.h"
#include "sampleplan.h"
#include "startcall.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace Cloverbarrow::Tests
{

using namespace Standins;

LoadedZones::LoadedZones(int entryVms)
{
    registerBackend("bog-a", localBackend_, "i-1");
    registerBackend("bog-b", remoteBackend_, "i-2");
    const nlohmann::json routes = {routeSpecification("a.example", "safe", "/read/", 5), routeSpecification("a.example", "unsafe", "/pay/", 5)};
    store.put("config", "main", planSpecification(1, routes));
    for (int number = 1; number <= entryVms; ++number) {
        startEntryVm("entry-" + std::to_string(number));
    }
}

LoadedZones::~LoadedZones()
{
    stopLoad();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void LoadedZones::startLoad()
{
    for (const std::string &address : callerAddresses_) {
        threads_.emplace_back([this, address] { sendRequests(address); });
    }
}

void LoadedZones::stopLoad()
{
    isStopping_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

void LoadedZones::resetStoreConnections()
{
    for (const auto &link : storeLinks_) {
        link->setFault(LinkFault::Reset);
    }
    std::this_thread::sleep_for(milliseconds(500));
    for (const auto &link : storeLinks_) {
        link->setFault(LinkFault::None);
    }
}

void LoadedZones::disconnectLastFromStore()
{
    storeLinks_.back()->setFault(LinkFault::Reset);
}

std::size_t LoadedZones::localExecutions() const
{
    return localBackend_.executedRequestIds().size();
}

std::size_t LoadedZones::remoteExecutions() const
{
    return remoteBackend_.executedRequestIds().size();
}

RegisteredBackend &LoadedZones::localBackend()
{
    return localBackend_;
}

RegisteredBackend &LoadedZones::remoteBackend()
{
    return remoteBackend_;
}

bool LoadedZones::areAllServed() const
{
    return served_ > 0 && failed_ == 0;
}

std::size_t LoadedZones::served() const
{
    return served_;
}

std::size_t LoadedZones::failed() const
{
    return failed_;
}

void LoadedZones::registerBackend(const std::string &zone, const RegisteredBackend &backend, const std::string &id)
{
    nlohmann::json registration = backend.registration("reclamos");
    registration["zone"] = zone;
    store.put("servers", id, registration);
}

void LoadedZones::startEntryVm(const std::string &name)
{
    storeLinks_.push_back(std::make_unique<FaultProxy>(store.address()));
    const std::string path = folder_ + "/" + name + ".yaml";
    std::ofstream(path) << "name: " << name << "\nzone: bog-a\nregion: bogota\nlisten: {callers: 127.0.0.1:0, operations: 127.0.0.1:0}\n"
                        << "directory: {address: " << storeLinks_.back()->address()
                        << ", relay: 127.0.0.1:0, repeat_ratio: 0.2, repeat_slack: 64, probes_per_server: 60}\nlog_level: off\n";
    entryVms_.push_back(std::make_unique<Process>(std::vector<std::string>{std::string(BINARY_FOLDER) + "/cloverbarrowd", "--settings=" + path}));
    const auto listening = nlohmann::json::parse(entryVms_.back()->firstLine());
    callerAddresses_.push_back(listening.at("callers"));
    HttpClient client{1};
    REQUIRE(eventually([&] { return statusOf(client, listening.at("operations"), "GET", "/readyz", "x") == 200; }));
}

void LoadedZones::sendRequests(const std::string &address)
{
    HttpClient client{1};
    for (int number = 0; !isStopping_; ++number) {
        const std::string id = address + "-" + std::to_string(number);
        const bool isPayout = number % 2 == 0;
        const int status = statusOf(client, address, isPayout ? "POST" : "GET", (isPayout ? "/pay/" : "/read/") + std::to_string(number), id);
        ++(status == 200 ? served_ : failed_);
        // Longer than a load report counts as fresh, so that each request probes servers again.
        std::this_thread::sleep_for(milliseconds(60));
    }
}

int LoadedZones::statusOf(HttpClient &client, const std::string &address, const std::string &method, const std::string &target, const std::string &id)
{
    HttpCall call;
    call.address = address;
    call.request = {method, target, {{"Host", "a.example"}, {Platform::RequestIdHeader, id}, {Platform::DeadlineMsHeader, "4000"}}, "", true};
    call.timeout = seconds(20);
    const HttpOutcome outcome = startCall(client, ++calls_, std::move(call)).get();
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer ? answer->status : 0;
}

std::string LoadedZones::makeFolder()
{
    char folder[] = "/tmp/cloverbarrow-zones-XXXXXX";
    return ::mkdtemp(folder);
}

} // namespace Cloverbarrow::Tests
