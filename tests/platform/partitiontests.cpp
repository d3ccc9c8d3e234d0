/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "directorystore.h"
#include "eventually.h"
#include "faultproxy.h"
#include "names.h"
#include "net/bootclock.h"
#include "net/httpclient.h"
#include "process.h"
#include "registeredbackend.h"
#include "sampleplan.h"
#include "startcall.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <thread>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Standins;
using namespace Cloverbarrow::Tests;

namespace
{

using Json = nlohmann::json;

// Time after which callers of partitioned entry VMs must be served like others.
constexpr auto DetectionLimit = std::chrono::seconds(3);
constexpr int RequestsPerEntryVm = 20;
constexpr int MaxAttempts = 2; // of the routes
constexpr double TimeoutSeconds = 2;

/// A store, backend servers behind links that can be cut for single entry VMs, and entry VMs of two availability zones as separate processes.
class PartitionFixture
{
public:
    PartitionFixture()
    {
        const Json routes = {routeSpecification("a.example", "safe", "/read/", TimeoutSeconds),
                             routeSpecification("a.example", "unsafe", "/pay/", TimeoutSeconds)};
        store.put("config", "main", planSpecification(1, routes));
        for (std::size_t server = 0; server < Servers; ++server) {
            const std::string id = "i-" + std::to_string(server);
            backends_.push_back(std::make_unique<RegisteredBackend>(id));
            links_.push_back(std::make_unique<FaultProxy>(backends_.back()->address()));
            Json registration = backends_.back()->registration("reclamos");
            registration["address"] = links_.back()->address();
            registration["zone"] = zoneOf(server);
            store.put("servers", id, registration);
        }
        folder_ = std::filesystem::temp_directory_path() / "cloverbarrow-partition-XXXXXX";
        ::mkdtemp(folder_.data());
        for (std::size_t entryVm = 0; entryVm < EntryVms; ++entryVm) {
            start(entryVm);
        }
        for (std::size_t entryVm = 0; entryVm < EntryVms; ++entryVm) {
            REQUIRE(eventually([this, entryVm] { return send(entryVm, "GET") == 200; }));
        }
        // Entry VMs find each other through the relay of their availability zone.
        std::this_thread::sleep_for(DetectionLimit);
    }

    ~PartitionFixture()
    {
        processes_.clear();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    static std::string zoneOf(std::size_t number)
    {
        return number % 2 == 0 ? "bog-a" : "bog-b";
    }

    /// Partitions these entry VMs from all backend servers; none ends the partition.
    void partition(const std::vector<std::size_t> &entryVms, PartitionMode mode)
    {
        std::vector<pid_t> processes;
        processes.reserve(entryVms.size());
        for (const std::size_t entryVm : entryVms) {
            processes.push_back(processes_[entryVm]->pid());
        }
        for (const auto &link : links_) {
            link->setPartition(processes, mode);
        }
    }

    /// @return the answer's status; 0 when there is none.
    int send(std::size_t entryVm, const std::string &method)
    {
        const std::string id = method + "-" + std::to_string(++sent_);
        const std::string target = method == "GET" ? "/read/" + id : "/pay/" + id;
        HttpCall call;
        call.address = addresses_[entryVm];
        call.request = {method,
                        target,
                        {{"Host", "a.example"}, {Platform::RequestIdHeader, id}, {Platform::DeadlineMsHeader, "2000"}},
                        method == "POST" ? "monto=1" : "",
                        true};
        call.timeout = seconds(4);
        const HttpOutcome outcome = startCall(client_, ++calls_, std::move(call)).get();
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        const int status = answer ? answer->status : 0;
        statuses_.emplace(id, status);
        return status;
    }

    /// @return how many of RequestsPerEntryVm requests, reads and writes by turns, were served at the first attempt.
    int countServed(std::size_t entryVm)
    {
        int served = 0;
        for (int request = 0; request < RequestsPerEntryVm; ++request) {
            served += send(entryVm, request % 2 == 0 ? "GET" : "POST") == 200 ? 1 : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return served;
    }

    /// Checks that no write was executed twice and that no request was executed that callers were told was not.
    void checkExecutions() const
    {
        std::map<std::string, int> executions;
        for (const auto &backend : backends_) {
            for (const std::string &id : backend->executedRequestIds()) {
                ++executions[id];
            }
        }
        for (const auto &[id, status] : statuses_) {
            CAPTURE(id, status);
            CHECK((status != 503 || executions[id] == 0));
            CHECK(executions[id] <= (id.starts_with("POST") ? 1 : MaxAttempts));
        }
    }

    RegisteredBackend &backend(std::size_t server)
    {
        return *backends_[server];
    }

    static constexpr std::size_t EntryVms = 4;
    static constexpr std::size_t Servers = 6;

    DirectoryStore store;

private:
    void start(std::size_t entryVm)
    {
        const std::string name = "entry-" + std::to_string(entryVm);
        const std::string path = folder_ + "/" + name + ".yaml";
        std::ofstream(path) << "name: " << name << "\nzone: " << zoneOf(entryVm)
                            << "\nregion: bogota\nlisten: {callers: 127.0.0.1:0, operations: 127.0.0.1:0}\n"
                            << "directory: {address: " << store.address()
                            << ", relay: 127.0.0.1:0, repeat_ratio: 0.2, repeat_slack: 64, probes_per_server: 60}\nlog_level: off\n";
        processes_.push_back(std::make_unique<Process>(std::vector<std::string>{std::string(BINARY_FOLDER) + "/cloverbarrowd", "--settings=" + path}));
        addresses_.push_back(Json::parse(processes_.back()->firstLine()).at("callers"));
    }

    std::vector<std::unique_ptr<RegisteredBackend>> backends_;
    std::vector<std::unique_ptr<FaultProxy>> links_;
    HttpClient client_{1};
    HttpCallId calls_ = 0;
    int sent_ = 0;
    std::map<std::string, int> statuses_; ///< By request id.
    std::string folder_;
    std::vector<std::unique_ptr<Process>> processes_;
    std::vector<std::string> addresses_;
};

/// Checks that callers of the partitioned entry VMs are served almost like others, during the partition and after it.
void checkServedInPartition(const std::vector<std::size_t> &entryVms)
{
    const auto mode = GENERATE(PartitionMode::Hang, PartitionMode::Reset, PartitionMode::RejectNew);
    CAPTURE(nameOf(mode));
    PartitionFixture fixture;
    fixture.partition(entryVms, mode);
    // Requests let an entry VM notice that no backend server answers it.
    const auto measuredFrom = std::chrono::steady_clock::now() + DetectionLimit;
    while (std::chrono::steady_clock::now() < measuredFrom) {
        for (const std::size_t entryVm : entryVms) {
            fixture.send(entryVm, "GET");
        }
    }
    const int servedElsewhere = fixture.countServed(0);
    for (const std::size_t entryVm : entryVms) {
        CHECK(3 * fixture.countServed(entryVm) >= 2 * servedElsewhere);
    }
    CHECK(servedElsewhere == RequestsPerEntryVm);
    fixture.partition({}, mode);
    for (const std::size_t entryVm : entryVms) {
        CHECK(eventually([&fixture, entryVm] { return fixture.send(entryVm, "POST") == 200; }));
    }
    fixture.checkExecutions();
}

} // namespace

TEST_CASE("Callers of an entry VM that is partitioned from all backend servers are served through other entry VMs", "[platform][partition]")
{
    checkServedInPartition({1});
}

TEST_CASE("Callers of an availability zone that is partitioned from all backend servers are served through other zones", "[platform][partition]")
{
    checkServedInPartition({1, 3});
}

namespace
{

/// @return number of requests that have arrived at these servers.
std::size_t arrivalsAt(PartitionFixture &fixture, const std::vector<std::size_t> &servers)
{
    std::size_t count = 0;
    for (const std::size_t server : servers) {
        count += fixture.backend(server).arrivals().size();
    }
    return count;
}

/// Lets each of these servers reject a request that is sent to the entry VM, with this backoff, and then serve again.
void rejectOnce(PartitionFixture &fixture, std::size_t entryVm, const std::vector<std::size_t> &servers, const std::string &backoff)
{
    for (const std::size_t server : servers) {
        fixture.backend(server).setRetryAfter(backoff);
        fixture.backend(server).setAnswerMode(AnswerMode::Shed);
    }
    REQUIRE(eventually([&] {
        fixture.send(entryVm, "GET");
        return std::all_of(servers.begin(), servers.end(), [&fixture](std::size_t server) {
            const auto arrivals = fixture.backend(server).arrivals();
            return std::any_of(arrivals.begin(), arrivals.end(), [](const Arrival &arrival) { return arrival.backoff > Duration(0); });
        });
    }));
    for (const std::size_t server : servers) {
        fixture.backend(server).setAnswerMode(AnswerMode::Serve);
    }
}

/// Sends requests to the entry VM for this time. @return how many were served.
int useFor(PartitionFixture &fixture, std::size_t entryVm, Duration time)
{
    int served = 0;
    for (const TimePoint until = bootNow() + time; bootNow() < until;) {
        served += fixture.send(entryVm, "GET") == 200 ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return served;
}

} // namespace

// Guards against requests that an entry VM sends after a partition to servers that have rejected requests which it had forwarded.
TEST_CASE("Servers that reject forwarded requests with Retry-After get none from the entry VM that forwarded them until then", "[platform][partition][backoff]")
{
    constexpr std::size_t EntryVm = 1;
    const std::vector<std::size_t> servers = {0, 1, 2, 3, 4, 5};
    PartitionFixture fixture;
    fixture.partition({EntryVm}, PartitionMode::Reset);
    useFor(fixture, EntryVm, seconds(1));
    rejectOnce(fixture, EntryVm, servers, "4");
    const std::size_t before = arrivalsAt(fixture, servers);
    fixture.partition({}, PartitionMode::Reset);
    CHECK(useFor(fixture, EntryVm, seconds(2)) == 0);
    CHECK(arrivalsAt(fixture, servers) == before);
    CHECK(eventually([&fixture] { return fixture.send(EntryVm, "GET") == 200; }));
    fixture.checkExecutions();
}

// Guards against requests that peers send, for an entry VM, to servers that have requested a backoff from it.
TEST_CASE("While an entry VM is partitioned, its peers send its requests to no server that has requested a backoff from it", "[platform][partition][backoff]")
{
    constexpr std::size_t EntryVm = 1;
    const std::vector<std::size_t> servers = {1, 3};
    PartitionFixture fixture;
    rejectOnce(fixture, EntryVm, servers, "5");
    const std::size_t before = arrivalsAt(fixture, servers);
    fixture.partition({EntryVm}, PartitionMode::Reset);
    useFor(fixture, EntryVm, seconds(1));
    CHECK(useFor(fixture, EntryVm, seconds(2)) > RequestsPerEntryVm);
    CHECK(arrivalsAt(fixture, servers) == before);
    fixture.checkExecutions();
}
