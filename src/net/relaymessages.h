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

/// A follower's request for the changes of a collection (long poll), or for all of it.
struct CollectionUpdateRequest {
    Collection collection = Collection::Routing;
    std::int64_t since = 0; ///< Revision after which changes are wanted; 0 asks for the full list.
    Duration wait{0};

    bool operator==(const CollectionUpdateRequest &) const = default;
};

/// @return the request target of @p request.
std::string collectionUpdateTarget(const CollectionUpdateRequest &request);
/// @return the request that @p target encodes; nothing if it is not one.
std::optional<CollectionUpdateRequest> parseCollectionUpdateTarget(std::string_view target);

/// Request target at which an entry VM accepts crash updates in the request body.
constexpr std::string_view CrashUpdatesTarget = "/relay/crash-news";
/// Header of crash updates that may make a request blocked that would otherwise crash a further server. The value is not used.
constexpr const char *UrgentHeader = "Cloverbarrow-Urgent";

std::string encodeCollectionUpdate(const CollectionUpdate &update);
/// @return the update; the values of its entries are not decoded. @throws std::exception if @p text is malformed.
CollectionUpdate decodeCollectionUpdate(std::string_view text);

/// Request target at which an entry VM accepts reports on request limits in the request body, and answers with its own reports.
constexpr std::string_view LimitsTarget = "/relay/limits";

/// @param now reference time of the encoded ages.
std::string encodeLimitUpdate(TimePoint now, const LimitUpdate &update);
/// @throws std::exception if @p text is malformed.
LimitUpdate decodeLimitUpdate(TimePoint now, std::string_view text);

/// @return the request target at which a relay proves to @p follower that it is in contact with the store.
std::string proofTarget(const std::string &follower);
/// @return the follower named in @p target; nothing if it is not the target of a proof.
std::optional<std::string> parseProofTarget(std::string_view target);
/// Header of a request for a proof whose sender reports that the store answers it. The value is not used.
constexpr const char *StoreReportHeader = "Cloverbarrow-Store-Answers";
std::string encodeProof(const RelayProof &proof);
/// @throws std::exception if @p text is malformed.
RelayProof decodeProof(std::string_view text);
/// @return the body of an answer to a request for a proof. Either may be missing.
std::string encodeProofAnswer(const std::optional<RelayProof> &proof, const std::optional<RelayReferral> &referral);
/// @return the referral in such a body; nothing if it has none, as those of earlier releases. @throws std::exception if @p text is malformed.
std::optional<RelayReferral> decodeReferral(std::string_view text);

} // namespace Cloverbarrow
