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

/// Makes sure that silent holders hold their leases no more. A lease object that has stood unchanged for the whole
/// lease and its margin, on the own clock, is deleted on condition of its version, so that no renewal on
/// its way can take effect any more.
class LeaseFence
{
public:
    /// Starts, or goes on, watching the lease of @p holder. @return whether it is certainly over.
    bool isOver(TimePoint now, const Incarnation &holder);
    /// The holder has been heard of; its lease is its own affair again.
    void forget(const Incarnation &holder);
    /// Adds the calls that are due.
    void tick(TimePoint now, std::vector<StoreCall> &calls);
    /// Takes the platform's answer about the lease object of the entry VM called @p name.
    void answered(TimePoint now, const std::string &name, const StoreResult &result);

private:
    struct Observation {
        bool isSeen = false;
        std::int64_t version = 0;
        std::string nonce; ///< Of the process whose renewal the object holds.
        TimePoint since; ///< Since when it has stood unchanged.
        bool isAsking = false;
        bool isFencing = false; ///< The question under way decides.
        bool isOver = false;
    };

    void found(TimePoint now, const Incarnation &holder, Observation &observation, const StoreFound &object);

    std::map<Incarnation, Observation> observations_;
};

} // namespace Cloverbarrow
