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

/// @return the platform's object that holds the record of the instruction under @p key.
StoreObject payoutObject(const std::string &service, const std::string &key);

/// How far a payout instruction has come.
enum class PayoutState {
    Intent, ///< It may be sent, or have been sent, by its creator only.
    Settled, ///< Its answer is recorded.
    Refused, ///< Its creator certainly did not send it.
    Unknown, ///< It was sent and its answer was lost.
};

/// What the platform keeps of one payout instruction.
struct PayoutRecord {
    PayoutState state = PayoutState::Intent;
    std::string digest;
    Incarnation creator;
    std::uint64_t mark = 0; ///< The creator's own number of the try.
    int status = 0;
    std::string contentType;
    std::string result;
    bool isResultWhole = true; ///< False when the answer was too long to keep.

    bool operator==(const PayoutRecord &) const = default;
};

/// @return the word for @p state in records and reports.
std::string_view toString(PayoutState state);

std::string encodePayout(const PayoutRecord &record);

/// @return the record in @p value, or nothing when it is not one.
std::optional<PayoutRecord> decodePayout(std::string_view value);

} // namespace Cloverbarrow
