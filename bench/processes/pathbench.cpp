/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/address.h"
#include "fleet.h"
#include "procstat.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "rawcaller.h"

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

using Clock = std::chrono::steady_clock;

/// Measurements of one or more callers.
struct CallResults {
    double seconds = 0;
    std::size_t calls = 0;
    std::size_t wrong = 0; ///< Answers that were missing or belonged to another call.
    std::vector<double> latenciesMs; ///< In ascending order once the run is over.

    double quantile(double fraction) const
    {
        return latenciesMs.empty() ? 0 : latenciesMs[static_cast<std::size_t>(fraction * static_cast<double>(latenciesMs.size() - 1))];
    }
};

void runCaller(const std::string &address, int caller, int count, const std::string &body, CallResults &results)
{
    RawCaller connection(address);
    results.latenciesMs.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        const std::string id = std::to_string(caller) + "-" + std::to_string(number);
        const auto start = Clock::now();
        std::string request = body.empty() ? "GET /state/" + id : "POST /notes";
        request.append(" HTTP/1.1\r\nHost: liquidacion.example\r\nX-Id: ").append(id).append("\r\n");
        request.append(body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n").append("\r\n").append(body);
        connection.send(request);
        std::string expected = "id=";
        expected.append(id).append(" body=").append(body).append("\n");
        const std::string answer = connection.readUntil(expected);
        results.latenciesMs.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
        ++results.calls;
        results.wrong += answer.find(expected) == std::string::npos || RawCaller::occurrences(answer, "HTTP/1.1 ") != 1 ? 1 : 0;
    }
}

CallResults runCallers(const std::vector<std::string> &addresses, int callers, int callsEach, const std::string &body)
{
    std::vector<CallResults> resultsByCaller(static_cast<std::size_t>(callers));
    std::vector<std::thread> threads;
    const auto start = Clock::now();
    for (int caller = 0; caller < callers; ++caller) {
        const auto index = static_cast<std::size_t>(caller);
        threads.emplace_back([&, caller, index] { runCaller(addresses[index % addresses.size()], caller, callsEach, body, resultsByCaller[index]); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CallResults total;
    total.seconds = std::chrono::duration<double>(Clock::now() - start).count();
    for (const CallResults &results : resultsByCaller) {
        total.calls += results.calls;
        total.wrong += results.wrong;
        total.latenciesMs.insert(total.latenciesMs.end(), results.latenciesMs.begin(), results.latenciesMs.end());
    }
    std::sort(total.latenciesMs.begin(), total.latenciesMs.end());
    return total;
}

void print(const char *label, const CallResults &results, double cpuUsPerCall)
{
    std::printf("| %s | %zu | %zu | %.0f | %.3f | %.3f | %.3f | %.1f |\n",
                label,
                results.calls,
                results.wrong,
                static_cast<double>(results.calls) / results.seconds,
                results.quantile(0.5),
                results.quantile(0.99),
                results.quantile(0.999),
                cpuUsPerCall);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const int callsEach = argc > 1 ? std::atoi(argv[1]) : 4000;
    const std::string body(argc > 2 ? static_cast<std::size_t>(std::atoi(argv[2])) : 0, 'b');
    constexpr int Backends = 6;
    constexpr int Rounds = 3;
    for (const bool echoesTag : {true, false}) {
        Fleet fleet(Backends);
        fleet.startEntryVm("entry-1");
        std::string document = fleet.document();
        if (!echoesTag) {
            document.replace(document.find("tag: true"), 9, "tag: false");
        }
        fleet.apply("entry-1", document, 0);
        eventually([&] { return fleet.isReady("entry-1"); });
        std::vector<std::string> direct;
        for (int number = 1; number <= Backends; ++number) {
            fleet.setBehaviour(number, R"({"service_us":1000})");
            direct.push_back(fleet.backendAddress(number));
        }
        std::printf("\n%s\n\n",
                    echoesTag ? "Backend servers echo the exchange tag (connections are used again)" : "They do not (a new connection for each call)");
        std::printf("| what | calls | wrong | calls/s | p50 ms | p99 ms | p99.9 ms | entry VM processor us/call |\n|---|---|---|---|---|---|---|---|\n");
        const pid_t pid = fleet.entryVm("entry-1").pid();
        for (const int callers : {4, 12}) {
            for (int round = 0; round < Rounds; ++round) {
                const CallResults directResults = runCallers(direct, callers, callsEach, body);
                print(("direct, " + std::to_string(callers) + " callers").c_str(), directResults, 0);
                const double before = processorSeconds(pid);
                const CallResults entryVmResults = runCallers({fleet.address("entry-1", "callers")}, callers, callsEach, body);
                const double processorTime = processorSeconds(pid) - before;
                print(("through entry VM, " + std::to_string(callers) + " callers").c_str(),
                      entryVmResults,
                      processorTime * 1e6 / static_cast<double>(entryVmResults.calls));
            }
        }
        for (int number = 1; number <= Backends; ++number) {
            fleet.setBehaviour(number, R"({"service_us":0})");
        }
        const double before = processorSeconds(pid);
        const CallResults saturatedResults = runCallers({fleet.address("entry-1", "callers")}, 48, callsEach, body);
        print("through entry VM, 48 callers, no service time",
              saturatedResults,
              (processorSeconds(pid) - before) * 1e6 / static_cast<double>(saturatedResults.calls));
        std::printf("\nResident memory of the entry VM: %.1f MB after all runs.\n", residentMegabytes(pid));
    }
    return 0;
}
