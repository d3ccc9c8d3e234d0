/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/operatorintent.h"

#include "core/intent/configurationparser.h"
#include "core/support/boundedjson.h"
#include "core/support/jsonnumber.h"

#include <nlohmann/json.hpp>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::json;

Json toJson(const AcceptedChange &change)
{
    return {
        {"id", change.id},
        {"author", change.author},
        {"reason", change.reason},
        {"time_ms", change.timeMs},
        {"what", change.description},
        {"over_version", change.baseVersion},
    };
}

AcceptedChange changeFrom(const Json &json)
{
    return {json.at("id").get<std::string>(),
            json.at("author").get<std::string>(),
            json.at("reason").get<std::string>(),
            integerFrom<std::int64_t>(json.at("time_ms")),
            json.at("what").get<std::string>(),
            integerFrom<std::int64_t>(json.at("over_version"))};
}

OperatorIntent intentFrom(std::string_view value)
{
    const Json json = parseBoundedJson(value);
    OperatorIntent intent;
    intent.document = json.at("document").get<std::string>();
    intent.drains = json.at("drains").get<std::vector<std::string>>();
    for (const Json &change : json.at("history")) {
        intent.history.push_back(changeFrom(change));
    }
    return intent;
}

Error unreadable(const std::string &message)
{
    return {ErrorCode::Invalid, "read configuration", {}, message};
}

} // namespace

std::string encodeIntent(const OperatorIntent &intent)
{
    Json history = Json::array();
    for (const AcceptedChange &change : intent.history) {
        history.push_back(toJson(change));
    }
    const Json json = {{"document", intent.document}, {"drains", intent.drains}, {"history", std::move(history)}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<OperatorIntent> decodeIntentUnchecked(std::string_view value)
{
    try {
        return intentFrom(value);
    } catch (const std::exception &exception) {
        return unreadable(exception.what());
    }
}

Result<std::shared_ptr<const ActiveIntent>> decodeIntent(std::int64_t version, std::string_view value)
{
    auto intent = decodeIntentUnchecked(value);
    if (!intent) {
        return std::move(intent).error();
    }
    auto decoded = std::make_shared<ActiveIntent>();
    decoded->version = version;
    decoded->value = std::string(value);
    decoded->intent = std::move(intent).value();
    auto parsed = parseConfiguration(decoded->intent.document);
    if (const auto *faults = std::get_if<std::vector<DocumentFault>>(&parsed)) {
        return unreadable(faults->front().toString("configuration"));
    }
    decoded->configuration = std::move(std::get<Configuration>(parsed));
    return std::shared_ptr<const ActiveIntent>(std::move(decoded));
}

} // namespace Cloverbarrow
