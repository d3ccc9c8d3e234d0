/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "platformstandin.h"

#include "net/bootclock.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Cloverbarrow::Standins
{

namespace
{

using Json = nlohmann::json;

HttpAnswer jsonAnswer(int status, const Json &json)
{
    HttpAnswer answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = json.dump();
    return answer;
}

std::string queryValue(const std::string &query, const std::string &key)
{
    const std::string name = key + "=";
    std::size_t at = query.rfind(name, 0) == 0 ? 0 : query.find("&" + name);
    if (at == std::string::npos) {
        return "0";
    }
    at += query[at] == '&' ? 1 : 0;
    return query.substr(at + name.size(), query.find('&', at) - at - name.size());
}

std::string kindOf(const std::string &key)
{
    return key.substr(0, key.find('/'));
}

/// @return the name under which `/control/calls` counts the call.
std::string callKind(const HttpRequest &request, bool isWrite)
{
    if (isWrite) {
        return "write";
    }
    if (request.target == "/vms") {
        return "list";
    }
    const std::size_t query = request.target.find('?');
    const bool isWatch = query != std::string::npos && queryValue(request.target.substr(query + 1), "wait_ms") != "0";
    return isWatch ? "watch" : "read";
}

} // namespace

PlatformStandin::PlatformStandin(const std::string &address)
{
    CallerServerOptions options;
    options.address = address;
    server_ = std::make_unique<CallerServer>(
        options, [this](const std::shared_ptr<CallerConnection> &connection, HttpRequest request) { accept(connection, std::move(request)); });
}

PlatformStandin::~PlatformStandin() = default;

std::uint16_t PlatformStandin::port() const
{
    return server_->port();
}

void PlatformStandin::tick()
{
    const TimePoint now = bootNow();
    Replies replies;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(pendingWatches_, [&](const PendingWatch &watch) {
            if (now >= watch.until) {
                replies.push_back({watch.connection, false, jsonAnswer(304, {})});
                return true;
            }
            return watch.connection->isClosed();
        });
        std::vector<DelayedCall> due;
        std::erase_if(delayedCalls_, [&](DelayedCall &delayed) {
            if (now < delayed.at) {
                return false;
            }
            due.push_back(std::move(delayed));
            return true;
        });
        for (const DelayedCall &delayed : due) {
            handleCall(delayed.connection, delayed.request, replies);
        }
    }
    send(replies);
    server_->checkTimeouts(now);
}

void PlatformStandin::accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request)
{
    Replies replies;
    {
        const std::lock_guard lock(mutex_);
        if (request.target.starts_with("/control/")) {
            replies.push_back({connection, false, handleControl(request)});
        } else if (faults_.slowMs > 0) {
            delayedCalls_.push_back({connection, std::move(request), bootNow() + milliseconds(faults_.slowMs)});
        } else {
            handleCall(connection, request, replies);
        }
    }
    send(replies);
}

void PlatformStandin::handleCall(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, Replies &replies)
{
    const bool isWrite = request.method == "PUT" || request.method == "DELETE";
    ++callCounts_[callKind(request, isWrite)];
    if (faults_.isDown) {
        replies.push_back({connection, true, {}});
    } else if (faults_.isRejecting) {
        replies.push_back({connection, false, jsonAnswer(503, {{"error", "refusing"}})});
    } else if (!isWithinRate(isWrite, bootNow())) {
        replies.push_back({connection, false, jsonAnswer(429, {{"error", "too many calls"}})});
    } else if (request.target == "/vms") {
        replies.push_back({connection, false, jsonAnswer(200, Json::parse(vms_))});
    } else if (request.target.starts_with("/objects/")) {
        handleObjectCall(connection, request, replies);
    } else {
        replies.push_back({connection, false, jsonAnswer(404, {{"error", "no such path"}})});
    }
}

void PlatformStandin::handleObjectCall(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, Replies &replies)
{
    const std::string path = request.target.substr(std::string("/objects/").size());
    const std::size_t question = path.find('?');
    const std::string key = path.substr(0, question);
    const std::string query = question == std::string::npos ? std::string() : path.substr(question + 1);
    if (request.method == "GET") {
        read(connection, key, query, replies);
    } else {
        write(connection, key, request, replies);
    }
}

void PlatformStandin::read(const std::shared_ptr<CallerConnection> &connection, const std::string &key, const std::string &query, Replies &replies)
{
    const std::int64_t after = std::stoll(queryValue(query, "after"));
    const int waitMs = std::stoi(queryValue(query, "wait_ms"));
    const auto found = objects_.find(key);
    if (found != objects_.end() && found->second.version > after) {
        replies.push_back({connection, false, jsonAnswer(200, {{"version", found->second.version}, {"value", found->second.value}})});
    } else if (waitMs > 0) {
        pendingWatches_.push_back({connection, key, after, bootNow() + milliseconds(waitMs)});
    } else {
        replies.push_back({connection, false, jsonAnswer(found == objects_.end() ? 404 : 304, {})});
    }
}

void PlatformStandin::write(const std::shared_ptr<CallerConnection> &connection, const std::string &key, const HttpRequest &request, Replies &replies)
{
    const bool isDelete = request.method == "DELETE";
    std::int64_t expected = 0;
    std::string value;
    if (isDelete) {
        expected = std::stoll(queryValue(request.target.substr(request.target.find('?') + 1), "expected_version"));
    } else {
        const Json body = Json::parse(request.body, nullptr, false);
        if (body.is_discarded() || !body.contains("expected_version") || !body.contains("value")) {
            replies.push_back({connection, false, jsonAnswer(400, {{"error", "malformed write"}})});
            return;
        }
        expected = body["expected_version"].get<std::int64_t>();
        value = body["value"].get<std::string>();
    }
    const auto found = objects_.find(key);
    const std::int64_t current = found == objects_.end() ? 0 : found->second.version;
    const bool isApplied = current == expected && !(isDelete && current == 0);
    const std::int64_t version = isApplied ? nextVersion_++ : current;
    if (isApplied && isDelete) {
        objects_.erase(found);
    } else if (isApplied) {
        objects_[key] = {version, value};
        answerPendingWatches(key, replies);
    }
    const bool isLost = faults_.lostAnswers > 0 && (faults_.lostAnswerKind.empty() || faults_.lostAnswerKind == kindOf(key));
    faults_.lostAnswers -= isLost ? 1 : 0;
    replies.push_back({connection, isLost, jsonAnswer(isApplied ? 200 : 409, {{"version", version}})});
}

HttpAnswer PlatformStandin::handleControl(const HttpRequest &request)
{
    if (request.target == "/control/faults") {
        return setFaults(std::string(request.body));
    }
    if (request.target == "/control/vms") {
        vms_ = std::string(request.body);
        return jsonAnswer(200, {});
    }
    if (request.target == "/control/calls") {
        return jsonAnswer(200, callCounts_);
    }
    if (request.target == "/control/delayed") {
        Json json = Json::array();
        for (const DelayedCall &delayed : delayedCalls_) {
            json.push_back(delayed.request.method + " " + delayed.request.target);
        }
        return jsonAnswer(200, json);
    }
    if (request.target == "/control/objects") {
        Json json = Json::object();
        for (const auto &[key, object] : objects_) {
            json[key] = {{"version", object.version}, {"value", object.value}};
        }
        return jsonAnswer(200, json);
    }
    return jsonAnswer(404, {});
}

HttpAnswer PlatformStandin::setFaults(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return jsonAnswer(400, {});
    }
    faults_ = {};
    faults_.isDown = json.value("down", false);
    faults_.isRejecting = json.value("refusing", false);
    faults_.slowMs = json.value("slow_ms", 0);
    faults_.lostAnswers = json.value("lose_answers", 0);
    faults_.lostAnswerKind = json.value("lose_kind", std::string());
    faults_.writesPerSecond = json.value("writes_per_second", 0);
    faults_.readsPerSecond = json.value("reads_per_second", 0);
    if (faults_.isDown) {
        for (const PendingWatch &watch : pendingWatches_) {
            watch.connection->abort();
        }
        pendingWatches_.clear();
    }
    return jsonAnswer(200, {});
}

bool PlatformStandin::isWithinRate(bool isWrite, TimePoint now)
{
    const std::int64_t second = std::chrono::floor<seconds>(now.time_since_epoch()).count();
    if (second != rateSecond_) {
        rateSecond_ = second;
        writesInSecond_ = 0;
        readsInSecond_ = 0;
    }
    int &count = isWrite ? writesInSecond_ : readsInSecond_;
    const int limit = isWrite ? faults_.writesPerSecond : faults_.readsPerSecond;
    ++count;
    return limit == 0 || count <= limit;
}

void PlatformStandin::answerPendingWatches(const std::string &key, Replies &replies)
{
    const Object &object = objects_[key];
    std::erase_if(pendingWatches_, [&](const PendingWatch &watch) {
        if (watch.key != key || object.version <= watch.after) {
            return false;
        }
        replies.push_back({watch.connection, false, jsonAnswer(200, {{"version", object.version}, {"value", object.value}})});
        return true;
    });
}

void PlatformStandin::send(const Replies &replies)
{
    for (const Reply &reply : replies) {
        if (reply.isDropped) {
            reply.connection->abort();
        } else {
            reply.connection->answer(reply.answer, false);
        }
    }
}

} // namespace Cloverbarrow::Standins
