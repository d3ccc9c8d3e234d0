/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/rolloutmessages.h"

#include "core/support/boundedjson.h"
#include "core/support/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::json;

// The largest fleet gives as many answers in most of a year. The counts of all kinds in one message can still be added up.
constexpr std::int64_t MaxAnswers = 10'000'000'000'000;

Json encodeCounts(const AnswerCounts &counts)
{
    return Json::array({counts.answers, counts.failures, counts.slow});
}

AnswerCounts decodeCounts(const Json &body)
{
    const AnswerCounts counts{integerFrom<std::int64_t>(body.at(0)), integerFrom<std::int64_t>(body.at(1)), integerFrom<std::int64_t>(body.at(2))};
    if (std::min({counts.answers, counts.failures, counts.slow}) < 0 || std::max({counts.answers, counts.failures, counts.slow}) > MaxAnswers) {
        throw std::invalid_argument("counts of answers are out of range");
    }
    if (counts.failures + counts.slow > counts.answers) {
        throw std::invalid_argument("counts of answers contradict each other");
    }
    return counts;
}

} // namespace

std::string encodeRolloutReports(const RolloutReports &reports)
{
    Json items = Json::array();
    for (const RolloutReport &report : reports.reports) {
        Json kinds = Json::array();
        for (const auto &[objective, comparison] : report.evidence.byObjective()) {
            kinds.push_back({{"objective_us", objective.count()}, {"target", encodeCounts(comparison.target)}, {"others", encodeCounts(comparison.others)}});
        }
        items.push_back({{"service", report.service}, {"version", report.targetVersion}, {"age_us", report.age.count()}, {"kinds", std::move(kinds)}});
    }
    return Json{{"origin", reports.origin}, {"zone_total", reports.isZoneTotal}, {"reports", std::move(items)}}.dump();
}

RolloutReports decodeRolloutReports(std::string_view text)
{
    const Json body = parseBoundedJson(text);
    RolloutReports reports{body.at("origin").get<std::string>(), body.at("zone_total").get<bool>(), {}};
    for (const Json &item : body.at("reports")) {
        RolloutReport report;
        report.service = item.at("service").get<std::string>();
        report.targetVersion = item.at("version").get<std::string>();
        report.age = std::max(Duration(0), durationFrom(item.at("age_us")));
        for (const Json &kind : item.at("kinds")) {
            report.evidence.set(durationFrom(kind.at("objective_us")), {decodeCounts(kind.at("target")), decodeCounts(kind.at("others"))});
        }
        reports.reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace Cloverbarrow
