/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/reachabilitymonitor.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

const TimePoint Start = TimePoint(seconds(100));
constexpr std::size_t Servers = 10;

void failAt(ReachabilityMonitor &monitor, int servers, bool usedNewConnection)
{
    for (int server = 0; server < servers; ++server) {
        monitor.contactFailed(Start, "i-" + std::to_string(server), usedNewConnection);
    }
}

} // namespace

TEST_CASE("An entry VM is partitioned when several servers fail and none answers", "[reachability]")
{
    ReachabilityMonitor monitor;
    failAt(monitor, 3, false);
    CHECK_FALSE(monitor.isPartitioned(Start, Servers));
    SECTION("with a fourth server")
    {
        failAt(monitor, 4, false);
        CHECK(monitor.isPartitioned(Start, Servers));
        CHECK_FALSE(monitor.rejectsNewConnections(Start, Servers));
    }
    SECTION("not with repeated failures of one server")
    {
        failAt(monitor, 1, false);
        failAt(monitor, 1, false);
        CHECK_FALSE(monitor.isPartitioned(Start, Servers));
    }
    SECTION("not if a server answers in between")
    {
        monitor.contactSucceeded(false);
        monitor.contactFailed(Start, "i-3", false);
        CHECK_FALSE(monitor.isPartitioned(Start, Servers));
    }
    SECTION("with all servers of a small service")
    {
        CHECK(monitor.isPartitioned(Start, 3));
    }
    SECTION("until failures have expired")
    {
        failAt(monitor, 4, false);
        CHECK_FALSE(monitor.isPartitioned(Start + ReachabilityMonitor::FailureLifetime + milliseconds(1), Servers));
    }
}

TEST_CASE("Answers over open connections do not show that new connections can be opened", "[reachability]")
{
    ReachabilityMonitor monitor;
    failAt(monitor, 4, true);
    monitor.contactSucceeded(false);
    CHECK_FALSE(monitor.isPartitioned(Start, Servers));
    CHECK(monitor.rejectsNewConnections(Start, Servers));
    monitor.contactSucceeded(true);
    CHECK_FALSE(monitor.rejectsNewConnections(Start, Servers));
}

TEST_CASE("Servers are checked at intervals after repeated failures of new connections, until one answers", "[reachability]")
{
    ReachabilityMonitor monitor;
    CHECK_FALSE(monitor.takeCheck(Start, Servers));
    monitor.contactFailed(Start, "i-1", true);
    CHECK_FALSE(monitor.takeCheck(Start, Servers));
    monitor.contactFailed(Start, "i-1", true);
    CHECK(monitor.takeCheck(Start, Servers));
    CHECK_FALSE(monitor.takeCheck(Start, Servers));
    CHECK(monitor.takeCheck(Start + ReachabilityMonitor::CheckInterval, Servers));
    monitor.contactSucceeded(true);
    CHECK_FALSE(monitor.takeCheck(Start + 2 * ReachabilityMonitor::CheckInterval, Servers));
}
