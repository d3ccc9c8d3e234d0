/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "ctl/requesttimeline.h"

#include "core/support/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::ordered_json;

// Number of an entry VM's latest state changes that are shown before its first line of the request.
constexpr std::size_t MaxShownStateChanges = 4;

bool isCommonField(const std::string &name)
{
    static const std::set<std::string> names = {"time", "level", "entry_vm", "part", "message", "id"};
    return names.contains(name);
}

std::string textOf(const Json &line)
{
    std::string text = line.value("part", "") + ": " + line.value("message", "");
    for (const auto &[name, value] : line.items()) {
        if (!isCommonField(name) && value != "") {
            text += "  " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

bool isFinal(const std::string &message)
{
    return message == "answered" || message == "refused" || message == "caller gone";
}

std::string formatLine(const std::string &time, const std::string &entryVm, const std::string &text)
{
    return time + "  " + entryVm + "  " + text;
}

} // namespace

std::map<std::string, std::string> RequestTimeline::evacuatedZones(const std::vector<Line> &before)
{
    std::map<std::string, std::string> since;
    // The detail starts with the zone's name, up to a comma.
    for (const Line &line : before) {
        if (line.message == "zone evacuated") {
            since[line.detail.substr(0, line.detail.find(','))] = line.time;
        } else if (line.message == "zone taken back") {
            since.erase(line.detail.substr(0, line.detail.find(',')));
        }
    }
    return since;
}

RequestTimeline::RequestTimeline(std::string requestId)
    : requestId_(std::move(requestId))
{
}

void RequestTimeline::add(std::string_view line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string_view::npos) {
        return;
    }
    const std::string_view text = line.substr(begin);
    const Json json = isWithinJsonBounds(text) ? Json::parse(text, nullptr, false) : Json();
    if (!json.is_object() || !json.contains("entry_vm") || !json.contains("message")) {
        return;
    }
    const bool hasDetail = json.contains("detail") && json.at("detail").is_string();
    const std::string detail = hasDetail ? json.at("detail").get<std::string>() : std::string();
    Line parsed{json.value("time", ""), json.value("entry_vm", ""), textOf(json), json.value("message", ""), detail, lineCount_++};
    if (json.value("id", "") == requestId_) {
        hasFinalAnswer_ = hasFinalAnswer_ || isFinal(json.value("message", ""));
        requestLines_.push_back(std::move(parsed));
    } else if (json.value("part", "") != "request" || json.value("message", "") == "lines left out") {
        stateLogs_[parsed.entryVm].lines.push_back(std::move(parsed));
    }
}

std::vector<std::string> RequestTimeline::toLines() const
{
    std::vector<Line> lines = requestLines_;
    const auto isEarlier = [](const Line &left, const Line &right) {
        return std::tie(left.time, left.sequenceNumber) < std::tie(right.time, right.sequenceNumber);
    };
    std::sort(lines.begin(), lines.end(), isEarlier);
    std::vector<std::string> timeline;
    std::set<std::string> seen;
    for (const Line &line : lines) {
        const auto stateLog = stateLogs_.find(line.entryVm);
        if (seen.insert(line.entryVm).second && stateLog != stateLogs_.end()) {
            std::vector<Line> before;
            std::copy_if(stateLog->second.lines.begin(), stateLog->second.lines.end(), std::back_inserter(before), [&line](const Line &stateLine) {
                return stateLine.time <= line.time;
            });
            for (const auto &[zone, since] : evacuatedZones(before)) {
                timeline.push_back("  before: " + formatLine(since, line.entryVm, "zone " + zone + " is evacuated, so its servers get no requests"));
            }
            const std::size_t first = before.size() > MaxShownStateChanges ? before.size() - MaxShownStateChanges : 0;
            for (std::size_t index = first; index < before.size(); ++index) {
                timeline.push_back("  before: " + formatLine(before[index].time, line.entryVm, before[index].text));
            }
        }
        timeline.push_back(formatLine(line.time, line.entryVm, line.text));
    }
    if (!timeline.empty() && !hasFinalAnswer_) {
        timeline.push_back("  missing: no line tells the final answer; the entry VM ended, lines were left out, or a log is not among the files");
    }
    return timeline;
}

} // namespace Cloverbarrow
