/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/failingservers.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// What was told longer ago says little of a server now.
constexpr Duration NotesLast = seconds(4);
// One entry VM alone may be mistaken, by its link or by what it sends.
constexpr std::size_t ReportersNeeded = 2;
// A server that answers more than one request in so many is better than none: some of its requests fail, as with answers that are lost.
constexpr int FailuresPerGood = 4;
// When a verdict ends all entry VMs try the server again, some four before the next verdict is told; servers that answer probes well and reset requests did
// so for 6 s. With 4 s six of them got 19 to 41 payouts each in such a time, with each entry VM alone 44 to 82.
constexpr Duration FirstVerdict = seconds(8);
constexpr int MostDoublings = 2;
// A server of which nothing more was heard for so long after a verdict begins anew.
constexpr Duration VerdictsForgotten = seconds(60);
// Half of what an entry VM's requests have shown is forgotten in this time.
constexpr double ReporterHalfLifeSeconds = 4;
// Fewer failures than these are no sign of a bad link.
constexpr double FewFailures = 3;
constexpr std::size_t MostNotes = 64;
constexpr std::size_t MostServersWatched = 256;

} // namespace

void FailingServers::heardFromZone(TimePoint now, const std::string &relay, const std::vector<std::string> &servers)
{
    forget(now);
    for (const std::string &name : servers) {
        if (servers_.size() < MostServersWatched || servers_.contains(name)) {
            // As much as one entry VM's word: with the first failure here the server is found to fail in this zone too.
            servers_[name].notes.push_back({now, relay, 1, 0});
        }
    }
}

std::vector<std::string> FailingServers::takeNewVerdicts()
{
    return std::exchange(newVerdicts_, {});
}

void FailingServers::take(TimePoint now, const std::string &reporter, const OutcomeReport &report)
{
    forget(now);
    Sums &sums = reporters_[reporter];
    const double kept = std::exp2(-std::chrono::duration<double>(now - sums.at).count() / ReporterHalfLifeSeconds);
    sums = {sums.failed * kept, sums.good * kept + report.good, now};
    for (const ServerOutcome &outcome : report.servers) {
        sums.failed += outcome.failed;
    }
    for (const ServerOutcome &outcome : report.servers) {
        const auto found = servers_.find(outcome.server);
        if (found == servers_.end() && (outcome.failed == 0 || servers_.size() >= MostServersWatched)) {
            continue;
        }
        Server &server = servers_[outcome.server];
        server.notes.push_back({now, reporter, outcome.failed, outcome.good});
        if (server.notes.size() > MostNotes) {
            server.notes.erase(server.notes.begin());
        }
        judge(now, outcome.server, server);
    }
}

ZoneFindings FailingServers::findings(TimePoint now)
{
    forget(now);
    ZoneFindings found;
    for (const auto &[name, server] : servers_) {
        if (now < server.failingUntil) {
            found.failing.push_back(name);
        } else if (!server.notes.empty()) {
            found.suspected.push_back(name);
        }
    }
    return found;
}

void FailingServers::judge(TimePoint now, const std::string &name, Server &server)
{
    if (now < server.failingUntil) {
        return;
    }
    int failed = 0;
    int good = 0;
    std::set<std::string> reporters;
    for (const Note &note : server.notes) {
        good += note.good;
        if (note.failed > 0 && !isReporterIll(note.reporter)) {
            failed += note.failed;
            reporters.insert(note.reporter);
        }
    }
    if (good > 0 && failed == 0) {
        server.verdicts = 0;
    }
    // Soon after a verdict the next failure shows that the server still fails.
    const std::size_t needed = server.verdicts > 0 ? 1 : ReportersNeeded;
    if (reporters.size() < needed || failed < good * FailuresPerGood) {
        return;
    }
    server.failingUntil = now + FirstVerdict * (1 << std::min(server.verdicts, MostDoublings));
    ++server.verdicts;
    newVerdicts_.push_back(name);
    // What led to this verdict does not lead to the next: the server is tried again in between.
    server.notes.clear();
}

bool FailingServers::isReporterIll(const std::string &reporter) const
{
    const auto found = reporters_.find(reporter);
    return found != reporters_.end() && found->second.failed > FewFailures && found->second.failed > found->second.good;
}

void FailingServers::forget(TimePoint now)
{
    for (auto &[name, server] : servers_) {
        std::erase_if(server.notes, [now](const Note &note) { return now - note.at > NotesLast; });
    }
    std::erase_if(servers_, [now](const auto &item) {
        const Server &server = item.second;
        return server.notes.empty() && (server.verdicts == 0 || now - server.failingUntil > VerdictsForgotten);
    });
    std::erase_if(reporters_, [now](const auto &item) { return now - item.second.at > VerdictsForgotten; });
}

} // namespace Cloverbarrow
