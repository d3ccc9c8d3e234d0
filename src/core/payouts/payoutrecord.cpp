/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/payouts/payoutrecord.h"

#include "core/support/boundedjson.h"
#include "core/support/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <array>
#include <exception>

namespace Cloverbarrow
{

namespace
{

constexpr std::array<std::string_view, 4> StateNames = {"intent", "settled", "refused", "unknown"};

std::optional<PayoutState> stateOf(const std::string &name)
{
    for (std::size_t index = 0; index < StateNames.size(); ++index) {
        if (StateNames[index] == name) {
            return static_cast<PayoutState>(index);
        }
    }
    return std::nullopt;
}

} // namespace

StoreObject payoutObject(const std::string &service, const std::string &key)
{
    // Neither part may contain a colon, so no two instructions share an object.
    return {"payout", service + ":" + key};
}

std::string_view toString(PayoutState state)
{
    return StateNames[static_cast<std::size_t>(state)];
}

std::string encodePayout(const PayoutRecord &record)
{
    const nlohmann::json json = {
        {"state", toString(record.state)},
        {"digest", record.digest},
        {"creator", {{"name", record.creator.name}, {"nonce", record.creator.nonce}}},
        {"mark", record.tryNumber},
        {"status", record.status},
        {"content_type", record.contentType},
        {"result", record.result},
        {"whole", record.isResultComplete},
    };
    // A result that is not valid UTF-8 must not prevent the record from being written; the caller gets its bytes unchanged.
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<PayoutRecord> decodePayout(std::string_view value)
{
    try {
        const auto json = parseBoundedJson(value);
        const auto state = stateOf(json.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        PayoutRecord record;
        record.state = *state;
        record.digest = json.at("digest").get<std::string>();
        record.creator = {json.at("creator").at("name").get<std::string>(), json.at("creator").at("nonce").get<std::string>()};
        record.tryNumber = integerFrom<std::uint64_t>(json.at("mark"));
        record.status = integerFrom<int>(json.at("status"));
        record.contentType = json.at("content_type").get<std::string>();
        record.result = json.at("result").get<std::string>();
        record.isResultComplete = json.at("whole").get<bool>();
        return record;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Cloverbarrow
