/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "directorystore.h"

#include <algorithm>

namespace Cloverbarrow::Standins
{

namespace
{

using Json = nlohmann::json;

// Small, so that tests read lists of several pages.
constexpr std::size_t PageSize = 2;

/// @return the value of the query parameter @p name in @p target; nothing when it has none.
std::optional<std::string> queryValue(const std::string &target, const std::string &name)
{
    const std::size_t question = target.find('?');
    std::string rest = question == std::string::npos ? std::string() : "&" + target.substr(question + 1);
    const std::size_t found = rest.find("&" + name + "=");
    if (found == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t begin = found + name.size() + 2;
    return rest.substr(begin, rest.find('&', begin) - begin);
}

} // namespace

DirectoryStore::DirectoryStore()
{
    CallerServerOptions options;
    options.address = "127.0.0.1:0";
    server_ = std::make_unique<CallerServer>(
        options, [this](const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request) { accept(connection, request); });
}

DirectoryStore::~DirectoryStore() = default;

std::string DirectoryStore::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port());
}

void DirectoryStore::put(const std::string &kind, const std::string &name, const Json &specification)
{
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        const Json object = {
            {"metadata", {{"name", name}, {"revision", revision_}, {"created_rev", revision_}, {"finalizers", Json::array()}, {"deleting", false}}},
            {"specification", specification},
            {"status", nullptr}};
        objects_[kind][name] = object;
        changes_.push_back({kind, revision_, {{"object", object}, {"deleted", false}}});
    }
    answerPendingWatches();
}

void DirectoryStore::putText(const std::string &kind, const std::string &name, const std::string &specification)
{
    const std::string standIn = "unparsed " + kind + " " + name;
    {
        const std::lock_guard lock(mutex_);
        texts_[Json(standIn).dump()] = specification;
    }
    put(kind, name, standIn);
}

void DirectoryStore::remove(const std::string &kind, const std::string &name)
{
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        Json object = objects_[kind][name];
        object["metadata"]["revision"] = revision_;
        objects_[kind].erase(name);
        changes_.push_back({kind, revision_, {{"object", object}, {"deleted", true}}});
    }
    answerPendingWatches();
}

void DirectoryStore::discardHistory()
{
    {
        const std::lock_guard lock(mutex_);
        oldestRevision_ = ++revision_;
        changes_.clear();
    }
    answerPendingWatches();
}

void DirectoryStore::setBusy(bool isBusy)
{
    const std::lock_guard lock(mutex_);
    isBusy_ = isBusy;
}

int DirectoryStore::callCount() const
{
    const std::lock_guard lock(mutex_);
    return callCount_;
}

void DirectoryStore::accept(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request)
{
    std::optional<HttpAnswer> answer;
    {
        const std::lock_guard lock(mutex_);
        ++callCount_;
        constexpr std::string_view Prefix = "/objects/";
        const std::string path = request.target.substr(0, request.target.find('?'));
        const std::string rest = path.starts_with(Prefix) ? path.substr(Prefix.size()) : std::string();
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name = kind.size() < rest.size() ? rest.substr(kind.size() + 1) : std::string();
        const auto since = queryValue(request.target, "watch");
        if (isBusy_) {
            answer = jsonAnswer({{"error", "busy"}}, 503);
        } else if (!name.empty() || request.method != "GET") {
            answer = handleObjectCall(request, kind, name);
        } else if (since) {
            answer = changesSince(kind, std::stoll(*since));
            if (!answer) {
                pendingWatches_.push_back({connection, kind, std::stoll(*since)});
            }
        } else {
            answer = listPage(kind, queryValue(request.target, "after").value_or(""));
        }
    }
    if (answer) {
        connection->answer(*answer, false);
    }
    if (request.method != "GET") {
        answerPendingWatches();
    }
}

HttpAnswer DirectoryStore::handleObjectCall(const HttpRequest &request, const std::string &kind, const std::string &name)
{
    const Json sent = request.body.empty() ? Json::object() : Json::parse(request.body);
    const std::string target = name.empty() ? sent.at("metadata").at("name").get<std::string>() : name;
    const bool exists = objects_[kind].contains(target);
    if (request.method == "GET" || (request.method == "PUT" && !exists)) {
        return exists ? jsonAnswer(objects_[kind][target]) : jsonAnswer({{"error", "not found"}}, 404);
    }
    const bool isStale =
        request.method == "POST" ? exists : sent.at("metadata").value("revision", std::int64_t(0)) != objects_[kind][target]["metadata"]["revision"];
    if (isStale) {
        return jsonAnswer(objects_[kind][target], 409);
    }
    ++revision_;
    const Json object = {{"metadata", {{"name", target}, {"revision", revision_}}}, {"specification", sent.at("specification")}, {"status", nullptr}};
    objects_[kind][target] = object;
    changes_.push_back({kind, revision_, {{"object", object}, {"deleted", false}}});
    return jsonAnswer(object);
}

nlohmann::json DirectoryStore::specification(const std::string &kind, const std::string &name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = objects_.find(kind);
    return found != objects_.end() && found->second.contains(name) ? found->second.at(name).at("specification") : Json();
}

HttpAnswer DirectoryStore::jsonAnswer(const Json &body, int status) const
{
    std::string text = body.dump();
    for (const auto &[standIn, specification] : texts_) {
        for (std::size_t at = text.find(standIn); at != std::string::npos; at = text.find(standIn, at + specification.size())) {
            text.replace(at, standIn.size(), specification);
        }
    }
    HttpAnswer answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = text;
    return answer;
}

HttpAnswer DirectoryStore::listPage(const std::string &kind, const std::string &after) const
{
    Json items = Json::array();
    bool hasMore = false;
    if (const auto found = objects_.find(kind); found != objects_.end()) {
        for (auto entry = found->second.upper_bound(after); entry != found->second.end(); ++entry) {
            if (items.size() == PageSize) {
                hasMore = true;
                break;
            }
            items.push_back(entry->second);
        }
    }
    return jsonAnswer({{"items", items}, {"has_more", hasMore}, {"store_revision", revision_}});
}

std::optional<HttpAnswer> DirectoryStore::changesSince(const std::string &kind, std::int64_t since) const
{
    if (since < oldestRevision_) {
        return jsonAnswer({{"error", "history is gone"}}, 410);
    }
    Json events = Json::array();
    for (const Change &change : changes_) {
        if (change.kind == kind && change.revision > since) {
            events.push_back(change.event);
        }
    }
    return events.empty() ? std::nullopt : std::optional(jsonAnswer({{"events", events}, {"store_revision", revision_}}));
}

void DirectoryStore::answerPendingWatches()
{
    std::vector<std::pair<std::shared_ptr<CallerConnection>, HttpAnswer>> ready;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(pendingWatches_, [this, &ready](const PendingWatch &item) {
            const auto answer = changesSince(item.kind, item.since);
            if (answer) {
                ready.emplace_back(item.connection, *answer);
            }
            return answer.has_value();
        });
    }
    for (const auto &[connection, answer] : ready) {
        connection->answer(answer, false);
    }
}

} // namespace Cloverbarrow::Standins
