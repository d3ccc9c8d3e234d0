/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/crashjson.h"

#include "core/support/boundedjson.h"
#include "core/support/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <vector>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::json;

// More crashes than an entry VM keeps of those that it observed, and more than a store object of 1 MB holds.
constexpr std::size_t MaxCrashes = 4096;
constexpr std::size_t MaxTextBytes = 256;
// More than the number of processes whose crash updates an entry VM keeps.
constexpr std::size_t MaxUpdates = 256;

Json encodeCrashes(const std::vector<ServerCrash> &crashes)
{
    Json all = Json::array();
    for (const ServerCrash &crash : crashes) {
        all.push_back({{"content", crash.fingerprint.digest}, {"caller", crash.fingerprint.caller}, {"server", crash.server}});
    }
    return all;
}

std::string textIn(const Json &object, const char *key)
{
    auto text = object.at(key).get<std::string>();
    if (text.empty() || text.size() > MaxTextBytes) {
        throw std::invalid_argument(std::string(key) + " has an invalid length of " + std::to_string(text.size()) + " bytes");
    }
    return text;
}

std::vector<ServerCrash> decodeCrashes(const Json &all)
{
    if (!all.is_array() || all.size() > MaxCrashes) {
        throw std::invalid_argument("crash list is not an array or has more entries than " + std::to_string(MaxCrashes));
    }
    std::vector<ServerCrash> crashes;
    for (const Json &crash : all) {
        crashes.push_back({{textIn(crash, "content"), textIn(crash, "caller")}, textIn(crash, "server")});
    }
    return crashes;
}

Json encodeUpdate(const CrashUpdate &update)
{
    Json body = encodeCrashReport(update.report);
    body["entry_vm"] = update.entryVm;
    body["process"] = update.process;
    body["number"] = update.sequenceNumber;
    body["suspected"] = encodeCrashes(update.suspected);
    return body;
}

CrashUpdate decodeUpdate(const Json &body)
{
    return {textIn(body, "entry_vm"),
            textIn(body, "process"),
            integerFrom<std::uint64_t>(body.at("number")),
            decodeCrashReport(body),
            decodeCrashes(body.at("suspected"))};
}

} // namespace

nlohmann::json encodeCrashReport(const CrashReport &report)
{
    return {{"ends", encodeCrashes(report.crashes)}, {"excused", encodeCrashes(report.exonerated)}};
}

CrashReport decodeCrashReport(const nlohmann::json &report)
{
    return {decodeCrashes(report.at("ends")), decodeCrashes(report.at("excused"))};
}

std::string encodeCrashUpdates(const CrashUpdateMessage &message)
{
    Json all = Json::array();
    for (const CrashUpdate &update : message.updates) {
        all.push_back(encodeUpdate(update));
    }
    Json body = {{"answer_to", message.replyTo}, {"news", std::move(all)}};
    if (!message.replyFrom.empty()) {
        body["answer_of"] = message.replyFrom;
    }
    if (!message.held.empty()) {
        Json held = Json::array();
        for (const CrashUpdateVersion &version : message.held) {
            held.push_back({version.entryVm, version.process, version.sequenceNumber});
        }
        body["held"] = std::move(held);
    }
    return body.dump();
}

CrashUpdateMessage decodeCrashUpdates(std::string_view text)
{
    const Json body = parseBoundedJson(text);
    CrashUpdateMessage message;
    message.replyTo = body.at("answer_to").get<std::string>();
    message.replyFrom = body.value("answer_of", std::string());
    if (body.at("news").size() > MaxUpdates) {
        throw std::invalid_argument("too many crash updates, of " + std::to_string(body.at("news").size()) + " processes");
    }
    for (const Json &update : body.at("news")) {
        message.updates.push_back(decodeUpdate(update));
    }
    if (body.contains("held")) {
        for (const Json &version : body.at("held")) {
            message.held.push_back({version.at(0).get<std::string>(), version.at(1).get<std::string>(), integerFrom<std::uint64_t>(version.at(2))});
        }
    }
    return message;
}

std::string encodeCrashUpdatesAnswer(bool isReplySent)
{
    return Json{{"answer_follows", isReplySent}}.dump();
}

CrashExchangeOutcome decodeCrashUpdatesAnswer(std::string_view text)
{
    const bool isReplySent = parseBoundedJson(text).value("answer_follows", true);
    return isReplySent ? CrashExchangeOutcome::ReplyFollows : CrashExchangeOutcome::NothingToSend;
}

} // namespace Cloverbarrow
