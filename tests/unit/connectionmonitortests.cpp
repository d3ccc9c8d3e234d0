/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "connectedcaller.h"

#include "net/connectionmonitor.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

std::uint64_t endsBy(const ConnectionCounts &counts, ConnectionEnd reason)
{
    return counts.ends.at(static_cast<std::size_t>(reason));
}

} // namespace

TEST_CASE("The reason of each connection's end is counted, and requests that were read are answered, unanswered or in flight", "[caller][monitor]")
{
    const auto monitor = std::make_shared<ConnectionMonitor>("test");
    ConnectedCaller caller({.monitor = monitor});
    caller.send("GET", "/a");
    SECTION("answered, then ended by a stop")
    {
        caller.answer(0, "a");
        caller.connection->closeAfterAnswer();
        caller.send("GET", "/b");
        caller.answer(1, "b");
        CHECK(endsBy(monitor->counts(), ConnectionEnd::Stop) == 1);
        CHECK(monitor->counts().answered == 2);
    }
    SECTION("ended by the request's own wish")
    {
        caller.answer(0, "a");
        caller.send("GET", "/b", "Connection: close\r\n");
        caller.answer(1, "b");
        CHECK(endsBy(monitor->counts(), ConnectionEnd::Requested) == 1);
        CHECK(monitor->counts().answered == 2);
    }
    SECTION("ended by a malformed request")
    {
        caller.answer(0, "a");
        caller.connection->received("GET nonsense\r\n\r\n", bootNow());
        CHECK(endsBy(monitor->counts(), ConnectionEnd::Rejected) == 1);
        CHECK(monitor->counts().answered == 2);
    }
    SECTION("dropped while a request is in flight")
    {
        caller.connection->abort();
        CHECK(endsBy(monitor->counts(), ConnectionEnd::Unusable) == 1);
        CHECK(monitor->counts().unanswered == 1);
    }
    SECTION("closed by the caller")
    {
        caller.answer(0, "a");
        caller.connection->inputEnded();
        CHECK(endsBy(monitor->counts(), ConnectionEnd::Caller) == 1);
    }
    SECTION("still open")
    {
        CHECK(monitor->counts().inFlight == 1);
    }
    const ConnectionCounts counts = monitor->counts();
    CHECK(counts.read == counts.answered + counts.leftByCaller + counts.unanswered + counts.inFlight);
}

TEST_CASE("A caller that leaves an answer unread is told apart from one that closes", "[caller][monitor]")
{
    const auto monitor = std::make_shared<ConnectionMonitor>("test");
    ConnectedCaller caller({.monitor = monitor});
    caller.send("GET", "/a");
    caller.answer(0, std::string(4 * 1024 * 1024, 'a'));
    caller.connection->checkTimeouts(bootNow() + seconds(60));
    CHECK(endsBy(monitor->counts(), ConnectionEnd::NoProgress) == 1);
    CHECK(endsBy(monitor->counts(), ConnectionEnd::Caller) == 0);
}
