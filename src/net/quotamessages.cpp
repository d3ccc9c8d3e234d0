/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/quotamessages.h"

#include "core/support/boundedjson.h"
#include "core/support/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::json;

// More requests than one entry VM can have waiting.
constexpr int MaxClaimedRequests = 100'000;
// There is one relay for each zone, and briefly two.
constexpr std::size_t MaxGranters = 100;
// More than an entry VM sends.
constexpr std::size_t MaxReports = 1'000;

/// @return the number under @p key. @throws std::exception if it is missing, negative or not finite.
double numberIn(const Json &body, const char *key)
{
    const auto value = body.at(key).get<double>();
    if (!std::isfinite(value) || value < 0) {
        throw std::invalid_argument(std::string("invalid ") + key);
    }
    return value;
}

/// @return the number under @p key; 0 if it is missing, since the previous release does not send it. @throws std::exception if it is negative or not finite.
double optionalNumberIn(const Json &body, const char *key)
{
    return body.contains(key) ? numberIn(body, key) : 0;
}

/// @return the number of requests. @throws std::exception if it is missing or out of range.
int requestsIn(const Json &body)
{
    const auto requests = integerFrom<int>(body.at("requests"));
    if (requests < 0 || requests > MaxClaimedRequests) {
        throw std::invalid_argument("invalid number of requests: " + std::to_string(requests));
    }
    return requests;
}

/// @return the process of the granter; 0 if it is missing, since the previous release does not send it.
std::uint64_t incarnationIn(const Json &body)
{
    return body.contains("incarnation") ? integerFrom<std::uint64_t>(body.at("incarnation")) : 0;
}

/// @return the reports in the array. @throws std::exception if one is malformed or there are too many.
std::vector<QuotaReport> reportsIn(const Json &items)
{
    if (!items.is_array() || items.size() > MaxReports) {
        throw std::invalid_argument("invalid reports: not an array, or more than " + std::to_string(MaxReports));
    }
    std::vector<QuotaReport> reports;
    for (const Json &item : items) {
        QuotaReport report{item.at("workspace").get<std::string>(), integersFrom(item.at("admitted"))};
        const auto isValid = [](int requests) { return requests >= 0 && requests <= MaxClaimedRequests; };
        if (report.admitted.size() > QuotaReportParts || !std::all_of(report.admitted.begin(), report.admitted.end(), isValid)) {
            throw std::invalid_argument("invalid report on workspace " + report.workspace);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace

std::string encodeQuotaRequest(const QuotaRequest &request)
{
    Json claims = Json::array();
    for (const QuotaClaim &claim : request.claims) {
        claims.push_back({{"workspace", claim.workspace},
                          {"version", claim.version},
                          {"per_second", claim.quota.perSecond},
                          {"burst", claim.quota.burst},
                          {"requests", claim.requests}});
    }
    Json body{{"entry_vm", request.entryVm}, {"claims", std::move(claims)}, {"granter", request.granter}, {"incarnation", request.incarnation}};
    if (request.granters) {
        body["granters"] = *request.granters;
    }
    if (request.historyLength != Duration::max()) {
        body["history_us"] = request.historyLength.count();
    }
    if (request.hasAllReports) {
        body["all_reports"] = true;
    }
    for (const QuotaReport &report : request.reports) {
        body["reports"].push_back({{"workspace", report.workspace}, {"admitted", report.admitted}});
    }
    return body.dump();
}

QuotaRequest decodeQuotaRequest(std::string_view text)
{
    const Json body = parseBoundedJson(text);
    QuotaRequest request;
    request.entryVm = body.at("entry_vm").get<std::string>();
    for (const Json &claim : body.at("claims")) {
        request.claims.push_back({claim.at("workspace").get<std::string>(),
                                  integerFrom<std::int64_t>(claim.at("version")),
                                  {numberIn(claim, "per_second"), numberIn(claim, "burst")},
                                  requestsIn(claim)});
    }
    // The fields below are missing in messages of the previous release.
    request.granter = body.value("granter", std::string());
    request.incarnation = incarnationIn(body);
    if (body.contains("granters")) {
        request.granters = body.at("granters").get<std::vector<std::string>>();
        if (request.granters->size() > MaxGranters) {
            throw std::invalid_argument("invalid number of granters: " + std::to_string(request.granters->size()));
        }
    }
    if (body.contains("history_us")) {
        request.historyLength = durationFrom(body.at("history_us"));
        if (request.historyLength < Duration(0)) {
            throw std::invalid_argument("invalid history_us");
        }
    }
    request.hasAllReports = body.value("all_reports", false);
    if (body.contains("reports")) {
        request.reports = reportsIn(body.at("reports"));
    }
    return request;
}

std::string encodeQuotaAnswer(const QuotaAnswer &answer)
{
    Json items = Json::array();
    for (const QuotaGrant &grant : answer.grants) {
        items.push_back({{"workspace", grant.workspace}, {"requests", grant.requests}, {"retry_us", grant.retryAfter.count()}, {"use", grant.use}});
    }
    return Json{{"incarnation", answer.incarnation}, {"grants", std::move(items)}}.dump();
}

QuotaAnswer decodeQuotaAnswer(std::string_view text)
{
    const Json body = parseBoundedJson(text);
    QuotaAnswer answer;
    answer.incarnation = incarnationIn(body);
    for (const Json &grant : body.at("grants")) {
        answer.grants.push_back(
            {grant.at("workspace").get<std::string>(), requestsIn(grant), durationFrom(grant.at("retry_us")), optionalNumberIn(grant, "use")});
    }
    return answer;
}

} // namespace Cloverbarrow
