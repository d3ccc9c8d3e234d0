/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "fleet.h"
#include "procstat.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto SettleTime = std::chrono::seconds(6);
constexpr auto MeasuringTime = std::chrono::seconds(10);

std::vector<std::string> startEntryVms(Fleet &fleet, int count)
{
    std::vector<std::string> names;
    for (int number = 0; number < count; ++number) {
        names.push_back("entry-" + std::to_string(number));
        fleet.startEntryVm(names.back(), "zone-" + std::to_string(number % 8));
    }
    return names;
}

/// @return a configuration with @p services services, among which @p servers backend servers are divided evenly.
std::string makeConfiguration(int services, int servers)
{
    std::ostringstream text;
    text << "services:\n";
    for (int service = 0; service < services; ++service) {
        const std::string name = "service-" + std::to_string(service);
        text << "  - name: " << name << "\n    host: " << name << ".example\n"
             << "    places: [zone-0, zone-1, zone-2, zone-3, zone-4, zone-5, zone-6, zone-7]\n"
             << "    echoes_exchange_tag: true\n    kinds:\n      - {name: read, methods: [GET], path: /**, class: read}\n"
             << "      - {name: pay, methods: [POST], path: /pay, class: payout}\n"
             << "    measuring: {probes: 10, window_ms: 1000}\n    backend_servers:\n";
        for (int server = service; server < servers; server += services) {
            text << "      - {name: " << name << "-" << server << ", address: 127.0.0.1:1, zone: zone-" << server % 8 << "}\n";
        }
    }
    return text.str();
}

std::int64_t platformCalls(Fleet &fleet)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/control/calls";
    const auto counts = nlohmann::json::parse(fleet.send(fleet.platformAddress(), request).value().body);
    std::int64_t sum = 0;
    for (const auto &count : counts) {
        sum += count.get<std::int64_t>();
    }
    return sum;
}

/// Waits until @p version is active on all entry VMs.
/// @return seconds since @p since.
double waitForRollout(Fleet &fleet, const std::vector<std::string> &names, std::int64_t version, Clock::time_point since)
{
    for (const std::string &name : names) {
        eventually([&] { return fleet.status(name).configurationVersion >= version; });
    }
    return std::chrono::duration<double>(Clock::now() - since).count();
}

/// Resource usage of a fleet that serves no calls.
struct IdleUsage {
    double kilobytesPerSecond = 0; ///< Sent and received by one entry VM, headers included.
    double corePercent = 0; ///< Processor time of one entry VM, in percent of one core.
    double megabytes = 0; ///< Resident memory of one entry VM.
    double platformCallsPerHour = 0; ///< By the whole fleet.
};

IdleUsage measureIdle(Fleet &fleet, const std::vector<std::string> &names)
{
    const double count = static_cast<double>(names.size());
    const std::int64_t bytes = loopbackBytes();
    const std::int64_t calls = platformCalls(fleet);
    double processor = 0;
    for (const std::string &name : names) {
        processor -= processorSeconds(fleet.entryVm(name).pid());
    }
    std::this_thread::sleep_for(MeasuringTime);
    IdleUsage usage;
    const double time = std::chrono::duration<double>(MeasuringTime).count();
    // Counts each byte twice, for the sending and for the receiving process.
    usage.kilobytesPerSecond = 2 * static_cast<double>(loopbackBytes() - bytes) / count / time / 1000;
    usage.platformCallsPerHour = static_cast<double>(platformCalls(fleet) - calls) * 3600 / time;
    for (const std::string &name : names) {
        processor += processorSeconds(fleet.entryVm(name).pid());
        usage.megabytes += residentMegabytes(fleet.entryVm(name).pid()) / count;
    }
    usage.corePercent = 100 * processor / count / time;
    return usage;
}

void measureFleet(int entryVms, int services, int servers)
{
    Fleet fleet(0);
    const auto names = startEntryVms(fleet, entryVms);
    eventually([&] { return fleet.status(names.back()).entryVms.size() == names.size(); });
    const std::string document = makeConfiguration(services, servers);
    const auto start = Clock::now();
    const std::int64_t version = fleet.apply(names.front(), document, 0);
    const double firstRollout = waitForRollout(fleet, names, version, start);
    std::this_thread::sleep_for(SettleTime);
    const IdleUsage usage = measureIdle(fleet, names);
    const auto secondStart = Clock::now();
    const std::int64_t next = fleet.apply(names.front(), document + "\n", version);
    const double rollout = waitForRollout(fleet, names, next, secondStart);
    std::printf("| %d | %d | %d | %.2f | %.2f | %.1f | %.0f | %.2f | %.2f | %zu |\n",
                entryVms,
                services,
                servers,
                usage.kilobytesPerSecond,
                usage.corePercent,
                usage.megabytes,
                usage.platformCallsPerHour,
                firstRollout,
                rollout,
                document.size() / 1000);
    std::fflush(stdout);
}

} // namespace

/// @param argv numbers of entry VMs, services and backend servers for a single measurement; without them, a series is measured.
int main(int argc, char **argv)
{
    std::printf("| entry VMs | services | backend servers | KB/s a node | core %% | MB | platform calls/h | first spread s | spread s | document KB |\n"
                "|---|---|---|---|---|---|---|---|---|---|\n");
    if (argc > 3) {
        measureFleet(std::atoi(argv[1]), std::atoi(argv[2]), std::atoi(argv[3]));
        return 0;
    }
    for (const int entryVms : {2, 4, 8, 16, 32, 64}) {
        measureFleet(entryVms, 3, 38);
    }
    for (const int servers : {100, 300, 1000}) {
        measureFleet(16, 33, servers);
    }
    measureFleet(64, 33, 1000);
    return 0;
}
