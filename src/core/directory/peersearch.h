/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/forwardingpeers.h"
#include "core/support/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Chooses which entry VMs are asked for a relay while the known relays have no recent proof. Peers answer without a call to the store, from which this
/// entry VM may be partitioned.
class PeerSearch
{
public:
    /// Interval between questions, each to a few peers, for as long as no relay has a recent proof.
    static constexpr Duration Interval = milliseconds(800);
    /// Peers of this availability zone that are asked at a time.
    static constexpr std::size_t SameZonePeers = 2;
    /// Peers of other availability zones that are asked at a time. Fewer, since traffic between zones is billed.
    static constexpr std::size_t OtherZonePeers = 1;

    /// Adds peers. Those known before are kept up to a limit, since a partitioned relay soon forgets followers that have found another one.
    void addPeers(const PeerAddresses &peers);
    /// @param excluded addresses that are checked anyway. @return the peers to ask now, which count as asked; empty before the next question is due.
    std::vector<std::string> takeDue(TimePoint now, const std::vector<std::string> &excluded);
    /// A relay that a peer has named is asked.
    void addAsked(const std::string &address);
    /// @return whether @p address has been asked and has not answered before. It counts as answered.
    bool takeAnswered(const std::string &address);
    /// The next question is due at once, for a new search.
    void reset();

private:
    /// Chooses the next @p count addresses of @p peers by turns.
    void choose(const std::vector<std::string> &peers, std::size_t count, const std::vector<std::string> &excluded, std::vector<std::string> &chosen);

    PeerAddresses peers_;
    std::vector<std::string> asked_;
    std::size_t turn_ = 0;
    TimePoint nextAt_;
};

} // namespace Cloverbarrow
