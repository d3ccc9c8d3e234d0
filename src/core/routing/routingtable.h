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

/// Position of a request's service and kind in the configuration.
struct Route {
    std::size_t service = 0; ///< Index into Configuration::services.
    std::size_t kind = 0; ///< Index into Service::kinds.
    const TrafficRoute *rule = nullptr; ///< The traffic route that matched, if any; owned by the configuration.

    bool operator==(const Route &) const = default;
};

/// Why a request has no route.
enum class RouteFailure {
    NoService,
    NoKind,
};

/// Finds the service by host or path prefix and the kind by method and path pattern.
/// If several services match, the one with the longest path prefix is used; of several kinds, the first.
/// @param target the request target; its query is ignored.
std::variant<Route, RouteFailure> findRoute(const Configuration &configuration, std::string_view host, std::string_view method, std::string_view target);

/// @return the traffic route of @p host with the longest prefix of the target's path, or nullptr.
const TrafficRoute *findTrafficRoute(const Configuration &configuration, std::string_view host, std::string_view target);

/// @return whether @p path matches @p pattern, where `*` stands for one non-empty segment and a final `**` for any remainder.
bool matchesPattern(std::string_view pattern, std::string_view path);

} // namespace Cloverbarrow
