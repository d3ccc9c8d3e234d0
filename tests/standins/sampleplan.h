/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Cloverbarrow::Standins
{

/// @return a route to the service "reclamos" in the form of the store. @param kind `safe` or `unsafe`.
nlohmann::json routeSpecification(const std::string &host, const std::string &kind, const std::string &prefix, double timeoutSeconds);

/// @return version @p version of a configuration with the service "reclamos", in the form of the store.
nlohmann::json planSpecification(int version, const nlohmann::json &routes);

} // namespace Cloverbarrow::Standins
