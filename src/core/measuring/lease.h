/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/membership/incarnation.h"
#include "core/storecall.h"
#include "core/support/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Validity of a lease, from the sending of its last confirmed renewal.
constexpr Duration LeaseDuration = seconds(15);
/// Bound on the drift between two clocks during a lease.
constexpr Duration LeaseMargin = seconds(1);
constexpr Duration RenewalInterval = seconds(5);

/// Content of a lease object in the store.
struct LeaseRecord {
    Incarnation holder;
    std::uint64_t renewal = 0; ///< Counts the renewals by this holder.
};

std::string encodeLease(const LeaseRecord &record);
std::optional<LeaseRecord> decodeLease(std::string_view value);
/// @return the lease object of the entry VM called @p name.
StoreObject leaseObject(const std::string &name);

/// The lease of this entry VM: one object in the store, renewed by conditional writes. The holder considers it valid until LeaseDuration - LeaseMargin
/// after it sent the last confirmed renewal.
class Lease
{
public:
    explicit Lease(Incarnation self);

    /// @return the store call that is due, if any.
    std::optional<StoreCall> due(TimePoint now);
    /// Handles the result of the last call returned by due().
    void handleResult(TimePoint now, const StoreResult &result);
    bool isValid(TimePoint now) const;
    /// @return how often another writer has replaced or deleted the lease object. Everything held under the lease is lost each time.
    std::uint64_t losses() const;

private:
    void markRenewed(std::int64_t version);
    void markLost();

    Incarnation self_;
    std::optional<std::int64_t> version_; ///< Last known version of the object; 0 if the object does not exist.
    std::uint64_t renewal_ = 0;
    TimePoint sentAt_; ///< When the last renewal was sent.
    bool isCallPending_ = false; ///< A store call is in flight.
    bool isVerifyingWrite_ = false; ///< A read must show whether the last renewal took effect, since its result is unknown.
    std::optional<TimePoint> validUntil_;
    bool isHeld_ = false; ///< Whether a renewal was confirmed and no other writer has been seen since.
    TimePoint nextAt_;
    std::uint64_t losses_ = 0;
};

} // namespace Cloverbarrow
