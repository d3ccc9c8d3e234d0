/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/random.h"
#include "core/support/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Addresses of other entry VMs to which requests can be forwarded.
struct PeerAddresses {
    std::vector<std::string> sameZone;
    std::vector<std::string> otherZones;

    bool operator==(const PeerAddresses &) const = default;
};

/// Chooses the entry VM to which a request is forwarded while this one reaches no backend server.
class ForwardingPeers
{
public:
    /// A peer that could not serve a forwarded request gets no others for this long. The time doubles with each failure in a row, up to the maximum.
    static constexpr Duration FirstPause = seconds(1);
    static constexpr int MaxPauseDoublings = 3;

    void setAddresses(PeerAddresses addresses);
    /// @param prefersOtherZones whether peers of other zones go first, since those of this zone may be partitioned as well.
    /// @return a random peer that has not failed recently; nothing if there is none.
    std::optional<std::string> choose(TimePoint now, bool prefersOtherZones, Random &random) const;
    /// The peer could not serve a request, or could not be reached.
    void markUnable(TimePoint now, const std::string &peer);
    void markAble(const std::string &peer);

private:
    struct Failure {
        int count = 0; ///< Failures in a row.
        TimePoint pausedUntil;
    };

    std::vector<std::string> usable(TimePoint now, const std::vector<std::string> &peers) const;

    PeerAddresses addresses_;
    std::map<std::string, Failure> failures_; ///< By address.
};

} // namespace Cloverbarrow
