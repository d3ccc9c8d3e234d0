/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/workspaces/quotagrant.h"
#include "core/workspaces/windowcounter.h"

#include <compare>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// What a granter knows about the entry VMs that send it messages: which of them use it, and what they have admitted without its grants.
class QuotaRequesters
{
public:
    /// An entry VM counts as using this granter for so long after a message that says so. Entry VMs send messages at least once a second; slow ones may be
    /// late.
    static constexpr Duration CountedTime = milliseconds(1600);
    /// Fraction of the shares of entry VMs that do not use it which a granter of a clear majority uses. A minority without a granter or with another one
    /// uses the rest of its shares, so that all parts add up to the quota.
    static constexpr double MinorityReduction = 0.3;

    /// How much of the fleet a granter knows.
    struct Coverage {
        int counted = 0; ///< Entry VMs that use this granter for the workspace.
        int established = 0; ///< Those of them that have counted their requests for a whole window.
        double newSeconds = 0; ///< For how long the others have counted their requests, summed.
        int heard = 0; ///< Entry VMs whose last message is recent.
        int expected = 1; ///< Entry VMs in the fleet, as estimated from below.
        Duration oldest{0}; ///< Age of the oldest of the recent messages.

        /// @return part of the quota that this granter may use, 0 to 1, so that the parts of all granters and of entry VMs without one add up to 1.
        double share() const;
    };

    /// @param window of the quotas.
    explicit QuotaRequesters(Duration window);

    /// @param incarnation of this granter.
    void onMessage(TimePoint now, const QuotaRequest &request, std::uint64_t incarnation);
    /// @param entryVms number of entry VMs in the fleet, estimated upwards.
    Coverage coverage(TimePoint now, std::string_view workspace, int entryVms) const;
    /// @return whether the entry VM uses this granter for the workspace and surely no other one.
    bool isCounted(TimePoint now, const std::string &entryVm, std::string_view workspace) const;
    /// @return requests that entry VMs have admitted within the window without a grant of this granter.
    int admittedElsewhere(TimePoint now, const std::string &workspace) const;
    /// @param duration until now, at most the window.
    int admittedElsewhere(TimePoint now, const std::string &workspace, Duration duration) const;
    /// @return time until admittedElsewhere() decreases without further reports.
    Duration timeUntilDecrease(TimePoint now, const std::string &workspace) const;

private:
    struct GranterList {
        std::string addressee;
        std::vector<std::string> granters;

        auto operator<=>(const GranterList &) const = default;
    };

    struct Report {
        TimePoint receivedAt;
        std::vector<int> admitted;
    };

    struct Requester {
        TimePoint lastMessageAt;
        bool isOfPreviousRelease = false;
        TimePoint historySince; ///< Since when the entry VM has counted its requests.
        const GranterList *list = nullptr; ///< In lists_; nullptr while the entry VM does not know this process of the granter.
        std::map<std::string, Report> reports; ///< By workspace.
    };

    /// @return whether an entry VM with this list uses the addressee for the workspace.
    static bool isFirst(const GranterList &list, std::string_view workspace);
    void setReport(TimePoint now, Requester &requester, const std::string &workspace, std::vector<int> admitted);
    /// Adds the report to the sums, or withdraws it.
    void addToSums(const std::string &workspace, const Report &report, int sign);
    void evictOld(TimePoint now);

    Duration window_;
    std::map<std::string, Requester> requesters_; ///< By address.
    std::set<GranterList> lists_; ///< Few, since most entry VMs know the same granters.
    std::map<std::string, WindowCounter> elsewhere_; ///< Sums of all reports, by workspace.
    TimePoint nextEvictionAt_;
};

} // namespace Cloverbarrow
