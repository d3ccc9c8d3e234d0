/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"

#include <optional>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// A follower's question for news of a collection.
struct NewsRequest {
    Collection collection = Collection::Routing;
    std::int64_t since = 0; ///< 0 asks for a whole list.
    Duration wait{0};

    bool operator==(const NewsRequest &) const = default;
};

/// @return the request target of @p request.
std::string newsTarget(const NewsRequest &request);
/// @return the request in @p target, if it is one.
std::optional<NewsRequest> parseNewsTarget(std::string_view target);

/// The request target under which an entry VM takes crash news, as the body of the request.
constexpr std::string_view CrashNewsTarget = "/relay/crash-news";

std::string encodeNews(const DirectoryNews &news);
/// @return the news; entries have their texts only. @throws std::exception when it is of another form.
DirectoryNews decodeNews(std::string_view text);

/// The request target under which an entry VM takes reports on request limits, as the body of the request, and answers with its own.
constexpr std::string_view LimitsTarget = "/relay/limits";

/// @param now by which ages are told.
std::string encodeLimitUpdate(TimePoint now, const LimitUpdate &update);
/// @throws std::exception when it is of another form.
LimitUpdate decodeLimitUpdate(TimePoint now, std::string_view text);

/// @return the request target under which a relay shows @p follower that it hears from the store.
std::string proofTarget(const std::string &follower);
/// @return the follower in @p target, if it asks for that.
std::optional<std::string> parseProofTarget(std::string_view target);
std::string encodeProof(const RelayProof &proof);
/// @throws std::exception when it is of another form.
RelayProof decodeProof(std::string_view text);

} // namespace Cloverbarrow
