/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/httpplatformclient.h"

#include "core/support/boundedjson.h"
#include "core/support/httpstatus.h"
#include "core/support/jsonnumber.h"
#include "core/support/text.h"

#include <nlohmann/json.hpp>

#include <exception>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::json;

constexpr Duration CallTimeout = seconds(1);
constexpr Duration WatchTimeoutMargin = seconds(2);

std::string targetOf(const StoreObject &object)
{
    return "/objects/" + percentEncoded(object.kind) + "/" + percentEncoded(object.name);
}

std::optional<StoreFound> parseObject(const HttpAnswer &answer)
{
    try {
        const Json json = parseBoundedJson(answer.body);
        return StoreFound{integerFrom<std::int64_t>(json.at("version")), json.value("value", std::string())};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

StoreResult writeResult(const HttpOutcome &outcome)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        return failure->wasSent ? StoreResult(StoreOutcomeUnknown{}) : StoreResult(StoreUnavailable{});
    }
    const auto &answer = std::get<HttpAnswer>(outcome);
    if (answer.status == HttpStatus::Ok) {
        const auto found = parseObject(answer);
        return found ? StoreResult(StoreWritten{found->version}) : StoreResult(StoreOutcomeUnknown{});
    }
    if (answer.status == HttpStatus::Conflict) {
        return StoreConflict{};
    }
    // Rejections for overload guarantee that nothing was written; after any other answer that is unknown.
    const bool isOverload = answer.status == 429 || answer.status == 503;
    return isOverload ? StoreResult(StoreUnavailable{}) : StoreResult(StoreOutcomeUnknown{});
}

StoreResult readResult(const HttpOutcome &outcome)
{
    if (const auto *answer = std::get_if<HttpAnswer>(&outcome)) {
        if (answer->status == HttpStatus::NotFound) {
            return StoreMissing{};
        }
        if (answer->status == HttpStatus::Ok) {
            if (auto found = parseObject(*answer)) {
                return std::move(*found);
            }
        }
    }
    return StoreUnavailable{};
}

WatchResult watchResult(const HttpOutcome &outcome)
{
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    if (!answer) {
        return {};
    }
    if (answer->status == HttpStatus::Ok) {
        auto found = parseObject(*answer);
        return {found.has_value(), std::move(found)};
    }
    return {answer->status == HttpStatus::NotModified || answer->status == HttpStatus::NotFound, std::nullopt};
}

VmListResult vmListResult(const HttpOutcome &outcome)
{
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    if (!answer || answer->status != HttpStatus::Ok) {
        return {};
    }
    try {
        VmListResult result{true, {}};
        const Json json = parseBoundedJson(answer->body);
        for (const Json &vm : json.at("vms")) {
            result.vms.push_back({vm.at("name").get<std::string>(), vm.value("peer_address", std::string()), vm.at("state").get<std::string>() == "leaving"});
        }
        return result;
    } catch (const std::exception &) {
        return {};
    }
}

} // namespace

HttpPlatformClient::HttpPlatformClient(std::string address, const std::shared_ptr<MemoryBudget> &memory)
    : address_(std::move(address))
    , client_(1, memory)
{
}

void HttpPlatformClient::call(StoreCall call, std::function<void(StoreResult)> done)
{
    const std::string target = targetOf(call.object);
    if (std::holds_alternative<StoreRead>(call.operation)) {
        send("GET", target, {}, CallTimeout, [done = std::move(done)](const HttpOutcome &outcome) { done(readResult(outcome)); });
        return;
    }
    auto finish = [done = std::move(done)](const HttpOutcome &outcome) { done(writeResult(outcome)); };
    if (const auto *write = std::get_if<StoreWrite>(&call.operation)) {
        const Json body = {{"expected_version", write->expectedVersion}, {"value", write->value}};
        send("PUT", target, body.dump(-1, ' ', false, Json::error_handler_t::replace), CallTimeout, std::move(finish));
    } else {
        const auto version = std::get<StoreDelete>(call.operation).expectedVersion;
        send("DELETE", target + "?expected_version=" + std::to_string(version), {}, CallTimeout, std::move(finish));
    }
}

void HttpPlatformClient::watch(const StoreObject &object, std::int64_t afterVersion, Duration wait, std::function<void(WatchResult)> done)
{
    const auto waitMs = static_cast<std::int64_t>(toMilliseconds(wait));
    const std::string target = targetOf(object) + "?after=" + std::to_string(afterVersion) + "&wait_ms=" + std::to_string(waitMs);
    send("GET", target, {}, wait + WatchTimeoutMargin, [done = std::move(done)](const HttpOutcome &outcome) { done(watchResult(outcome)); });
}

void HttpPlatformClient::listVms(std::function<void(VmListResult)> done)
{
    send("GET", "/vms", {}, CallTimeout, [done = std::move(done)](const HttpOutcome &outcome) { done(vmListResult(outcome)); });
}

std::uint64_t HttpPlatformClient::calls() const
{
    return nextId_.load() - 1;
}

void HttpPlatformClient::stop()
{
    client_.stop();
}

void HttpPlatformClient::send(std::string method, std::string target, std::string body, Duration timeout, HttpCallback done)
{
    HttpCall call;
    call.address = address_;
    call.request.method = std::move(method);
    call.request.target = std::move(target);
    call.request.body = std::move(body);
    if (!call.request.body.empty()) {
        call.request.headers.push_back({"Content-Type", "application/json"});
    }
    call.timeout = timeout;
    // A new connection for each call: the platform is not known to echo an exchange tag, and without one a stray answer on a reused
    // connection could be taken for the answer to this call.
    call.mayReuseConnection = false;
    client_.start(nextId_++, std::move(call), std::move(done));
}

} // namespace Cloverbarrow
