/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"

#include <map>
#include <optional>
#include <string>

namespace Cloverbarrow
{

/// Decides how long a newly started entry VM waits for crash reports before it serves requests. They come from the store and, since the store may lack the
/// latest ones, from peers. The wait ends when each requested peer has sent its updates, has none or cannot be reached, and after 0.3 s at the latest.
class InitialCrashReports
{
public:
    /// @param localAddress relay address of this entry VM; if empty, there are no peers.
    explicit InitialCrashReports(std::string localAddress);

    /// The leader record was read. @param leader address of the zone's relay; may be empty. @return whether its crash updates are to be requested now.
    bool leaderKnown(const std::string &leader);
    /// The crash updates of @p peer were requested.
    void requested(const std::string &peer);
    /// A request for the crash updates of a peer has been answered or has failed.
    void answered(const CrashUpdatesAnswered &answer);
    /// The crash updates of @p peer have arrived.
    void received(const std::string &peer);
    /// @return once: whether the leader record has to be read to find a peer.
    bool takeLeaderReadDue();
    /// Call while everything else that is needed to serve requests is complete. @param isStoreRead whether the store's crash reports have been read.
    /// @return whether the wait is over.
    bool update(TimePoint now, bool isStoreRead);
    /// Requests are served now; later answers have no effect.
    void finish();
    /// @return whether the wait is over, or all crash reports are known.
    bool isOver(bool isStoreRead) const;

private:
    /// @return whether no peer's updates are missing.
    bool hasPeerReports() const;

    std::string localAddress_;
    std::string leader_; ///< As last read; empty while unknown.
    std::map<std::string, int> pendingRequests_; ///< Number of unanswered requests by peer.
    bool hasNoOtherLeader_ = false;
    bool hasRequested_ = false;
    bool hasRequestedLeaderRead_ = false;
    bool isOver_ = false;
    std::optional<TimePoint> startedAt_; ///< When everything else was complete.
};

} // namespace Cloverbarrow
