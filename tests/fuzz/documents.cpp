/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/configurationparser.h"
#include "core/intent/operatorintent.h"
#include "core/measuring/lease.h"
#include "core/measuring/sharetable.h"
#include "core/payouts/payoutrecord.h"
#include "daemon/settings.h"
#include "decoders.h"

#include <array>
#include <string>

namespace Cloverbarrow::Tests
{

namespace
{

template<typename Value>
void requireResult(const std::variant<Value, std::vector<DocumentFault>> &parsed)
{
    if (const auto *faults = std::get_if<std::vector<DocumentFault>>(&parsed)) {
        require(!faults->empty(), "a rejected document has a fault");
        for (const DocumentFault &fault : *faults) {
            fault.toString("file");
        }
    }
}

void decodeSettings(std::string_view text)
{
    requireResult(parseSettings(text));
}

void decodeConfiguration(std::string_view text)
{
    requireResult(parseConfiguration(text));
}

void decodeOperatorIntent(std::string_view text)
{
    static_cast<void>(decodeIntent(1, text));
    if (const auto intent = decodeIntentUnchecked(text)) {
        const auto again = decodeIntentUnchecked(encodeIntent(intent.value()));
        require(again && again.value() == intent.value(), "intents are encoded as decoded");
    }
}

void decodePayoutRecord(std::string_view text)
{
    if (const auto record = decodePayout(text)) {
        require(decodePayout(encodePayout(*record)) == record, "records of payouts are encoded as decoded");
    }
}

void decodeShareTable(std::string_view text)
{
    if (const auto table = decodeShares(text)) {
        require(decodeShares(encodeShares(*table)) == table, "tables of shares are encoded as decoded");
    }
}

void decodeLeaseRecord(std::string_view text)
{
    if (const auto lease = decodeLease(text)) {
        const auto again = decodeLease(encodeLease(*lease));
        require(again && again->holder == lease->holder && again->renewal == lease->renewal, "leases are encoded as decoded");
    }
}

} // namespace

void decodeDocument(std::string_view input)
{
    constexpr std::array Decoders = {&decodeSettings, &decodeConfiguration, &decodeOperatorIntent, &decodePayoutRecord, &decodeShareTable, &decodeLeaseRecord};
    decodeWith(Decoders, input);
}

} // namespace Cloverbarrow::Tests
