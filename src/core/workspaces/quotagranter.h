/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/workspaces/quotagrant.h"
#include "core/workspaces/quotarequesters.h"
#include "core/workspaces/windowcounter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// Claims at a granter since its process started, in requests. Claims are made again while requests wait.
struct QuotaGranterCounts {
    std::uint64_t granted = 0;
    std::uint64_t refused = 0; ///< The quota was used up.
    std::uint64_t refusedUnconfirmed = 0; ///< The quota was not used up as far as known, but other granters might have used it.
};

/// Counts of one entry VM since its process started.
struct QuotaCounts {
    QuotaGranterCounts granter;
    std::uint64_t admittedWithoutGrant = 0; ///< Requests admitted because no granter answered.
};

/// The part of an entry VM that grants requests of workspaces to all entry VMs. Each workspace has one granter among the relays, so its quota is fully usable
/// whichever entry VMs its callers use. Nothing is stored: entry VMs report what they admitted without grants of this granter, and which granters may count
/// them. While they use different granters, each granter uses the part of the quota that corresponds to the entry VMs that use it alone.
class QuotaGranter
{
public:
    /// A claim that was refused because reports are missing.
    struct Refusal {
        std::string workspace;
        std::string entryVm;
        int granted = 0;
        int claimed = 0;
        QuotaRequesters::Coverage coverage;
        Duration knowledgeAge{0}; ///< Time since this granter began to learn.
    };

    /// @param incarnation random number, different for each process.
    QuotaGranter(const QuotaTolerance &tolerance, std::uint64_t incarnation);

    /// @param entryVms number of entry VMs in the fleet, estimated upwards. @return a grant for each claim.
    QuotaAnswer onRequest(TimePoint now, const QuotaRequest &request, int entryVms);
    const QuotaGranterCounts &counts() const;
    /// @return the last claim that was refused because reports are missing; nothing if there was none since the last call.
    std::optional<Refusal> takeUnconfirmedRefusal();

private:
    struct Account {
        std::int64_t version = 0;
        WorkspaceQuota quota;
        WindowCounter granted; ///< Requests granted within the window.
        WindowCounter unconfirmed; ///< Those of them that were granted although other granters may have used the quota.
        TimePoint lastUsedAt;
    };

    /// Requests that may be granted now; each may be negative.
    struct Limits {
        double unused = 0; ///< What is left of the quota according to all reports.
        double burst = 0; ///< What is left of the burst; see burstLeft().
        double confirmed = 0; ///< What is left of the part that corresponds to the entry VMs that use this granter. No other granter grants it.
        double unconfirmed = 0; ///< What the tolerance allows whatever other granters grant.
    };

    QuotaGrant grant(TimePoint now, const std::string &entryVm, const QuotaClaim &claim, int entryVms);
    Account &accountFor(TimePoint now, const QuotaClaim &claim);
    /// @return requests that the quota allows within a window.
    double quotaOf(const Account &account) const;
    /// @param isCounted whether the entry VM that claims requests uses this granter and surely no other one.
    Limits limitsOf(TimePoint now, const std::string &workspace, const Account &account, const QuotaRequesters::Coverage &coverage, bool isCounted) const;
    /// Nothing is known after a restart of the whole fleet. Granting the rate from then on is safe only if grants before exceeded it by no more than a burst.
    /// @return requests that may be granted so that grants of any duration within the window exceed the rate by at most @p burst.
    double burstLeft(TimePoint now, const std::string &workspace, const Account &account, double burst) const;
    /// @return estimated time until another request may be granted.
    Duration timeUntilGrant(TimePoint now, const std::string &workspace, const Account &account, const Limits &limits) const;
    /// @return fraction of the quota that was used within the window that ends now; 1 for a quota of 0.
    double use(TimePoint now, const std::string &workspace, const Account &account) const;
    void evictUnused(TimePoint now);

    QuotaTolerance tolerance_;
    std::uint64_t incarnation_;
    QuotaRequesters requesters_;
    std::map<std::string, Account> accounts_; ///< By name of the workspace.
    TimePoint lastMessageAt_;
    TimePoint learningSince_; ///< When the first message arrived after a start or a time without messages.
    QuotaGranterCounts counts_;
    std::optional<Refusal> unconfirmedRefusal_;
};

/// @return the entry VMs in @p relays in the order in which they should grant requests of @p workspace. Entry VMs that know the same relays agree.
std::vector<std::string> grantersInOrder(std::span<const std::string> relays, std::string_view workspace);

} // namespace Cloverbarrow
