/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"
#include "core/support/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Estimates the number of entry VMs in the fleet, by which shared budgets are divided. A relay counts the followers that send it requests.
/// Each availability zone gets an equal part of a budget and divides it among its entry VMs, so the shares add up whatever the zones' sizes.
/// The estimate is biased upwards: it increases at once and decreases with a delay.
class FleetEstimate
{
public:
    /// @param zones number of availability zones with entry VMs.
    explicit FleetEstimate(int zones);

    static constexpr std::size_t MaxPeers = 8;
    /// Interval at which followers receive their selection of peers. Each proof would cost 160 bytes more.
    static constexpr Duration PeersInterval = seconds(2);

    /// A rank expires if the relay has not confirmed it for this long. Shorter than the time for which the relay reserves it.
    static constexpr Duration RankLifetime = FleetRankLifetime;

    void setZones(int zones);
    /// On a relay: another entry VM of the zone has sent a request. @return its rank; empty until the zone has been counted long enough.
    std::optional<FleetRank> onFollowerRequest(TimePoint now, const std::string &follower);
    /// On a relay: @return the rank of this entry VM; empty until the zone has been counted long enough.
    std::optional<FleetRank> localRank(TimePoint now);
    /// This entry VM is not a relay (any more).
    void stopCounting();
    /// @return addresses of the entry VMs that have recently sent requests to this relay.
    std::vector<std::string> followers() const;
    /// @return addresses of the followers with the lowest ranks, which replace this relay for exchanges of reports when it does not answer.
    std::vector<std::string> standbys(TimePoint now) const;
    /// @return up to MaxPeers followers, a different selection for each @p requester, so that what all of them send is spread evenly.
    std::vector<std::string> peersFor(const std::string &requester) const;
    /// @return whether peersFor() is to be sent to the follower again. If so, it counts as sent.
    bool takePeersDue(TimePoint now, const std::string &follower);
    /// @return number of entry VMs in the zone as counted by this relay, itself included.
    int countedInZone(TimePoint now) const;

    /// Updates the estimate from a new count. @param inZone number of entry VMs in the zone. @return whether entryVms() has changed.
    bool update(TimePoint now, int inZone);
    int entryVms() const;

private:
    struct Follower {
        TimePoint lastRequestAt; ///< When it last sent a request.
        int rank = 0;
        std::optional<TimePoint> peersSentAt;
    };

    /// @return the rank @p number with the state of the other ranks; empty until the zone has been counted long enough.
    std::optional<FleetRank> rankAs(TimePoint now, int number) const;
    /// Releases the ranks of followers that no longer send requests.
    void releaseRanks(TimePoint now);
    /// @return for each rank whether it is assigned.
    std::vector<bool> rankAssignments() const;
    /// @return the lowest unused rank.
    int lowestFreeRank() const;
    /// Renumbers the ranks if some have been unused for a while.
    void compactRanks(TimePoint now);
    /// @return number of ranks, assigned or not.
    int rankCount() const;
    bool hasCountedLongEnough(TimePoint now) const;

    int zones_;
    std::map<std::string, Follower> followers_; ///< By address.
    std::optional<TimePoint> countingSince_;
    std::optional<TimePoint> gapsSince_; ///< Since when there are unused ranks; empty if there are none.
    int entryVms_;
    std::optional<TimePoint> noDecreaseBefore_; ///< The estimate does not decrease before this time.
};

} // namespace Cloverbarrow
