/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/rollouts/rollout.h"
#include "core/rollouts/rolloutpolicy.h"
#include "core/rollouts/versionevidence.h"
#include "core/support/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// Evidence of one sender about one running rollout.
struct RolloutReport {
    std::string service;
    std::string targetVersion;
    Duration age{0}; ///< Time since the sender first knew of the order.
    VersionEvidence evidence; ///< All answers that the sender has counted so far.

    bool operator==(const RolloutReport &) const = default;
};

/// Reports of one entry VM, or of a relay for its whole availability zone.
struct RolloutReports {
    std::string origin; ///< Address of the entry VM; with isZoneTotal, name of the zone.
    bool isZoneTotal = false;
    std::vector<RolloutReport> reports;

    bool operator==(const RolloutReports &) const = default;
};

/// Writes what was decided about a rollout, if the order still has the revision that was read.
struct WriteRolloutStatus {
    std::string service;
    std::int64_t expectedRevision = 0;
    RolloutStatus status;

    bool operator==(const WriteRolloutStatus &) const = default;
};

/// An order as read from the store, with its revision.
struct StoredRollout {
    Rollout rollout;
    std::int64_t revision = 0;
};

/// Entry VMs with which evidence is exchanged.
struct RolloutPeers {
    bool isRelay = false; ///< Whether this entry VM is a relay.
    std::string relay; ///< Address of the followed relay; empty if none is followed.
    std::vector<std::string> otherRelays; ///< Addresses of the other zones' relays.
};

/// Counts answers of rollouts' versions. Entry VMs send their counts to their relay, relays exchange the sums of their zones, and each relay can decide how a
/// rollout goes on. Its decision is a conditional write of the order's status, so any relay may take over at any time.
class RolloutCoordinator
{
public:
    struct Message {
        std::string peer;
        RolloutReports reports;
    };

    /// @param localAddress address of this entry VM. @param zone availability zone of this entry VM.
    RolloutCoordinator(std::string localAddress, std::string zone, const RolloutLimits &limits);

    /// Applies the orders in the store. @return whether any of them has changed.
    bool apply(TimePoint now, const std::vector<StoredRollout> &orders);
    /// @return how requests of @p service are divided now; nothing if there is no rollout.
    std::optional<VersionShift> shiftFor(std::string_view service) const;
    void record(const std::string &service, const VersionOutcome &outcome);
    void onReports(TimePoint now, const RolloutReports &reports);
    /// @return evidence to send now.
    std::vector<Message> takeDueMessages(TimePoint now, const RolloutPeers &peers);
    /// @return statuses to write now, if this entry VM is a relay.
    std::vector<WriteRolloutStatus> takeDueWrites(TimePoint now, const RolloutPeers &peers);

private:
    struct Order {
        StoredRollout stored;
        TimePoint knownSince; ///< May lie before the start of this process, according to other entry VMs.
        double share = 0;
        TimePoint shareChangedAt;
        VersionEvidence local; ///< Answers counted by this entry VM.
        std::map<std::string, VersionEvidence> followers; ///< By address.
        std::map<std::string, VersionEvidence> otherZones; ///< By zone.
        VersionEvidence atShareChange; ///< All evidence when the share was last changed.
        VersionEvidence sent; ///< Evidence that was last sent.
        std::optional<TimePoint> decisionDueSince; ///< Since when a decision has been due that no relay has written.
        TimePoint nextWrite;
    };

    static bool isRunning(const Order &order);
    /// @return answers counted in the zone of this entry VM.
    static VersionEvidence zoneTotal(const Order &order);
    static VersionEvidence allEvidence(const Order &order);
    std::optional<RolloutStatus> nextStatus(TimePoint now, const Order &order) const;
    /// @return the rank of this entry VM among the relays. Relays of higher ranks wait longer before they write, so that usually only one does.
    std::ptrdiff_t rankAmongRelays(const RolloutPeers &peers, const std::string &service) const;
    void applyOrder(TimePoint now, const StoredRollout &stored, bool &hasChanged);

    std::string localAddress_;
    std::string zone_;
    RolloutLimits limits_;
    std::map<std::string, Order, std::less<>> orders_; ///< By service.
    TimePoint nextMessages_;
};

} // namespace Cloverbarrow
