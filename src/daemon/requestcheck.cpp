/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/requestcheck.h"

#include "core/support/text.h"
#include "net/digest.h"

#include <algorithm>
#include <cctype>

namespace Cloverbarrow
{

namespace
{

constexpr std::size_t MaxKeyBytes = 128;
constexpr int MaxDeadlineMs = 86'400'000;
constexpr int MaxAttemptNumber = 1000;

Problem invalid(std::string detail)
{
    return {400, ExecutionStatus::NotExecuted, "check request", "caller", std::move(detail), std::nullopt};
}

Problem noRoute(RouteFailure failure)
{
    const bool isKind = failure == RouteFailure::NoKind;
    return {404, ExecutionStatus::NotExecuted, "find route", "caller", isKind ? "the service has no such kind of request" : "no such service", std::nullopt};
}

bool isKeyCharacter(char character)
{
    const bool isAlphanumeric = std::isalnum(static_cast<unsigned char>(character)) != 0;
    return isAlphanumeric || character == '-' || character == '_' || character == '.';
}

bool isKey(std::string_view key)
{
    return !key.empty() && key.size() <= MaxKeyBytes && std::all_of(key.begin(), key.end(), isKeyCharacter);
}

/// Parses a header with one number from 1 to @p highest. @return whether the header is absent or valid.
bool readCount(const Headers &headers, const char *name, int highest, int &value)
{
    const auto text = findHeader(headers, name);
    if (!text) {
        return true;
    }
    const auto count = parseNumber(*text, highest);
    value = count.value_or(value);
    return count && *count >= 1 && countHeader(headers, name) == 1;
}

std::optional<Problem> readPayout(const HttpRequest &request, RequestArrived &event)
{
    const auto key = findHeader(request.headers, IdempotencyHeader);
    if (!key || countHeader(request.headers, IdempotencyHeader) != 1 || !isKey(*key)) {
        return invalid("a payout needs one Idempotency-Key of 1 to 128 letters, digits, dots, dashes and underscores");
    }
    event.idempotencyKey = std::string(*key);
    event.digest = sha256({request.method, "\n", request.target, "\n", request.body});
    return std::nullopt;
}

} // namespace

std::variant<CheckedRequest, Problem> checkRequest(const HttpRequest &request, const Configuration &configuration, RequestId id, TimePoint now)
{
    const auto found = findRoute(configuration, findHeader(request.headers, "host").value_or(""), request.method, request.target);
    if (const auto *failure = std::get_if<RouteFailure>(&found)) {
        return noRoute(*failure);
    }
    CheckedRequest checked;
    checked.route = std::get<Route>(found);
    const RequestKind &kind = configuration.services[checked.route.service].kinds[checked.route.kind];
    int deadlineMs = MaxDeadlineMs;
    if (!readCount(request.headers, DeadlineHeader, MaxDeadlineMs, deadlineMs)) {
        return invalid(std::string(DeadlineHeader) + " must be one whole number of milliseconds from 1");
    }
    if (!readCount(request.headers, AttemptHeader, MaxAttemptNumber, checked.incomingAttemptNumber)) {
        return invalid(std::string(AttemptHeader) + " must be one whole number from 1");
    }
    checked.event.request = id;
    checked.event.kind = checked.route.kind;
    checked.event.kindClass = kind.kindClass;
    checked.event.deadline = now + std::min<Duration>(milliseconds(deadlineMs), kind.deadline);
    checked.event.isPartOfRetry = checked.incomingAttemptNumber > 1;
    if (kind.kindClass == KindClass::Payout) {
        if (auto problem = readPayout(request, checked.event)) {
            return std::move(*problem);
        }
    }
    return checked;
}

std::variant<CheckedRequest, Problem> checkRoutedRequest(
    const HttpRequest &request, const Route &route, const char *deadlineHeader, RequestId id, TimePoint now)
{
    int deadlineMs = MaxDeadlineMs;
    if (!readCount(request.headers, deadlineHeader, MaxDeadlineMs, deadlineMs)) {
        return invalid(std::string(deadlineHeader) + " must be one whole number of milliseconds from 1");
    }
    CheckedRequest checked;
    checked.route = route;
    checked.event.request = id;
    checked.event.kindClass = route.rule->kind.kindClass;
    checked.event.deadline = now + std::min<Duration>(milliseconds(deadlineMs), route.rule->kind.deadline);
    checked.event.callerTimeLeft = deadlineMs < MaxDeadlineMs ? Duration(milliseconds(deadlineMs)) : Duration(0);
    checked.event.maxAttempts = route.rule->maxAttempts;
    checked.event.latencyObjective = route.rule->latencyObjective;
    checked.event.priority = route.rule->priority;
    return checked;
}

} // namespace Cloverbarrow
