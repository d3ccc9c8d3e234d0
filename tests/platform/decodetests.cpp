/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "decode.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Cloverbarrow;
using Json = nlohmann::json;

namespace
{

DirectoryEntry decode(Collection collection, const char *text)
{
    const Json object = Json::parse(text);
    DirectoryEntry entry = Platform::decodeHead(object);
    Platform::decodeContent(collection, object, entry);
    return entry;
}

} // namespace

TEST_CASE("A configuration is decoded with routes, splits, services and limits", "[platform]")
{
    const DirectoryEntry entry = decode(Collection::Routing, R"({"metadata":{"name":"main","revision":9},"specification":{"version":"r12",
        "routes":[{"name":"a","host":"h.example","path_prefix":"/x/","kind":"unsafe","timeout_s":1.2,"target_latency_s":0.3,"priority":1,"service":"s1","max_attempts":2},
                  {"name":"b","host":"h.example","path_prefix":"/y/","kind":"safe","timeout_s":1,"target_latency_s":0.25,"priority":2,
                   "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":3}],
        "services":[{"name":"s1","health_check_path":"/health","connection_limit":260},{"name":"s2","health_check_path":"/h2"}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":100,"header_timeout_s":3,"idle_timeout_s":15}}})");
    const auto &plan = std::get<RoutingPlan>(*entry.value);
    CHECK(plan.version == 12);
    REQUIRE(plan.routes.size() == 2);
    CHECK(plan.routes[0].kind.kindClass == KindClass::Write);
    CHECK(plan.routes[0].kind.deadline == milliseconds(1200));
    CHECK(plan.routes[0].latencyObjective == milliseconds(300));
    CHECK(plan.routes[0].maxAttempts == 2);
    CHECK(plan.routes[1].kind.kindClass == KindClass::Read);
    CHECK(plan.routes[1].destinations == std::vector<Destination>{{"s1", 90}, {"s2", 10}});
    CHECK(plan.services[0].choiceProbes.path == "/health");
    CHECK(plan.services[0].limits.connectionsPerServer == 260);
    CHECK(plan.limits.bodyBytes == 100);
    CHECK(plan.limits.idleTime == seconds(15));
}

TEST_CASE("A registration is decoded; any state but ready is draining", "[platform]")
{
    const DirectoryEntry ready = decode(Collection::Servers, R"({"metadata":{"name":"i-1","revision":4},"specification":{"service":"s1","address":"10.0.0.1:80",
        "zone":"a","version":"v1","slots":3,"state":"ready","warmup_remaining_s":1.5,"sequence":4}})");
    const auto &registration = std::get<Registration>(*ready.value);
    CHECK(registration.server.name == "i-1");
    CHECK(registration.server.slots == 3);
    CHECK(registration.server.warmUp == milliseconds(1500));
    CHECK_FALSE(registration.isDraining);
    const DirectoryEntry draining =
        decode(Collection::Servers, R"({"metadata":{"name":"i-1","revision":5},"specification":{"service":"s1","address":"10.0.0.1:80","state":"draining"}})");
    CHECK(std::get<Registration>(*draining.value).isDraining);
}

TEST_CASE("Objects of another form are refused with a reason", "[platform]")
{
    CHECK_THROWS(decode(Collection::Servers, R"({"metadata":{"name":"i-1","revision":5},"specification":{"service":7}})"));
    CHECK_THROWS(decode(Collection::Servers, R"({"metadata":{"name":"i-1"},"specification":{}})"));
    CHECK_THROWS(decode(Collection::Routing, R"({"metadata":{"name":"main","revision":9},"specification":{"version":"12","routes":[],"services":[]}})"));
    CHECK_THROWS(
        decode(Collection::Routing, R"({"metadata":{"name":"main","revision":9},"specification":{"version":"r1","routes":[{"host":"h"}],"services":[]}})"));
}
