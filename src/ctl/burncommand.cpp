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

/// Sum of the counts of all entry VMs that answered.
struct CollectedBurn {
    FleetBurnCounts counts;
    std::vector<std::string> answered; ///< Names of the entry VMs that answered.
    std::vector<std::string> unresponsive; ///< Names of the entry VMs that did not answer.
    std::vector<std::pair<std::string, std::int64_t>> recentlyStarted; ///< Entry VMs started within the longest window, with the seconds since their start.
};

void addCount(FleetBurnCounts &counts, const Wire::BurnCount &count)
{
    for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
        if (BurnWindows[window] == seconds(count.windowSeconds)) {
            counts[{count.serviceName, count.kind}][window] += {count.total, count.unavailable, count.slow};
        }
    }
}

CollectedBurn collectBurn(const Wire::Status &status)
{
    CollectedBurn collected;
    for (const Wire::EntryVmStatus &vm : status.entryVms) {
        // A dead entry VM is included because it may have counted requests: the report states that its counts are missing.
        if (vm.state == "left") {
            continue;
        }
        try {
            Wire::BurnCounts reported;
            Admin admin(vm.adminAddress, AdminConnectTimeoutMs, AdminCallTimeoutMs);
            admin->burn(reported);
            for (const Wire::BurnCount &count : reported.counts) {
                addCount(collected.counts, count);
            }
            collected.answered.push_back(vm.name);
            const auto longestSeconds = std::chrono::floor<seconds>(BurnWindows.back()).count();
            if (reported.countedSeconds < longestSeconds) {
                collected.recentlyStarted.emplace_back(vm.name, reported.countedSeconds);
            }
        } catch (const apache::thrift::TException &) {
            collected.unresponsive.push_back(vm.name);
        }
    }
    return collected;
}

void printBurn(const Session &session, const std::vector<BurnLine> &lines, const CollectedBurn &collected)
{
    Table table({"SERVICE", "KIND", "PROMISE", "OBJECTIVE %", "BURN 5 MIN", "BURN 1 H", "BURN 6 H", "REQUESTS 6 H", "ALERT"});
    for (const BurnLine &line : lines) {
        table.add({line.service,
                   line.kind,
                   std::string(toString(line.indicator)),
                   formatFixed(line.objectivePercent, 3),
                   formatFixed(line.rates[0], 2),
                   formatFixed(line.rates[1], 2),
                   formatFixed(line.rates[2], 2),
                   std::to_string(line.requests),
                   std::string(toString(line.alert))});
    }
    if (!collected.unresponsive.empty()) {
        session.out << "PARTIAL: counts are missing of entry VMs that did not answer:";
        for (const std::string &name : collected.unresponsive) {
            session.out << " " << name;
        }
        session.out << "\n";
    }
    if (!collected.recentlyStarted.empty()) {
        session.out << "counting for less than 6 hours (what their predecessors counted is gone):";
        for (const auto &[name, counted] : collected.recentlyStarted) {
            session.out << " " << name << " (" << counted << " s)";
        }
        session.out << "\n";
    }
    session.out << "counted on " << collected.answered.size() << " entry VMs\n" << table.toString();
}

Json burnJson(const std::vector<BurnLine> &lines, const CollectedBurn &collected)
{
    Json recentlyStarted = Json::object();
    for (const auto &[name, counted] : collected.recentlyStarted) {
        recentlyStarted[name] = counted;
    }
    Json json = {{"whole", collected.unresponsive.empty()},
                 {"answered", collected.answered},
                 {"not_answered", collected.unresponsive},
                 {"counting_for_less_than_6h_seconds", recentlyStarted},
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
    const CollectedBurn collected = collectBurn(status);
    const auto lines = burnLines(std::get<Configuration>(parsed), collected.counts);
    if (session.options.isJson) {
        session.print(burnJson(lines, collected));
    } else {
        printBurn(session, lines, collected);
    }
    if (!session.options.plot.empty()) {
        std::ofstream(session.options.plot) << burnPlot(lines, collected.unresponsive.empty());
    }
    return collected.unresponsive.empty() ? CtlExit::Done : CtlExit::Incomplete;
}

} // namespace Cloverbarrow
