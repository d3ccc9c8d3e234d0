/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/failingservers.h"
#include "core/servers/backendpool.h"
#include "net/relaymessages.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

constexpr TimePoint Start(seconds(1000));
using Names = std::vector<std::string>;

OutcomeReport failures(const std::string &server, int failed, int goodElsewhere)
{
    return {{{server, failed, 0}}, goodElsewhere};
}

} // namespace

TEST_CASE("A server at which requests of two entry VMs fail gets none of the zone", "[lying][zone]")
{
    FailingServers zone;
    zone.take(Start, "vm-1", failures("liar", 1, 4));
    CHECK(zone.findings(Start).failing.empty());
    CHECK(zone.findings(Start).suspected == Names{"liar"});
    zone.take(Start, "vm-2", failures("liar", 1, 4));
    CHECK(zone.findings(Start).failing == Names{"liar"});
    CHECK(zone.takeNewVerdicts() == Names{"liar"});
    CHECK(zone.takeNewVerdicts().empty());
    SECTION("for a while that grows, then from the next failure on")
    {
        CHECK(zone.findings(Start + seconds(9)).failing.empty());
        zone.take(Start + seconds(9), "vm-1", failures("liar", 1, 4));
        CHECK(zone.findings(Start + seconds(24)).failing == Names{"liar"});
        CHECK(zone.findings(Start + seconds(26)).failing.empty());
    }
}

TEST_CASE("One entry VM alone, or one whose requests fail everywhere, keeps no server out", "[lying][zone]")
{
    FailingServers zone;
    SECTION("alone, however often it says so")
    {
        zone.take(Start, "vm-1", failures("b1", 9, 50));
        CHECK(zone.findings(Start).failing.empty());
    }
    SECTION("with a bad link of its own")
    {
        for (int number = 1; number <= 6; ++number) {
            zone.take(Start, "ill", {{{"b" + std::to_string(number), 2, 0}}, 0});
        }
        zone.take(Start, "vm-2", failures("b6", 1, 10));
        CHECK(zone.findings(Start).failing.empty());
    }
}

TEST_CASE("A server that loses some answers is kept, since it answers more", "[lying][zone]")
{
    FailingServers zone;
    zone.take(Start, "vm-1", failures("b1", 1, 4));
    zone.take(Start, "vm-3", {{{"b1", 0, 2}}, 5});
    zone.take(Start, "vm-2", {{{"b1", 2, 1}}, 5});
    CHECK(zone.findings(Start).failing.empty());
}

TEST_CASE("A server that was found to fail in another zone is kept out from the first failure on", "[lying][zone]")
{
    FailingServers zone;
    zone.heardFromZone(Start, "bog-b", {"liar", "b1"});
    CHECK(zone.findings(Start).failing.empty());
    zone.take(Start, "vm-1", failures("liar", 1, 4));
    CHECK(zone.findings(Start).failing == Names{"liar"});
    // What only another zone has found is not told on.
    CHECK(zone.takeNewVerdicts() == Names{"liar"});
}

TEST_CASE("A server that answers after it was kept out begins anew", "[lying][zone]")
{
    FailingServers zone;
    zone.take(Start, "vm-1", failures("b1", 1, 4));
    zone.take(Start, "vm-2", failures("b1", 1, 4));
    zone.take(Start + seconds(9), "vm-3", {{{"b1", 0, 1}}, 5});
    zone.take(Start + seconds(14), "vm-1", failures("b1", 1, 4));
    CHECK(zone.findings(Start + seconds(14)).failing.empty());
}

TEST_CASE("What was told long ago counts no more", "[lying][zone]")
{
    FailingServers zone;
    zone.take(Start, "vm-1", failures("b1", 1, 4));
    zone.take(Start + seconds(5), "vm-2", failures("b1", 1, 4));
    CHECK(zone.findings(Start + seconds(5)).failing.empty());
}

TEST_CASE("At most a third of a service's servers is kept out by what the zone tells", "[lying][zone]")
{
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    Service service;
    ZoneFindings findings;
    for (int number = 1; number <= 9; ++number) {
        const std::string name = "b" + std::to_string(number);
        service.backendServers.push_back({name, "127.0.0.1:9001", "bog-a", {}, 2});
        findings.failing.push_back(name);
    }
    pool.configure(service, Start);
    CHECK(pool.openServers(Start, {}).size() == 9);
    pool.setFindings(findings);
    CHECK(pool.openServers(Start, {}).size() == 6);
    pool.configure(service, Start);
    CHECK(pool.openServers(Start, {}).size() == 6);
    pool.setFindings({});
    CHECK(pool.openServers(Start, {}).size() == 9);
}

TEST_CASE("Outcomes pass between entry VMs as they were counted, and absurd ones are left out", "[lying][relay]")
{
    OutcomeTally tally;
    tally.note("b1", false, true);
    tally.note("b1", true, true);
    tally.note("b2", true, false);
    const OutcomeReport report = tally.take();
    CHECK(report == OutcomeReport{{{"b1", 1, 1}}, 2});
    CHECK(tally.take() == OutcomeReport{});
    CHECK(decodeOutcomes(encodeOutcomes(report)) == report);
    CHECK(decodeOutcomes("") == OutcomeReport{});
    CHECK_THROWS(decodeOutcomes(R"({"good":-1,"servers":[]})"));
    CHECK_THROWS(decodeOutcomes(R"({"good":1,"servers":[{"server":"b","failed":99999999,"good":0}]})"));
    CHECK_THROWS(decodeOutcomes(R"({"good":1,"servers":[{"server":7,"failed":1,"good":0}]})"));
    CHECK_THROWS(decodeOutcomes("[]"));
}
