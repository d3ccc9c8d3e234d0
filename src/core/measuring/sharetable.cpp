/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/measuring/sharetable.h"

#include "core/support/boundedjson.h"

#include <nlohmann/json.hpp>

#include <exception>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::json;

Json toJson(const ShareHolder &holder)
{
    return {{"name", holder.id.name}, {"nonce", holder.id.nonce}, {"address", holder.address}};
}

ShareHolder holderFrom(const Json &json)
{
    return {{json.at("name").get<std::string>(), json.at("nonce").get<std::string>()}, json.at("address").get<std::string>()};
}

} // namespace

std::size_t shareCount(int probes)
{
    return static_cast<std::size_t>(probes / ProbesPerShare);
}

StoreObject shareTableObject(const std::string &service)
{
    return {"measuring", service};
}

std::string encodeShares(const ShareTable &table)
{
    Json shares = Json::array();
    for (const Share &share : table.shares) {
        shares.push_back({{"holder", toJson(share.holder)}, {"unconfirmed", toJson(share.unconfirmed)}});
    }
    return Json{{"shares", std::move(shares)}}.dump();
}

std::optional<ShareTable> decodeShares(std::string_view value)
{
    try {
        ShareTable table;
        const Json json = parseBoundedJson(value);
        for (const Json &share : json.at("shares")) {
            table.shares.push_back({holderFrom(share.at("holder")), holderFrom(share.at("unconfirmed"))});
        }
        return table;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Cloverbarrow
