/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"
#include "core/support/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

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

    /// An entry VM that was not told its place for so long has none any more. Shorter than a place is kept for it.
    static constexpr Duration PlaceLasts = FleetPlaceLifetime;

    void setZones(int zones);
    /// Another entry VM of the zone asked this one, which relays. @return its place; nothing before the zone was counted for some time.
    std::optional<FleetPlace> followerAsked(TimePoint now, const std::string &follower);
    /// @return the place of this entry VM, which relays; nothing as above.
    std::optional<FleetPlace> ownPlace(TimePoint now);
    /// This entry VM does not relay.
    void stopCounting();
    /// @return addresses of the entry VMs that have asked this one lately.
    std::vector<std::string> followers() const;
    /// @return addresses of the followers that stand in for this relay when it does not answer: those with the lowest places.
    std::vector<std::string> standbys(TimePoint now) const;
    /// @return entry VMs of the zone, with this one, as its relay counts them.
    int countedInZone(TimePoint now) const;

    /// @param inZone entry VMs of the zone. @return whether entryVms() has changed.
    bool told(TimePoint now, int inZone);
    int entryVms() const;

private:
    struct Follower {
        TimePoint askedAt; ///< The last time.
        int place = 0;
    };

    /// @return the lowest place that nobody has.
    int freePlace() const;
    /// Takes out places that nobody has had for some time.
    void closeGaps(TimePoint now);
    /// @return how many places there are. One more moves the senders of few servers, and one that nobody has would leave their shares unused.
    int places() const;
    bool hasCounted(TimePoint now) const;

    int zones_;
    std::map<std::string, Follower> followers_; ///< By address.
    std::optional<TimePoint> countingSince_;
    std::optional<TimePoint> gapsSince_; ///< Since then there are places that nobody has.
    int entryVms_;
    std::optional<TimePoint> heldUntil_; ///< Before then the estimate does not fall.
};

} // namespace Cloverbarrow
