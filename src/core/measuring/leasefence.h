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
#include <map>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Makes sure that the leases of unresponsive holders have expired. A lease object that has not changed for LeaseDuration + LeaseMargin by the local
/// clock is deleted on condition of its version, so that a delayed renewal cannot take effect afterwards.
class LeaseFence
{
public:
    /// Observes the lease of @p holder from the first call on. @return whether it has certainly expired.
    bool isExpired(TimePoint now, const Incarnation &holder);
    /// Stops observing the lease of @p holder, because the holder is responsive again.
    void stopObserving(const Incarnation &holder);
    /// Adds the store calls that are due.
    void tick(TimePoint now, std::vector<StoreCall> &calls);
    /// Handles the result of a store call for the lease object of the entry VM called @p name.
    void handleResult(TimePoint now, const std::string &name, const StoreResult &result);

private:
    struct Observation {
        bool hasBeenRead = false; ///< The object has been read; `version` and `nonce` are valid.
        std::int64_t version = 0;
        std::string nonce; ///< Identifies the process that wrote the last renewal.
        TimePoint unchangedSince; ///< Start of the observation or time of the last observed change.
        bool isCallPending = false; ///< A store call is in flight.
        bool isFencing = false; ///< The lease time had passed when the call in flight was sent, so its result decides.
        bool isExpired = false; ///< The lease has certainly expired.
    };

    void applyObject(TimePoint now, const Incarnation &holder, Observation &observation, const StoreFound &object);

    std::map<Incarnation, Observation> observations_;
};

} // namespace Cloverbarrow
