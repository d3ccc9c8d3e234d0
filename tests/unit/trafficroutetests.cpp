/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/routing/routingtable.h"
#include "core/routing/trafficsplitter.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace Cloverbarrow;

namespace
{

TrafficRoute route(std::string host, std::string prefix, std::vector<Destination> destinations)
{
    TrafficRoute made;
    made.host = std::move(host);
    made.pathPrefix = std::move(prefix);
    made.destinations = std::move(destinations);
    return made;
}

} // namespace

TEST_CASE("The traffic route of the host with the longest matching prefix is used", "[route]")
{
    Configuration configuration;
    configuration.routes = {route("a.example", "/", {{"one"}}),
                            route("a.example", "/x/y/", {{"two"}}),
                            route("a.example", "/x/", {{"three"}}),
                            route("b.example", "/x/y/z/", {{"four"}})};
    const auto serviceFor = [&configuration](const char *host, const char *target) {
        const TrafficRoute *found = findTrafficRoute(configuration, host, target);
        return found ? found->destinations.front().service : std::string();
    };
    CHECK(serviceFor("a.example", "/x/y/z/1") == "two");
    CHECK(serviceFor("A.example:80", "/x/1?path=/x/y/") == "three");
    CHECK(serviceFor("a.example", "/x") == "one");
    CHECK(serviceFor("b.example", "/x/y/1").empty());
    CHECK(serviceFor("c.example", "/").empty());
}

TEST_CASE("A split route meets its weights over few requests at each of many entry VMs", "[route][split]")
{
    const TrafficRoute split = route("a.example", "/", {{"one", 90}, {"two", 10}});
    constexpr int EntryVms = 18;
    constexpr int Requests = 20;
    int toTwo = 0;
    for (std::uint64_t seed = 1; seed <= EntryVms; ++seed) {
        TrafficSplitter splitter(seed);
        for (int request = 0; request < Requests; ++request) {
            toTwo += splitter.nextDestination(split).service == "two" ? 1 : 0;
        }
    }
    const double share = static_cast<double>(toTwo) / (EntryVms * Requests);
    CHECK(std::abs(share - 0.1) < 0.03);
}
