/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "noisytrial.h"
#include "plot.h"
#include "trial.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Bench;

namespace
{

constexpr std::size_t Seeds = 5;
constexpr Duration Length = seconds(20);
constexpr double UsualLoad = 0.8;
const std::string Perfect = "perfect knowledge";
const std::string Chosen = "chosen: report, half latency, near first";

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

Arrangement arrangement(const std::string &name, PickPolicy policy)
{
    Arrangement made;
    made.name = name;
    made.policy = policy;
    return made;
}

Arrangement withSenders(Arrangement made, int senders)
{
    made.dispatchers = senders;
    return made;
}

Arrangement withSharing(Arrangement made, Duration every, bool isZoneOnly)
{
    made.shareEvery = every;
    made.sharesZoneOnly = isZoneOnly;
    return made;
}

Arrangement withHedges(Arrangement made, int percent)
{
    made.hedgePercent = percent;
    made.name += ", " + std::to_string(percent) + "% hedged";
    return made;
}

Arrangement withCap(Arrangement made, int connections)
{
    made.connectionsPerServer = connections;
    return made;
}

Arrangement perfect()
{
    Arrangement made = arrangement(Perfect, RandomPick{});
    made.isPerfect = true;
    return made;
}

Arrangement chosen()
{
    return arrangement(Chosen, LoadReportPick{});
}

std::vector<Arrangement> arrangements()
{
    return {
        perfect(),
        arrangement("random", RandomPick{}),
        arrangement("round robin", RoundRobinPick{}),
        arrangement("least in flight", LeastInFlightPick{}),
        arrangement("two choices", TwoChoicesPick{}),
        arrangement("report, never fading", LoadReportPick{seconds(1000), 1, 0, 0}),
        arrangement("report, 10 ms", LoadReportPick{milliseconds(10), 1, 0, 0}),
        arrangement("report, 50 ms", LoadReportPick{milliseconds(50), 1, 0, 0}),
        arrangement("report, half latency", LoadReportPick{Duration(0), 0.5, 0, 0}),
        arrangement("report, 3 random choices", LoadReportPick{Duration(0), 0.5, 3, 0.8}),
        chosen(),
        withHedges(chosen(), 2),
        withHedges(chosen(), 5),
        withHedges(chosen(), 10),
        withSharing(arrangement("shared in zone, 20 ms", SharedInFlightPick{}), milliseconds(20), true),
        withSharing(arrangement("shared by all, 20 ms", SharedInFlightPick{}), milliseconds(20), false),
        withCap(arrangement("at most 1 at a server, wait here", LoadReportPick{}), 16),
        withSenders(arrangement("4 senders, least in flight", LeastInFlightPick{}), 4),
        withSenders(arrangement("4 senders, report, near first", LoadReportPick{}), 4),
        withSenders(arrangement("1 sender", LeastInFlightPick{}), 1),
    };
}

std::vector<Arrangement> shortList()
{
    return {perfect(), arrangement("least in flight", LeastInFlightPick{}), chosen(), withHedges(chosen(), 5)};
}

struct Case {
    std::string name;
    Fault fault = Fault::None;
    double load = UsualLoad;
};

/// Median and range of one figure over the seeds.
struct Spread {
    double median = 0;
    double lowest = 0;
    double highest = 0;
};

class Row
{
public:
    Row(const Deployment &deployment, const Arrangement &arrangement, const Case &what)
        : runs_(Seeds)
    {
        std::vector<std::thread> threads;
        threads.reserve(Seeds);
        for (std::size_t seed = 0; seed < Seeds; ++seed) {
            threads.emplace_back(
                [this, &deployment, &arrangement, &what, seed] { runs_[seed] = runTrial(deployment, arrangement, what.load, what.fault, seed + 1, Length); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

    Spread of(double Figures::*field) const
    {
        std::vector<double> values;
        values.reserve(Seeds);
        for (const Figures &figures : runs_) {
            values.push_back(figures.*field);
        }
        std::sort(values.begin(), values.end());
        return {values[Seeds / 2], values.front(), values.back()};
    }

private:
    std::vector<Figures> runs_;
};

void print(const Spread &spread, int digits)
{
    std::printf(" %.*f (%.*f-%.*f) |", digits, spread.median, digits, spread.lowest, digits, spread.highest);
}

void printHead()
{
    std::printf("| service | case | policy | p50 ms | p99 ms | p99.9 ms | refused %% | errors %% | retries %% | busiest/mean | good/s |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|\n");
}

double printRow(const Deployment &deployment, const Arrangement &arrangement, const Case &what)
{
    const Row row(deployment, arrangement, what);
    std::printf("| %s | %s at %.0f%% | %s |", deployment.service.c_str(), what.name.c_str(), what.load * 100, arrangement.name.c_str());
    for (const auto field : {&Figures::p50, &Figures::p99, &Figures::p999}) {
        print(row.of(field), 1);
    }
    for (const auto field : {&Figures::refusedPercent, &Figures::errorPercent, &Figures::retriesPercent, &Figures::spread}) {
        print(row.of(field), 2);
    }
    print(row.of(&Figures::goodPerSecond), 0);
    std::printf("\n");
    std::fflush(stdout);
    return row.of(&Figures::p99).median;
}

void compareAtUsualLoad(const char *plotPath)
{
    printHead();
    PlotValues values;
    std::vector<std::string> services;
    for (const Deployment &deployment : deployments()) {
        services.push_back(deployment.service);
        for (const Arrangement &arrangement : arrangements()) {
            values[deployment.service][arrangement.name] = printRow(deployment, arrangement, {"steady"});
        }
    }
    if (plotPath) {
        writePlot(plotPath, services, {Perfect, "random", "two choices", "least in flight", "report, half latency", Chosen}, values);
    }
}

void compareOtherLoads()
{
    printHead();
    for (const Deployment &deployment : deployments()) {
        for (const double load : {0.5, 0.7, 0.9}) {
            for (const Arrangement &arrangement : shortList()) {
                printRow(deployment, arrangement, {"steady", Fault::None, load});
            }
        }
    }
}

void compareFaults()
{
    printHead();
    const std::vector<Case> cases = {
        {"straggler", Fault::Straggler, UsualLoad},
        {"zone gone", Fault::ZoneGone, 0.6},
        {"fail fast", Fault::FailFast, UsualLoad},
        {"surge to 120%, 1 s", Fault::Surge, UsualLoad},
        {"120% from then on", Fault::Overload, UsualLoad},
    };
    for (const Deployment &deployment : deployments()) {
        for (const Case &what : cases) {
            for (const Arrangement &arrangement : shortList()) {
                printRow(deployment, arrangement, what);
            }
        }
    }
}

/// Does the choice hold for other services than those of 8 ms?
void compareServiceTimes()
{
    printHead();
    for (const int milliseconds : {1, 3, 30, 100}) {
        Deployment deployment = deployments().front();
        deployment.meanService = std::chrono::milliseconds(milliseconds);
        deployment.service += " with " + std::to_string(milliseconds) + " ms";
        for (const Arrangement &arrangement : shortList()) {
            printRow(deployment, arrangement, {"steady"});
        }
    }
}

std::vector<NoisyDeployment> noisyDeployments()
{
    NoisyDeployment polizas;
    polizas.service = "polizas";
    NoisyDeployment reclamos;
    reclamos.service = "reclamos";
    reclamos.backends = 21;
    reclamos.meanWork = milliseconds(220);
    reclamos.objective = milliseconds(600);
    reclamos.deadline = seconds(4);
    reclamos.timeout = seconds(2);
    NoisyDeployment opbrengst;
    opbrengst.service = "opbrengst";
    opbrengst.zones = 3;
    opbrengst.entryVms = 13;
    opbrengst.backends = 7;
    opbrengst.meanWork = milliseconds(60);
    opbrengst.objective = milliseconds(200);
    opbrengst.deadline = milliseconds(800);
    opbrengst.timeout = milliseconds(400);
    opbrengst.callerRetries = 1;
    opbrengst.shape = {3, 12, 0.35, 5, milliseconds(150), 1};
    return {polizas, reclamos, opbrengst};
}

/// The median over the seeds of each figure.
NoisyFigures medianOf(const std::vector<NoisyFigures> &runs)
{
    NoisyFigures median = runs.front();
    for (const auto field : {&NoisyFigures::p50,
                             &NoisyFigures::p99,
                             &NoisyFigures::inObjective,
                             &NoisyFigures::served,
                             &NoisyFigures::refusals,
                             &NoisyFigures::secondAttempts,
                             &NoisyFigures::probes}) {
        std::vector<double> values;
        values.reserve(runs.size());
        for (const NoisyFigures &run : runs) {
            values.push_back(run.*field);
        }
        std::sort(values.begin(), values.end());
        median.*field = values[values.size() / 2];
    }
    return median;
}

/// Servers and callers as users measured them.
void compareWithNoise()
{
    constexpr Duration NoisyLength = seconds(60);
    const std::vector<std::pair<NoisyPolicy, const char *>> policies = {
        {NoisyPolicy::Perfect, "perfect knowledge"},
        {NoisyPolicy::Random, "random"},
        {NoisyPolicy::Reports, "reports of answers"},
        {NoisyPolicy::Probes, "probes"},
        {NoisyPolicy::ProbesAndHedges, "probes and second attempts"},
    };
    std::printf(
        "| service | busy slots %% | policy | p50 ms | p99 ms | p99 / perfect | in objective %% | served %% | refusals %% | second attempts %% | probes a "
        "request |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const NoisyDeployment &deployment : noisyDeployments()) {
        for (const double load : {0.22, 0.4, 0.6, 0.9, 1.2}) {
            double perfectP99 = 1;
            for (const auto &[policy, name] : policies) {
                std::vector<NoisyFigures> runs;
                for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
                    runs.push_back(runNoisyTrial(deployment, policy, load, seed, NoisyLength));
                }
                const NoisyFigures all = medianOf(runs);
                perfectP99 = policy == NoisyPolicy::Perfect ? all.p99 : perfectP99;
                std::printf("| %s | %.0f | %s | %.0f | %.0f | %.2f | %.1f | %.1f | %.1f | %.1f | %.1f |\n",
                            deployment.service.c_str(),
                            load * 100,
                            name,
                            all.p50,
                            all.p99,
                            all.p99 / perfectP99,
                            all.inObjective,
                            all.served,
                            all.refusals,
                            all.secondAttempts,
                            all.probes);
                std::fflush(stdout);
            }
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string mode = argc > 1 ? argv[1] : "steady";
    if (mode == "steady") {
        compareAtUsualLoad(argc > 2 ? argv[2] : nullptr);
    } else if (mode == "loads") {
        compareOtherLoads();
    } else if (mode == "faults") {
        compareFaults();
    } else if (mode == "times") {
        compareServiceTimes();
    } else if (mode == "noise") {
        compareWithNoise();
    } else {
        std::fprintf(stderr, "policy-bench [steady [PLOT.svg] | loads | faults | times | noise]\n");
        return 2;
    }
    return 0;
}
