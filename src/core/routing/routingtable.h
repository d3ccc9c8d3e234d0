/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <variant>

namespace Cloverbarrow
{

/// Place of a request's rules in the configuration.
struct Route {
    std::size_t service = 0;
    std::size_t kind = 0;
    const TrafficRoute *rule = nullptr; ///< Where a traffic route matched; lives as long as the configuration.

    bool operator==(const Route &) const = default;
};

/// Why a request has no route.
enum class RouteFailure {
    NoService,
    NoKind,
};

/// Finds the service by host or path prefix and the kind by method and path pattern.
/// Where several services match, the one with the longest path prefix counts; of kinds, the first.
/// @param target the request target; its query is ignored.
std::variant<Route, RouteFailure> findRoute(const Configuration &configuration, std::string_view host, std::string_view method, std::string_view target);

/// Finds the traffic route of @p host with the longest prefix that begins the target's path. @return it, or nullptr.
const TrafficRoute *findTrafficRoute(const Configuration &configuration, std::string_view host, std::string_view target);

/// @return whether @p path fits @p pattern, where `*` is one segment and a last `**` any rest.
bool matchesPattern(std::string_view pattern, std::string_view path);

} // namespace Cloverbarrow
