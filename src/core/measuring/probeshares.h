/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/measuring/lease.h"
#include "core/measuring/leasefence.h"
#include "core/measuring/sharetable.h"
#include "core/membership/membership.h"
#include "core/storecall.h"
#include "core/support/random.h"
#include "core/support/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// The probe budget of one service.
struct ServiceProbeBudget {
    std::string service;
    int probes = 0; ///< Maximum number of probes in any window.
    Duration window = seconds(1);
};

/// Permission to make one probe now, issued for a share.
struct ProbePermit {
    std::string service;
    int share = 0;

    bool operator==(const ProbePermit &) const = default;
};

/// The shares of the probe budgets that this entry VM holds. Each share allows its holder one probe at a time, with a whole window between two
/// probes. Each share also reserves one probe for a paused former holder, so the budget is never exceeded when holders start, stop, pause or resume.
class ProbeShares
{
public:
    explicit ProbeShares(ShareHolder self);

    void configure(const std::vector<ServiceProbeBudget> &budgets);
    /// Adds the store calls that are due and permits for the probes that are allowed.
    void tick(TimePoint now, const Membership &members, Random &random, std::vector<StoreCall> &calls, std::vector<ProbePermit> &permits);
    /// Handles the result of a store call; results for objects of other classes are ignored.
    void handleStoreResult(TimePoint now, const StoreObject &object, const StoreResult &result, const Membership &members, Random &random);
    void probeFinished(TimePoint now, const std::string &service, int share);
    /// The permit for the share was not used.
    void permitReturned(TimePoint now, const std::string &service, int share);
    /// Starts to release all shares, at shutdown.
    void startRelease();
    /// @return whether this entry VM still holds a share or has a probe for one in flight.
    bool holdsAny() const;
    std::size_t heldCount(const std::string &service) const;
    bool isLeaseValid(TimePoint now) const;

private:
    struct HeldShare {
        TimePoint nextAllowed; ///< When the next permit may be issued.
        bool isInUse = false; ///< A permit has been issued and its probe has not finished.
        bool isRevoked = false; ///< No longer held by this entry VM; kept until its probe has finished.
    };

    struct ServiceState {
        ServiceProbeBudget budget;
        std::map<int, HeldShare> held;
        std::vector<int> wanted; ///< Shares for which this entry VM ranks first among the members.
        std::vector<int> pendingClaims; ///< Shares claimed by the prepared or in-flight write.
        std::optional<StoreCall> nextWrite; ///< Sent at the next poll in place of a read.
        bool isWriting = false; ///< The call in flight is a write.
        bool isCallPending = false; ///< A store call is in flight.
        TimePoint nextPoll;
    };

    bool wantsAny() const;
    std::vector<int> wantedShares(const ServiceState &state, const Membership &members) const;
    /// Compares the shares held with the table read from the store, and prepares a write if the table must change.
    void reconcile(TimePoint now, ServiceState &state, std::int64_t version, ShareTable table, const Membership &members);
    /// Applies all permissible changes to @p table. @return the shares that it claims.
    std::vector<int> plan(TimePoint now, ServiceState &state, ShareTable &table, const Membership &members);
    /// @return whether the share may be taken over from its holder, whose lease must have expired.
    bool mayTakeOver(TimePoint now, const Share &share, const Membership &members);
    /// @return whether @p holder is a previous process of this entry VM, which has ended.
    bool hasTerminated(const ShareHolder &holder) const;
    /// Takes the shares among @p claims that @p before already assigns to this process, and removes them from @p claims.
    void adoptRecordedClaims(TimePoint now, ServiceState &state, const ShareTable &before, std::vector<int> &claims);
    /// Adds a permit for each share whose next probe is due.
    void issuePermits(TimePoint now, ServiceState &state, std::vector<ProbePermit> &permits);
    HeldShare *findHeld(const std::string &service, int share);
    /// @return whether @p table names this process as the share's holder.
    bool isHeldLocally(const ShareTable &table, int share) const;
    void revokeAll();
    /// @return whether a probe for the share is in flight.
    bool isInUse(const ServiceState &state, int share) const;
    void tickService(TimePoint now, ServiceState &state, const Membership &members, std::vector<StoreCall> &calls, std::vector<ProbePermit> &permits);

    ShareHolder self_;
    Lease lease_;
    std::uint64_t handledLosses_ = 0; ///< Losses of the lease that have been handled.
    std::map<std::string, ServiceState> services_;
    LeaseFence fence_;
    bool isReleasing_ = false;
};

} // namespace Cloverbarrow
