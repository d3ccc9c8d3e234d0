/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/forwarding.h"

#include "core/support/boundedjson.h"
#include "core/support/httpstatus.h"
#include "core/support/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view ResultAnswer = "answer";
constexpr std::string_view ResultRefusal = "refusal ";
constexpr int ClientError = 400; // Lowest status of the client error class (4xx).
constexpr int MaxForwardedAttempts = 100;
constexpr std::size_t MaxServers = 16; // Named in one header.
constexpr std::size_t MaxServerNameLength = 256;
constexpr Duration MaxBackoff = seconds(86'400);

bool isServerName(const std::string &name)
{
    return !name.empty() && name.size() <= MaxServerNameLength;
}

} // namespace

std::string encodeForwardedRequest(const ForwardedRequest &request)
{
    const RequestArrived &arrival = request.arrival;
    Json body = {{"service", request.service},
                 {"region", request.region},
                 {"class", static_cast<int>(arrival.kindClass)},
                 {"deadline_us", arrival.deadline.time_since_epoch().count()},
                 {"attempts", arrival.maxAttempts},
                 {"objective_us", arrival.latencyObjective.count()},
                 {"priority", arrival.priority},
                 {"waited_us", arrival.priorWait.count()},
                 {"content", arrival.fingerprint.digest},
                 {"caller", arrival.fingerprint.caller}};
    if (!request.workspace.empty()) {
        body["workspace"] = request.workspace;
    }
    if (request.takesBackoffs) {
        body["takes_backoffs"] = true;
    }
    if (!arrival.avoidedServers.empty()) {
        body["avoid"] = arrival.avoidedServers;
    }
    return body.dump(-1, ' ', true);
}

std::optional<ForwardedRequest> decodeForwardedRequest(std::string_view text)
{
    try {
        const Json body = parseBoundedJson(text);
        ForwardedRequest request;
        request.service = body.at("service").get<std::string>();
        request.region = body.at("region").get<std::string>();
        request.workspace = body.value("workspace", std::string());
        request.takesBackoffs = body.value("takes_backoffs", false);
        RequestArrived &arrival = request.arrival;
        arrival.avoidedServers = body.value("avoid", std::vector<std::string>());
        arrival.kindClass = static_cast<KindClass>(integerFrom<int>(body.at("class")));
        arrival.deadline = TimePoint(durationFrom(body.at("deadline_us")));
        arrival.maxAttempts = integerFrom<int>(body.at("attempts"));
        arrival.latencyObjective = durationFrom(body.at("objective_us"));
        arrival.priority = integerFrom<int>(body.at("priority"));
        arrival.priorWait = durationFrom(body.at("waited_us"));
        arrival.fingerprint = {body.at("content").get<std::string>(), body.at("caller").get<std::string>()};
        arrival.isForwarded = true;
        return request.isValid() ? std::optional(std::move(request)) : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

bool ForwardedRequest::isValid() const
{
    const bool isKnownClass = arrival.kindClass == KindClass::Read || arrival.kindClass == KindClass::Write;
    const bool hasAttempts = arrival.maxAttempts >= 1 && arrival.maxAttempts <= MaxForwardedAttempts;
    const auto &avoided = arrival.avoidedServers;
    const bool isAvoidedValid = avoided.size() <= MaxServers && std::all_of(avoided.begin(), avoided.end(), isServerName);
    return isKnownClass && hasAttempts && isAvoidedValid && arrival.deadline > TimePoint() && arrival.latencyObjective >= Duration(0)
        && arrival.priorWait >= Duration(0);
}

std::string encodeServerBackoffs(std::span<const ServerBackoff> backoffs)
{
    Json body = Json::array();
    for (const ServerBackoff &backoff : backoffs.first(std::min(backoffs.size(), MaxServers))) {
        body.push_back({{"server", backoff.server}, {"left_us", backoff.remaining.count()}});
    }
    return body.dump(-1, ' ', true, Json::error_handler_t::replace);
}

std::optional<std::vector<ServerBackoff>> decodeServerBackoffs(std::string_view text)
{
    try {
        const Json body = parseBoundedJson(text);
        if (!body.is_array() || body.size() > MaxServers) {
            return std::nullopt;
        }
        std::vector<ServerBackoff> backoffs;
        for (const Json &item : body) {
            ServerBackoff backoff{item.at("server").get<std::string>(), durationFrom(item.at("left_us"))};
            if (!isServerName(backoff.server) || backoff.remaining < Duration(0) || backoff.remaining > MaxBackoff) {
                return std::nullopt;
            }
            backoffs.push_back(std::move(backoff));
        }
        return backoffs;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

void eraseForwardHeaders(Headers &headers)
{
    std::erase_if(headers, [](const Header &header) {
        return isSameName(header.name, ForwardHeader) || isSameName(header.name, ForwardTagHeader) || isSameName(header.name, ForwardResultHeader)
            || isSameName(header.name, ForwardBackoffsHeader);
    });
}

void markForwardedAnswer(HttpAnswer &answer, const std::string &tag)
{
    eraseForwardHeaders(answer.headers);
    answer.headers.push_back({ForwardResultHeader, std::string(ResultAnswer)});
    answer.headers.push_back({ForwardTagHeader, tag});
}

HttpAnswer forwardedRefusal(const Problem &problem, const std::string &tag)
{
    Json body = {{"not_executed", problem.executionStatus == ExecutionStatus::NotExecuted},
                 {"step", problem.step},
                 {"peer", problem.peer},
                 {"detail", problem.detail},
                 {"local_fault", problem.isLocalFault}};
    if (problem.retryAfter) {
        body["retry_after_us"] = problem.retryAfter->count();
    }
    // In a header, since answers to HEAD requests have no body.
    HttpAnswer answer;
    answer.status = problem.status;
    answer.headers = {{ForwardResultHeader, std::string(ResultRefusal) + body.dump(-1, ' ', true, Json::error_handler_t::replace)}, {ForwardTagHeader, tag}};
    return answer;
}

ForwardOutcome interpretForwardedAnswer(const HttpAnswer &answer)
{
    const auto result = findHeader(answer.headers, ForwardResultHeader);
    if (result == ResultAnswer) {
        return ForwardAnswered{};
    }
    if (!result && answer.status >= ClientError && answer.status < HttpStatus::ServerError) {
        return NotSent{"the entry VM does not accept forwarded requests"};
    }
    const bool isRefusal = result && result->starts_with(ResultRefusal);
    if (!isRefusal) {
        return LostAnswer{"the entry VM gave an invalid answer", false};
    }
    try {
        const Json body = parseBoundedJson(result->substr(ResultRefusal.size()));
        Problem problem;
        problem.status = answer.status;
        problem.executionStatus = body.at("not_executed").get<bool>() ? ExecutionStatus::NotExecuted : ExecutionStatus::Unknown;
        problem.step = body.at("step").get<std::string>();
        problem.peer = body.at("peer").get<std::string>();
        problem.detail = body.at("detail").get<std::string>();
        problem.isLocalFault = body.at("local_fault").get<bool>();
        if (body.contains("retry_after_us")) {
            problem.retryAfter = durationFrom(body.at("retry_after_us"));
        }
        return ForwardRefused{std::move(problem)};
    } catch (const std::exception &) {
        return LostAnswer{"the entry VM gave an invalid refusal", false};
    }
}

} // namespace Cloverbarrow
