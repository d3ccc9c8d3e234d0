/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/slowservermessages.h"

#include "core/support/boundedjson.h"
#include "core/support/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t MaxNameBytes = 256;
// An older report is not late but wrong, since reports expire within seconds.
constexpr Duration MaxAge = seconds(3600);
constexpr std::size_t MaxAcceptedReports = 2 * SlowServerMessage::MaxReports;

Json encodePosition(const SlowServerPosition &position)
{
    return {{"process", position.process}, {"sequence", position.sequence}};
}

SlowServerPosition decodePosition(const Json &body, const char *key)
{
    if (!body.contains(key)) {
        return {};
    }
    const Json &position = body.at(key);
    return {integerFrom<std::uint64_t>(position.at("process")), integerFrom<std::uint64_t>(position.at("sequence"))};
}

const char *textOf(SlowServerCause cause)
{
    return cause == SlowServerCause::Slow ? "slow" : "lost";
}

SlowServerCause causeIn(const Json &report)
{
    const auto text = report.value("cause", std::string(textOf(SlowServerCause::Slow)));
    for (const SlowServerCause cause : {SlowServerCause::Slow, SlowServerCause::LostResponse}) {
        if (text == textOf(cause)) {
            return cause;
        }
    }
    throw std::invalid_argument("unknown cause '" + text.substr(0, MaxNameBytes) + "' of a slow server report");
}

SlowServerReport decodeReport(TimePoint now, const Json &report)
{
    const Duration age = durationFrom(report.at("age_us"));
    if (age < Duration(0) || age > MaxAge) {
        throw std::invalid_argument("invalid age of " + std::to_string(age.count()) + " us of a slow server report");
    }
    auto server = report.at("server").get<std::string>();
    if (server.empty() || server.size() > MaxNameBytes) {
        throw std::invalid_argument("invalid server name of " + std::to_string(server.size()) + " bytes in a slow server report");
    }
    return {std::move(server), causeIn(report), now - age};
}

} // namespace

std::string encodeSlowServers(TimePoint now, const SlowServerMessage &message)
{
    Json reports = Json::array();
    for (const SlowServerReport &report : message.reports) {
        reports.push_back({{"server", report.server}, {"cause", textOf(report.cause)}, {"age_us", (now - report.observedAt).count()}});
    }
    Json body = {{"position", encodePosition(message.position)}, {"known", encodePosition(message.receiverPosition)}};
    if (!reports.empty()) {
        body["reports"] = std::move(reports);
    }
    return body.dump();
}

SlowServerMessage decodeSlowServers(TimePoint now, std::string_view text)
{
    const Json body = parseBoundedJson(text);
    if (!body.is_object()) {
        throw std::invalid_argument("slow server reports are not an object");
    }
    SlowServerMessage message{decodePosition(body, "position"), decodePosition(body, "known"), {}};
    if (!body.contains("reports")) {
        return message;
    }
    const Json &reports = body.at("reports");
    if (!reports.is_array() || reports.size() > MaxAcceptedReports) {
        throw std::invalid_argument("slow server reports are not a list of at most " + std::to_string(MaxAcceptedReports));
    }
    for (const Json &report : reports) {
        message.reports.push_back(decodeReport(now, report));
    }
    return message;
}

} // namespace Cloverbarrow
