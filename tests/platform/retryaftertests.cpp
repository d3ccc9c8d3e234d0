/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "eventually.h"
#include "loadedzones.h"

#include "net/bootclock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Standins;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr Duration RequestedPause = seconds(3);
// Requests that are on their way when the server rejects another one may still arrive.
constexpr Duration Grace = milliseconds(500);
constexpr std::ptrdiff_t RequestsTolerated = 2;

/// @return number of requests that arrived at the server from @p from until @p to.
std::ptrdiff_t arrivalsBetween(const RegisteredBackend &backend, TimePoint from, TimePoint to)
{
    const auto all = backend.arrivals();
    return std::count_if(all.begin(), all.end(), [from, to](const Arrival &arrival) { return arrival.at >= from && arrival.at < to; });
}

} // namespace

TEST_CASE("A server that rejects a request with Retry-After gets no requests from that entry VM until then", "[platform][path][backoff]")
{
    LoadedZones zones(1);
    zones.startLoad();
    REQUIRE(eventually([&zones] { return zones.localExecutions() > 20; }));
    RegisteredBackend &server = zones.localBackend();
    server.setRetryAfter("3");
    const TimePoint from = bootNow();
    server.setAnswerMode(AnswerMode::Shed);
    REQUIRE(eventually([&] { return arrivalsBetween(server, from, TimePoint::max()) > 0; }));
    const auto arrivals = server.arrivals();
    const auto rejected = std::find_if(arrivals.begin(), arrivals.end(), [from](const Arrival &arrival) { return arrival.at >= from; });
    REQUIRE(rejected != arrivals.end());
    const TimePoint rejectedAt = rejected->at;
    std::this_thread::sleep_for(RequestedPause);
    CHECK(arrivalsBetween(server, rejectedAt + Grace, rejectedAt + RequestedPause) <= RequestsTolerated);
    // A rejected request may find no other server: the only one stands in another zone, and there are few probes for two servers.
    CHECK(zones.failed() <= static_cast<std::size_t>(arrivalsBetween(server, from, TimePoint::max())));
    SECTION("but then it is used again")
    {
        server.setAnswerMode(AnswerMode::Serve);
        const std::size_t before = zones.localExecutions();
        CHECK(eventually([&] { return zones.localExecutions() > before + 5; }));
    }
    zones.stopLoad();
}
