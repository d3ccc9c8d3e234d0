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

/// The measuring budget of one service.
struct ServiceBudget {
    std::string service;
    int probes = 0; ///< Most measurements in any window.
    Duration window = seconds(1);
};

/// A share allows one measurement now.
struct PermitProbe {
    std::string service;
    int share = 0;

    bool operator==(const PermitProbe &) const = default;
};

/// The shares of the measuring budgets that this entry VM holds. Every share allows its holder one
/// measurement at a time, a whole window apart; together with the reserve for a paused holder the
/// shares never exceed the budget, however holders come, go, pause and wake.
class MeasuringShares
{
public:
    explicit MeasuringShares(ShareHolder self);

    void configure(const std::vector<ServiceBudget> &budgets);
    /// Adds the calls that are due and the measurements that are allowed.
    void tick(TimePoint now, const Membership &members, Random &random, std::vector<StoreCall> &calls, std::vector<PermitProbe> &permits);
    /// Takes the answer to a call; objects that are not this class's are ignored.
    void storeAnswered(TimePoint now, const StoreObject &object, const StoreResult &result, const Membership &members, Random &random);
    void probeFinished(TimePoint now, const std::string &service, int share);
    void permitReturned(TimePoint now, const std::string &service, int share);
    /// Gives all shares back, at shutdown.
    void startRelease();
    /// @return whether a share is still this entry VM's.
    bool holdsAny() const;
    std::size_t heldCount(const std::string &service) const;
    bool isLeaseValid(TimePoint now) const;

private:
    struct Held {
        TimePoint nextAllowed;
        bool isOut = false; ///< A measurement is under way.
        bool isDropped = false; ///< Not this entry VM's any more; kept until its measurement has ended.
    };

    struct ServiceState {
        ServiceBudget budget;
        std::map<int, Held> held;
        std::vector<int> wanted; ///< Shares for which this entry VM ranks first.
        std::vector<int> claiming; ///< Shares that the next write claims.
        std::optional<StoreCall> nextWrite;
        bool isWriting = false;
        bool isAsking = false;
        TimePoint nextPoll;
    };

    bool wantsAny() const;
    std::vector<int> wanted(const ServiceState &state, const Membership &members) const;
    void reconcile(TimePoint now, ServiceState &state, std::int64_t version, ShareTable table, const Membership &members);
    /// Applies what may be changed to @p table. @return the shares that would be claimed.
    std::vector<int> plan(TimePoint now, ServiceState &state, ShareTable &table, const Membership &members);
    bool mayTakeOver(TimePoint now, const Share &share, const Membership &members);
    bool hasEnded(const ShareHolder &holder) const;
    void adoptStanding(TimePoint now, ServiceState &state, const ShareTable &before, std::vector<int> &claims);
    void permitDue(TimePoint now, ServiceState &state, std::vector<PermitProbe> &permits);
    Held *findHeld(const std::string &service, int share);
    /// @return whether @p table names this process as the share's holder.
    bool isOwn(const ShareTable &table, int share) const;
    void dropAll();
    bool isOut(const ServiceState &state, int share) const;
    void tickService(TimePoint now, ServiceState &state, const Membership &members, std::vector<StoreCall> &calls, std::vector<PermitProbe> &permits);

    ShareHolder self_;
    Lease lease_;
    std::uint64_t lossesSeen_ = 0;
    std::map<std::string, ServiceState> services_;
    LeaseFence fence_;
    bool isReleasing_ = false;
};

} // namespace Cloverbarrow
