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

/// How long a confirmed renewal lasts, and how far two clocks may drift apart in that time.
constexpr Duration LeaseDuration = seconds(15);
constexpr Duration LeaseMargin = seconds(1);
constexpr Duration RenewalInterval = seconds(5);

/// What a lease object says.
struct LeaseContent {
    Incarnation holder;
    std::uint64_t renewal = 0;
};

std::string encodeLease(const LeaseContent &content);
std::optional<LeaseContent> decodeLease(std::string_view value);
/// @return the lease object of the entry VM called @p name.
StoreObject leaseObject(const std::string &name);

/// The own lease of this entry VM: one object, renewed by conditional writes. It counts only until
/// the sending of the last confirmed renewal + LeaseDuration - LeaseMargin.
class Lease
{
public:
    explicit Lease(Incarnation self);

    /// @return the call that is due, if any.
    std::optional<StoreCall> due(TimePoint now);
    /// Takes the answer to the last call of due().
    void answered(TimePoint now, const StoreResult &result);
    bool isValid(TimePoint now) const;
    /// Counts how often another writer took the lease away; what was held under it is gone.
    std::uint64_t losses() const;

private:
    void confirmed(std::int64_t version);
    void taken();

    Incarnation self_;
    std::optional<std::int64_t> version_; ///< Known version of the object; 0 when there is none.
    std::uint64_t renewal_ = 0;
    TimePoint sentAt_;
    bool isAsking_ = false;
    bool isReadingBack_ = false;
    std::optional<TimePoint> validUntil_;
    bool isHeld_ = false; ///< Since a renewal was confirmed and until another writer takes the object.
    TimePoint nextAt_;
    std::uint64_t losses_ = 0;
};

} // namespace Cloverbarrow
