/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "sampleplan.h"

namespace Cloverbarrow::Standins
{

nlohmann::json routeSpecification(const std::string &host, const std::string &kind, const std::string &prefix, double timeoutSeconds)
{
    return {{"name", host + prefix},
            {"host", host},
            {"path_prefix", prefix},
            {"kind", kind},
            {"timeout_s", timeoutSeconds},
            {"target_latency_s", 1},
            {"priority", 1},
            {"service", "reclamos"},
            {"max_attempts", 2}};
}

nlohmann::json planSpecification(int version, const nlohmann::json &routes)
{
    return {{"version", "r" + std::to_string(version)},
            {"routes", routes},
            {"services", {{{"name", "reclamos"}, {"health_check_path", "/health"}, {"connection_limit", 200}, {"warmup_per_s", 2.5}}}},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 1000000}, {"header_timeout_s", 3}, {"idle_timeout_s", 15}}}};
}

} // namespace Cloverbarrow::Standins
