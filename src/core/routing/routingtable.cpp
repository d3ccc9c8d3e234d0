/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/routing/routingtable.h"

#include "core/support/text.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

/// Removes the first segment, including its leading slash, from @p path and returns it.
std::string_view takeSegment(std::string_view &path)
{
    const std::size_t end = path.find('/', 1);
    const std::string_view segment = path.substr(0, end);
    path.remove_prefix(segment.size());
    return segment;
}

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

bool hasPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    // "/reclamos" must not match "/reclamosviejos".
    return prefix.empty() || prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool serves(const Service &service, std::string_view host, std::string_view path)
{
    // Host names are case-insensitive (RFC 9110).
    const bool isHostMatch = service.host.empty() || isSameIgnoringCase(service.host, withoutPort(host));
    return isHostMatch && hasPrefix(path, service.pathPrefix);
}

} // namespace

bool matchesPattern(std::string_view pattern, std::string_view path)
{
    while (!pattern.empty()) {
        const std::string_view expected = takeSegment(pattern);
        if (expected == "/**" && pattern.empty()) {
            return true;
        }
        if (path.empty()) {
            return false;
        }
        const std::string_view segment = takeSegment(path);
        const bool isWildcardMatch = expected == "/*" && segment.size() > 1;
        if (!isWildcardMatch && expected != segment) {
            return false;
        }
    }
    return path.empty();
}

std::variant<Route, RouteFailure> findRoute(const Configuration &configuration, std::string_view host, std::string_view method, std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    const Service *best = nullptr;
    for (const Service &service : configuration.services) {
        if (serves(service, host, path) && (!best || service.pathPrefix.size() > best->pathPrefix.size())) {
            best = &service;
        }
    }
    if (!best) {
        return RouteFailure::NoService;
    }
    const auto accepts = [method, path](const RequestKind &kind) {
        const bool isMethodAllowed = std::find(kind.methods.begin(), kind.methods.end(), method) != kind.methods.end();
        return isMethodAllowed && matchesPattern(kind.path, path);
    };
    const auto kind = std::find_if(best->kinds.begin(), best->kinds.end(), accepts);
    if (kind == best->kinds.end()) {
        return RouteFailure::NoKind;
    }
    const auto service = static_cast<std::size_t>(best - configuration.services.data());
    return Route{service, static_cast<std::size_t>(kind - best->kinds.begin())};
}

const TrafficRoute *findTrafficRoute(const Configuration &configuration, std::string_view host, std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    const std::string_view name = withoutPort(host);
    const TrafficRoute *best = nullptr;
    for (const TrafficRoute &route : configuration.routes) {
        // Comparing lengths first keeps the search through hundreds of routes cheap.
        const bool isLonger = !best || route.pathPrefix.size() > best->pathPrefix.size();
        if (isLonger && route.host.size() == name.size() && path.starts_with(route.pathPrefix) && isSameIgnoringCase(route.host, name)) {
            best = &route;
        }
    }
    return best;
}

} // namespace Cloverbarrow
