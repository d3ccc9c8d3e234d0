/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <map>
#include <optional>
#include <string>

namespace Cloverbarrow
{

/// How many entry VMs there are, as far as this one can know, for cutting budgets that all of them share. A relay
/// counts those that ask it. Each availability zone takes an equal part of a budget and its entry VMs share that, so the
/// parts of all add up whatever the zones' sizes. Errs towards many: it rises at once and falls late.
class FleetEstimate
{
public:
    /// @param zones availability zones with entry VMs.
    explicit FleetEstimate(int zones);

    void setZones(int zones);
    /// Another entry VM of the zone asked this one, which relays.
    void followerAsked(TimePoint now, const std::string &follower);
    /// @return entry VMs of the zone, with this one, as its relay counts them.
    int countedInZone(TimePoint now) const;

    /// @param inZone entry VMs of the zone. @return whether entryVms() has changed.
    bool told(TimePoint now, int inZone);
    int entryVms() const;

private:
    int zones_;
    std::map<std::string, TimePoint> followers_; ///< When each last asked.
    int entryVms_;
    std::optional<TimePoint> heldUntil_; ///< Before then the estimate does not fall.
};

} // namespace Cloverbarrow
