/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "ctl/burncommand.h"

#include "core/burn/burnreport.h"
#include "core/intent/configurationparser.h"
#include "ctl/burnplot.h"
#include "ctl/output.h"
#include "ctl/session.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace Cloverbarrow
{

namespace
{

/// Counts of the entry VMs that answered, and the names of those that did not.
struct GatheredBurn {
    FleetBurnCounts counts;
    std::vector<std::string> answered;
    std::vector<std::string> silent;
    std::vector<std::pair<std::string, std::int64_t>> young; ///< Started within the longest window, and seconds since.
};

void addCount(FleetBurnCounts &counts, const Wire::BurnCount &count)
{
    for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
        if (BurnWindows[window] == seconds(count.windowSeconds)) {
            counts[{count.serviceName, count.kind}][window] += {count.total, count.unavailable, count.slow};
        }
    }
}

GatheredBurn gatherBurn(const Wire::Status &status)
{
    GatheredBurn gathered;
    for (const Wire::EntryVmStatus &vm : status.entryVms) {
        // One that is dead may have counted too: the report says that its counts are missing.
        if (vm.state == "left") {
            continue;
        }
        try {
            Wire::BurnCounts told;
            Admin admin(vm.adminAddress, AdminConnectTimeoutMs, AdminCallTimeoutMs);
            admin->burn(told);
            for (const Wire::BurnCount &count : told.counts) {
                addCount(gathered.counts, count);
            }
            gathered.answered.push_back(vm.name);
            const auto longest = std::chrono::floor<seconds>(BurnWindows.back()).count();
            if (told.countedSeconds < longest) {
                gathered.young.emplace_back(vm.name, told.countedSeconds);
            }
        } catch (const apache::thrift::TException &) {
            gathered.silent.push_back(vm.name);
        }
    }
    return gathered;
}

void printBurn(const Session &session, const std::vector<BurnLine> &lines, const GatheredBurn &gathered)
{
    Table table({"SERVICE", "KIND", "PROMISE", "OBJECTIVE %", "BURN 5 MIN", "BURN 1 H", "BURN 6 H", "REQUESTS 6 H", "ALERT"});
    for (const BurnLine &line : lines) {
        table.add({line.service,
                   line.kind,
                   std::string(toString(line.indicator)),
                   fixed(line.objectivePercent, 3),
                   fixed(line.rates[0], 2),
                   fixed(line.rates[1], 2),
                   fixed(line.rates[2], 2),
                   std::to_string(line.requests),
                   std::string(toString(line.alert))});
    }
    if (!gathered.silent.empty()) {
        session.out << "PARTIAL: counts are missing of entry VMs that did not answer:";
        for (const std::string &name : gathered.silent) {
            session.out << " " << name;
        }
        session.out << "\n";
    }
    if (!gathered.young.empty()) {
        session.out << "counting for less than 6 hours (what their predecessors counted is gone):";
        for (const auto &[name, counted] : gathered.young) {
            session.out << " " << name << " (" << counted << " s)";
        }
        session.out << "\n";
    }
    session.out << "counted on " << gathered.answered.size() << " entry VMs\n" << table.toString();
}

Json burnJson(const std::vector<BurnLine> &lines, const GatheredBurn &gathered)
{
    Json young = Json::object();
    for (const auto &[name, counted] : gathered.young) {
        young[name] = counted;
    }
    Json json = {{"whole", gathered.silent.empty()},
                 {"answered", gathered.answered},
                 {"not_answered", gathered.silent},
                 {"counting_for_less_than_6h_seconds", young},
                 {"lines", Json::array()}};
    for (const BurnLine &line : lines) {
        json["lines"].push_back({{"service", line.service},
                                 {"kind", line.kind},
                                 {"promise", toString(line.indicator)},
                                 {"objective_percent", line.objectivePercent},
                                 {"burn_5m", line.rates[0]},
                                 {"burn_1h", line.rates[1]},
                                 {"burn_6h", line.rates[2]},
                                 {"requests_6h", line.requests},
                                 {"alert", toString(line.alert)}});
    }
    return json;
}

} // namespace

CtlExit reportBurn(const Session &session)
{
    if (session.arguments[0] != "burn") {
        throw std::invalid_argument("the only report is burn");
    }
    Admin admin = session.connect();
    Wire::AcceptedIntent intent;
    Wire::Status status;
    admin->get(intent);
    admin->status(status);
    const auto parsed = parseConfiguration(intent.document);
    const GatheredBurn gathered = gatherBurn(status);
    const auto lines = burnLines(std::get<Configuration>(parsed), gathered.counts);
    if (session.options.isJson) {
        session.print(burnJson(lines, gathered));
    } else {
        printBurn(session, lines, gathered);
    }
    if (!session.options.plot.empty()) {
        std::ofstream(session.options.plot) << burnPlot(lines, gathered.silent.empty());
    }
    return gathered.silent.empty() ? CtlExit::Done : CtlExit::Incomplete;
}

} // namespace Cloverbarrow
