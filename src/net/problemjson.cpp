/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/problemjson.h"

#include "core/requests/retryafter.h"
#include "core/support/httpstatus.h"

#include <nlohmann/json.hpp>

namespace Cloverbarrow
{

HttpAnswer problemAnswer(const Problem &problem)
{
    const nlohmann::ordered_json json = {
        {"type", "about:blank"},
        {"title", reasonOf(problem.status)},
        {"status", problem.status},
        {"outcome", problem.executionStatus == ExecutionStatus::NotExecuted ? "not-run" : "unknown"},
        {"step", problem.step},
        {"peer", problem.peer},
        {"detail", problem.detail},
    };
    HttpAnswer answer;
    answer.status = problem.status;
    answer.headers.push_back({"Content-Type", "application/problem+json"});
    answer.headers.push_back({RetriedHeader, "true"});
    if (problem.retryAfter) {
        // Retry-After takes whole seconds; rounded up.
        const auto wait = std::chrono::ceil<seconds>(*problem.retryAfter).count();
        answer.headers.push_back({"Retry-After", std::to_string(wait)});
    }
    answer.body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return answer;
}

Problem memoryProblem(const MemoryCounts &counts)
{
    std::string detail =
        "there is no memory for the request: " + std::to_string(counts.usedBytes) + " of " + std::to_string(counts.maxBytes) + " bytes are in use";
    return {HttpStatus::ServiceUnavailable, ExecutionStatus::NotExecuted, "read request", "entry VM", std::move(detail), RetryAfterAtOtherEntryVm};
}

} // namespace Cloverbarrow
