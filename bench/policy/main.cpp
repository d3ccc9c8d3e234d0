/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "trial.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Bench;

namespace
{

constexpr int Seeds = 5;
constexpr Duration Length = seconds(20);

std::vector<Deployment> deployments()
{
    return {
        {"seguros", "polizas", 4, 10, 16, milliseconds(8)},
        {"seguros", "liquidacion", 4, 8, 16, milliseconds(8)},
        {"seguros", "reclamos", 4, 20, 16, milliseconds(8)},
        {"zonnedeel", "opbrengst", 3, 7, 15, milliseconds(8)},
        {"zonnedeel", "uitbetaling", 3, 6, 15, milliseconds(8)},
        {"zonnedeel", "afrekening", 3, 15, 15, milliseconds(8)},
    };
}

std::vector<Arrangement> arrangements()
{
    return {
        {"perfect knowledge", RandomPick{}, 200, 0, Duration(0), true, true},
        {"random", RandomPick{}},
        {"round robin", RoundRobinPick{}},
        {"least in flight", LeastInFlightPick{}},
        {"two choices", TwoChoicesPick{}},
        {"report, never fading", LoadReportPick{seconds(1000), 1, 0, 0}},
        {"report, 10 ms", LoadReportPick{milliseconds(10), 1, 0, 0}},
        {"report, 50 ms", LoadReportPick{milliseconds(50), 1, 0, 0}},
        {"report, latency, no near", LoadReportPick{Duration(0), 1, 0, 0}},
        {"report, 3 choices, near 0.5", LoadReportPick{Duration(0), 1, 3, 0.5}},
        {"chosen: report, half latency, near first", LoadReportPick{}},
        {"shared in zone, 20 ms", SharedInFlightPick{}, 200, 0, milliseconds(20), true},
        {"shared by all, 20 ms", SharedInFlightPick{}, 200, 0, milliseconds(20), false},
        {"report, half latency, near 0.3", LoadReportPick{Duration(0), 0.5, 0, 0.3}},
        {"report, whole latency, near 0.8", LoadReportPick{Duration(0), 1, 0, 0.8}},
        {"4 senders, least in flight", LeastInFlightPick{}, 200, 4},
        {"4 senders, report, near first", LoadReportPick{}, 200, 4},
        {"1 sender", LeastInFlightPick{}, 200, 1},
        {"at most 1 at a server, wait here", LoadReportPick{}, 16},
    };
}

/// Median and range of one figure over the seeds.
std::string spreadOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    char text[64];
    std::snprintf(text, sizeof(text), "%.1f (%.1f-%.1f)", values[values.size() / 2], values.front(), values.back());
    return text;
}

struct Row {
    std::vector<Figures> runs{Seeds};

    std::string of(double Figures::*field) const
    {
        std::vector<double> values;
        for (const Figures &figures : runs) {
            values.push_back(figures.*field);
        }
        return spreadOf(values);
    }
};

Row runSeeds(const Deployment &deployment, const Arrangement &arrangement, double load, Fault fault)
{
    Row row;
    std::vector<std::thread> threads;
    for (int seed = 0; seed < Seeds; ++seed) {
        threads.emplace_back([&row, &deployment, &arrangement, load, fault, seed] {
            row.runs[static_cast<std::size_t>(seed)] = runTrial(deployment, arrangement, load, fault, static_cast<std::uint64_t>(seed) + 1, Length);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return row;
}

void printRow(const Deployment &deployment, const Arrangement &arrangement, const char *what, double load, const Row &row)
{
    std::printf("| %s | %s %.0f%% | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
                deployment.service.c_str(),
                what,
                load * 100,
                arrangement.name.c_str(),
                row.of(&Figures::p50).c_str(),
                row.of(&Figures::p99).c_str(),
                row.of(&Figures::p999).c_str(),
                row.of(&Figures::refusedPercent).c_str(),
                row.of(&Figures::errorPercent).c_str(),
                row.of(&Figures::retriesPercent).c_str(),
                row.of(&Figures::spread).c_str(),
                row.of(&Figures::goodPerSecond).c_str());
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string only = argc > 1 ? argv[1] : "polizas";
    const bool isFaults = argc > 2 && std::string(argv[2]) == "faults";
    const std::vector<std::pair<const char *, Fault>> faults = isFaults ? std::vector<std::pair<const char *, Fault>>{{"straggler", Fault::Straggler},
                                                                                                                      {"zone gone", Fault::ZoneGone},
                                                                                                                      {"fail fast", Fault::FailFast},
                                                                                                                      {"surge", Fault::Surge},
                                                                                                                      {"overload", Fault::Overload}}
                                                                        : std::vector<std::pair<const char *, Fault>>{{"steady", Fault::None}};
    std::printf("| service | case | policy | p50 ms | p99 ms | p99.9 ms | refused %% | errors %% | retries %% | busiest/mean "
                "|\n|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const Deployment &deployment : deployments()) {
        if (only != "all" && deployment.service != only) {
            continue;
        }
        for (const auto &[what, fault] : faults) {
            for (const Arrangement &arrangement : arrangements()) {
                const double load = fault == Fault::ZoneGone ? 0.6 : 0.8;
                printRow(deployment, arrangement, what, load, runSeeds(deployment, arrangement, load, fault));
            }
        }
    }
    return 0;
}
