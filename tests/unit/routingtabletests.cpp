/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/routing/routingtable.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

Configuration twoServices()
{
    Service claims;
    claims.name = "reclamos";
    claims.pathPrefix = "/reclamos";
    claims.kinds = {{"status", {"GET"}, "/reclamos/*", KindClass::Read}, {"any", {"GET"}, "/reclamos/**", KindClass::Read}};
    Service old = claims;
    old.name = "reclamos-old";
    old.pathPrefix = "/reclamos/old";
    old.kinds = {{"status", {"GET"}, "/reclamos/old/**", KindClass::Read}};
    Service byHost;
    byHost.name = "polizas";
    byHost.host = "polizas.example";
    byHost.kinds = {{"terms", {"GET", "HEAD"}, "/terms", KindClass::Read}};
    return {{}, {claims, old, byHost}};
}

bool finds(std::string_view host, std::string_view method, std::string_view target, Route route)
{
    const auto found = findRoute(twoServices(), host, method, target);
    const auto *actual = std::get_if<Route>(&found);
    return actual && *actual == route;
}

bool fails(std::string_view host, std::string_view method, std::string_view target, RouteFailure failure)
{
    const auto found = findRoute(twoServices(), host, method, target);
    const auto *actual = std::get_if<RouteFailure>(&found);
    return actual && *actual == failure;
}

} // namespace

TEST_CASE("A request finds its service and kind", "[routing]")
{
    SECTION("by path prefix, the longest first")
    {
        CHECK(finds("x", "GET", "/reclamos/7", {0, 0}));
        CHECK(finds("x", "GET", "/reclamos/old/7", {1, 0}));
    }
    SECTION("by host, whatever its port and case")
    {
        CHECK(finds("Polizas.EXAMPLE", "GET", "/terms", {2, 0}));
        CHECK(finds("polizas.example:8080", "HEAD", "/terms", {2, 0}));
    }
    SECTION("without regard to the query")
    {
        CHECK(finds("x", "GET", "/reclamos/7?x=/a/b", {0, 0}));
    }
    SECTION("by the first kind that matches")
    {
        CHECK(finds("x", "GET", "/reclamos/7/parcels", {0, 1}));
    }
}

TEST_CASE("A request without a route fails with the missing part", "[routing]")
{
    CHECK(fails("x", "GET", "/reclamosviejos/7", RouteFailure::NoService));
    CHECK(fails("polizas.example.evil", "GET", "/terms", RouteFailure::NoService));
    CHECK(fails("polizas.example", "POST", "/terms", RouteFailure::NoKind));
    CHECK(fails("polizas.example", "GET", "/terms/more", RouteFailure::NoKind));
}

TEST_CASE("A star matches exactly one non-empty segment", "[routing]")
{
    CHECK(matchesPattern("/a/*", "/a/b"));
    CHECK_FALSE(matchesPattern("/a/*", "/a/"));
    CHECK_FALSE(matchesPattern("/a/*", "/a"));
    CHECK_FALSE(matchesPattern("/a/*", "/a/b/c"));
    CHECK(matchesPattern("/a/**", "/a"));
    CHECK(matchesPattern("/a/**", "/a/b/c"));
}
