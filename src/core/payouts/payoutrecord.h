/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/membership/incarnation.h"
#include "core/storecall.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// @return the name of the platform object that holds the record of the instruction with the idempotency key @p key.
StoreObject payoutObject(const std::string &service, const std::string &key);

/// State of a payout instruction.
enum class PayoutState {
    Intent, ///< Its creator may send it or have sent it; nobody else may.
    Settled, ///< Its answer is stored in the record.
    Refused, ///< Its creator certainly did not send it.
    Unknown, ///< It was sent, but its answer was lost.
};

/// Record of one payout instruction in the platform's store.
struct PayoutRecord {
    PayoutState state = PayoutState::Intent;
    std::string digest;
    Incarnation creator;
    std::uint64_t tryNumber = 0; ///< Number that the creator gave to this try; unique within its process.
    int status = 0;
    std::string contentType;
    std::string result;
    bool isResultComplete = true; ///< False when the answer was too long to be stored.

    bool operator==(const PayoutRecord &) const = default;
};

/// @return the name of @p state in records and reports.
std::string_view toString(PayoutState state);

std::string encodePayout(const PayoutRecord &record);

/// @return the record in @p value, or nothing when it cannot be parsed.
std::optional<PayoutRecord> decodePayout(std::string_view value);

} // namespace Cloverbarrow
