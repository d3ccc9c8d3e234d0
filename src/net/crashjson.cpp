/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/crashjson.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <vector>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::json;

// Beyond what an entry VM keeps of its own, and what one object of a megabyte holds.
constexpr std::size_t MostEnds = 4096;
constexpr std::size_t MostLetters = 256;
// Beyond the processes of which an entry VM keeps news.
constexpr std::size_t MostNews = 256;

Json encodeEnds(const std::vector<ServerEnd> &ends)
{
    Json all = Json::array();
    for (const ServerEnd &end : ends) {
        all.push_back({{"content", end.content.digest}, {"caller", end.content.caller}, {"server", end.server}});
    }
    return all;
}

std::string textIn(const Json &end, const char *key)
{
    auto text = end.at(key).get<std::string>();
    if (text.empty() || text.size() > MostLetters) {
        throw std::invalid_argument(std::string(key) + " has " + std::to_string(text.size()) + " bytes");
    }
    return text;
}

std::vector<ServerEnd> decodeEnds(const Json &all)
{
    if (!all.is_array() || all.size() > MostEnds) {
        throw std::invalid_argument("ends are no list of at most " + std::to_string(MostEnds));
    }
    std::vector<ServerEnd> ends;
    for (const Json &end : all) {
        ends.push_back({{textIn(end, "content"), textIn(end, "caller")}, textIn(end, "server")});
    }
    return ends;
}

Json encodeNews(const CrashNews &news)
{
    Json body = encodeCrashReport(news.report);
    body["entry_vm"] = news.entryVm;
    body["process"] = news.process;
    body["number"] = news.number;
    body["suspected"] = encodeEnds(news.suspected);
    return body;
}

CrashNews decodeNews(const Json &body)
{
    return {
        textIn(body, "entry_vm"), textIn(body, "process"), body.at("number").get<std::uint64_t>(), decodeCrashReport(body), decodeEnds(body.at("suspected"))};
}

} // namespace

nlohmann::json encodeCrashReport(const CrashReport &report)
{
    return {{"ends", encodeEnds(report.ends)}, {"excused", encodeEnds(report.excused)}};
}

CrashReport decodeCrashReport(const nlohmann::json &report)
{
    return {decodeEnds(report.at("ends")), decodeEnds(report.at("excused"))};
}

std::string encodeCrashNews(const CrashNewsMessage &message)
{
    Json all = Json::array();
    for (const CrashNews &news : message.news) {
        all.push_back(encodeNews(news));
    }
    Json body = {{"answer_to", message.answerTo}, {"news", std::move(all)}};
    if (!message.answerOf.empty()) {
        body["answer_of"] = message.answerOf;
    }
    return body.dump();
}

CrashNewsMessage decodeCrashNews(std::string_view text)
{
    const Json body = Json::parse(text);
    CrashNewsMessage message;
    message.answerTo = body.at("answer_to").get<std::string>();
    message.answerOf = body.value("answer_of", std::string());
    if (body.at("news").size() > MostNews) {
        throw std::invalid_argument("news of " + std::to_string(body.at("news").size()) + " processes");
    }
    for (const Json &news : body.at("news")) {
        message.news.push_back(decodeNews(news));
    }
    return message;
}

} // namespace Cloverbarrow
