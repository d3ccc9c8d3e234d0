/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/measuring/lease.h"

#include "core/support/boundedjson.h"
#include "core/support/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <exception>

namespace Cloverbarrow
{

namespace
{
constexpr Duration RetryDelay = seconds(1);
}

std::string encodeLease(const LeaseRecord &record)
{
    return nlohmann::json{{"name", record.holder.name}, {"nonce", record.holder.nonce}, {"renewal", record.renewal}}.dump();
}

std::optional<LeaseRecord> decodeLease(std::string_view value)
{
    try {
        const auto json = parseBoundedJson(value);
        return LeaseRecord{{json.at("name").get<std::string>(), json.at("nonce").get<std::string>()}, integerFrom<std::uint64_t>(json.at("renewal"))};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

StoreObject leaseObject(const std::string &name)
{
    return {"lease", name};
}

Lease::Lease(Incarnation self)
    : self_(std::move(self))
{
}

std::optional<StoreCall> Lease::due(TimePoint now)
{
    if (isCallPending_ || now < nextAt_) {
        return std::nullopt;
    }
    isCallPending_ = true;
    const StoreObject object = leaseObject(self_.name);
    if (!version_ || isVerifyingWrite_) {
        return StoreCall{object, StoreRead{}};
    }
    sentAt_ = now;
    ++renewal_;
    return StoreCall{object, StoreWrite{*version_, encodeLease({self_, renewal_})}};
}

void Lease::handleResult(TimePoint now, const StoreResult &result)
{
    isCallPending_ = false;
    nextAt_ = now;
    if (const auto *written = std::get_if<StoreWritten>(&result)) {
        markRenewed(written->version);
    } else if (const auto *found = std::get_if<StoreFound>(&result)) {
        const auto record = decodeLease(found->value);
        const bool isHeldByThis = record && record->holder == self_;
        if (isVerifyingWrite_ && isHeldByThis && record->renewal == renewal_) {
            markRenewed(found->version);
        } else {
            if (!isHeldByThis && isHeld_) {
                markLost();
            }
            version_ = found->version;
        }
        isVerifyingWrite_ = false;
    } else if (std::holds_alternative<StoreMissing>(result)) {
        if (isHeld_) {
            markLost();
        }
        version_ = 0;
        isVerifyingWrite_ = false;
    } else if (std::holds_alternative<StoreConflict>(result)) {
        markLost();
        version_.reset();
    } else if (std::holds_alternative<StoreOutcomeUnknown>(result)) {
        isVerifyingWrite_ = true;
    } else {
        nextAt_ = now + RetryDelay;
    }
}

bool Lease::isValid(TimePoint now) const
{
    return validUntil_ && now < *validUntil_;
}

std::uint64_t Lease::losses() const
{
    return losses_;
}

void Lease::markRenewed(std::int64_t version)
{
    version_ = version;
    validUntil_ = sentAt_ + LeaseDuration - LeaseMargin;
    isHeld_ = true;
    nextAt_ = sentAt_ + RenewalInterval;
}

void Lease::markLost()
{
    validUntil_.reset();
    isHeld_ = false;
    ++losses_;
}

} // namespace Cloverbarrow
