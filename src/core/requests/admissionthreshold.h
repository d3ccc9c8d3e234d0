/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/capacityestimate.h"
#include "core/support/time.h"

#include <compare>
#include <map>
#include <optional>

namespace Cloverbarrow
{

/// Rank of a request when capacity is scarce; the least is admitted first.
struct AdmissionRank {
    int priority = 0; ///< 0 is the most urgent.
    bool isLate = false; ///< Misses its latency objective whichever server it is sent to.
    bool isExcess = false; ///< Exceeds the part of the capacity that its workspace usually takes.
    bool isNew = true; ///< The caller has not been refused before.

    auto operator<=>(const AdmissionRank &) const = default;
};

/// Decides under shortage which requests are refused on arrival: those with the greatest rank, and as many as the capacity requires. All entry VMs of a
/// service see about the same load reports, and therefore converge to about the same threshold without exchanging messages.
class AdmissionThreshold
{
public:
    /// Adapts the admitted fraction to newly received reports. Without an estimate it returns to 1.
    void adapt(TimePoint now, const std::optional<Capacity> &capacity);
    /// Counts an arriving request. @param objective its latency objective. @param workMs its expected service time in milliseconds.
    void countArrival(TimePoint now, const AdmissionRank &rank, Duration objective, double workMs);
    /// @param uniform random number from 0 to 1, which decides about requests at the threshold. @return whether a request is admitted.
    bool admits(const AdmissionRank &rank, double uniform) const;
    /// @return fraction of the arriving work that is admitted; 1 without shortage.
    double admittedFraction() const;
    /// @return whether there was a shortage within the last seconds.
    bool isShortage(TimePoint now) const;
    /// @return the shortest latency objective of requests that arrived within the last seconds.
    Duration shortestObjective() const;

private:
    /// @return whether requests with a better rank than those at the threshold arrive, for which free capacity is reserved.
    bool hasBetterThanThreshold() const;
    double totalWork() const;

    std::map<Duration, TimePoint> objectives_; ///< Time of the latest arrival by latency objective.
    double admittedFraction_ = 1;
    bool hasSurplus_ = true; ///< The last estimate showed more free capacity than is reserved.
    std::optional<TimePoint> adaptedAt_;
    std::optional<TimePoint> lastShortageAt_; ///< When the admitted fraction was last below 1.
    TimePoint countedAt_;
    std::map<AdmissionRank, double> arrivedWork_; ///< Recently arrived work in milliseconds, with exponential decay.
};

} // namespace Cloverbarrow
