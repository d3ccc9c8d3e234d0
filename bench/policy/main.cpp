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
        {"perfect knowledge", RandomPick{}, 200, 0, true},
        {"random", RandomPick{}, 200, 0, false},
        {"round robin", RoundRobinPick{}, 200, 0, false},
        {"least in flight", LeastInFlightPick{}, 200, 0, false},
        {"two choices", TwoChoicesPick{}, 200, 0, false},
        {"load report 20 ms", LoadReportPick{milliseconds(20), 0}, 200, 0, false},
        {"load report 50 ms", LoadReportPick{milliseconds(50), 0}, 200, 0, false},
        {"load report 200 ms", LoadReportPick{milliseconds(200), 0}, 200, 0, false},
        {"load report, 3 choices", LoadReportPick{milliseconds(50), 3}, 200, 0, false},
        {"4 dispatchers", LeastInFlightPick{}, 200, 4, false},
        {"1 dispatcher", LeastInFlightPick{}, 200, 1, false},
        {"1 dispatcher, queue there", LeastInFlightPick{}, 3, 1, false},
        {"1 dispatcher, queue there +1", LeastInFlightPick{}, 4, 1, false},
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
    std::printf("| %s | %s %.0f%% | %s | %s | %s | %s | %s | %s | %s | %s |\n",
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
                row.of(&Figures::spread).c_str());
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string only = argc > 1 ? argv[1] : "polizas";
    const std::vector<std::pair<const char *, Fault>> faults = {{"steady", Fault::None}};
    std::printf("| service | case | policy | p50 ms | p99 ms | p99.9 ms | refused %% | errors %% | retries %% | busiest/mean |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const Deployment &deployment : deployments()) {
        if (only != "all" && deployment.service != only) {
            continue;
        }
        for (const auto &[what, fault] : faults) {
            for (const Arrangement &arrangement : arrangements()) {
                printRow(deployment, arrangement, what, 0.8, runSeeds(deployment, arrangement, 0.8, fault));
            }
        }
    }
    return 0;
}
