/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/serviceevents.h"
#include "core/workspaces/quotagrant.h"
#include "core/workspaces/windowcounter.h"

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// The quota allows the request.
struct QuotaAdmitted {
    double quotaUse = 0; ///< Fraction of the quota that the workspace used over the last window, as the granter last reported it; 0 if not known.

    bool operator==(const QuotaAdmitted &) const = default;
};

/// The workspace has used up its quota.
struct QuotaExhausted {
    Duration retryAfter{0};

    bool operator==(const QuotaExhausted &) const = default;
};

/// No granter answers, so this entry VM does not know whether the quota allows the request. Another one may know.
struct QuotaUnknown {
    bool operator==(const QuotaUnknown &) const = default;
};

using QuotaVerdict = std::variant<QuotaAdmitted, QuotaExhausted, QuotaUnknown>;

/// What to do with a request that was passed to QuotaGate::admit().
struct QuotaDecision {
    RequestId request = 0;
    QuotaVerdict verdict;

    bool operator==(const QuotaDecision &) const = default;
};

/// Holds back requests of workspaces with a quota until a granter has allowed them. Claims for a workspace with many requests are made in advance. If no
/// granter answers, this entry VM allows an equal share of the quota.
class QuotaGate
{
public:
    /// Claims to send to the entry VM at `granter`.
    struct Message {
        std::string granter;
        QuotaRequest request;
        TimePoint sentAt;
        bool isRelease = false; ///< Whether it tells a granter that this entry VM does not use it any more.
    };

    /// @param localAddress address of this entry VM, by which granters know it.
    /// @param window of the quotas, as granters use it.
    explicit QuotaGate(std::string localAddress, Duration window = QuotaTolerance().window);

    /// A request has arrived. @param version of the configuration that contains @p workspace.
    void admit(TimePoint now, RequestId request, const Workspace &workspace, std::int64_t version);
    /// @param relays entry VMs that may grant requests. @return claims to send now, and messages without claims to granters that have received no full
    /// report for some time, have an outdated list of granters or are no relays any more.
    std::vector<Message> takeDueMessages(TimePoint now, const std::vector<std::string> &relays);
    /// An answer that took so long that its grants are outdated counts as a failure.
    void onAnswer(TimePoint now, const Message &sent, const QuotaAnswer &answer);
    void onFailure(TimePoint now, const Message &sent);
    /// Decides requests that have waited too long. @param entryVms number of entry VMs in the fleet.
    void tick(TimePoint now, int entryVms);
    /// @return decisions made since the last call.
    std::vector<QuotaDecision> takeDecisions();
    /// @return requests that were admitted without a grant since this process started.
    std::uint64_t admittedWithoutGrant() const;
    /// @return whether requests wait for a decision.
    bool hasWaiting() const;

private:
    struct Waiting {
        RequestId request = 0;
        TimePoint arrivedAt;
    };

    /// Process of a granter. Its requests are in its account; a successor at the same address does not know of them.
    struct GranterProcess {
        std::string address; ///< Empty for requests that were admitted without a grant.
        std::uint64_t incarnation = 0;

        auto operator<=>(const GranterProcess &) const = default;
    };

    struct Account {
        std::int64_t version = 0;
        WorkspaceQuota quota;
        std::deque<Waiting> waiting;
        int unsentClaims = 0; ///< Waiting requests that no claim in flight covers.
        int permits = 0; ///< Requests granted in advance.
        TimePoint permitsExpireAt;
        GranterProcess permitsGranter; ///< Who granted the permits.
        std::map<GranterProcess, WindowCounter> admitted; ///< Requests admitted within the window, by who granted them.
        std::optional<TimePoint> exhaustedUntil; ///< No claims are made before; empty while the quota is not exhausted.
        double use = 0; ///< As last reported by a granter.
        TimePoint useReportedAt;
        TimePoint retryAt; ///< When another request may be granted, as last estimated by the granter.
        double perSecond = 0; ///< Recent rate of arrivals.
        TimePoint rateUpdatedAt;
        double localTokens = 0; ///< Share of the quota that this entry VM may use while no granter answers.
        std::optional<TimePoint> unansweredSince; ///< Since when no granter has answered.
        TimePoint localRefilledAt;
    };

    struct Granter {
        int messagesInFlight = 0;
        TimePoint lastMessageAt;
        std::optional<TimePoint> failedAt; ///< When it last failed to answer, if it has not answered since.
        std::uint64_t incarnation = 0; ///< As of its last answer.
        bool isUsed = false; ///< Whether it has answered, and has not failed since.
        TimePoint countsUntil; ///< Until when it may count this entry VM among those that use it.
        TimePoint lastReportAt; ///< When it was last sent all reports.
        std::vector<std::string> sentGranters; ///< As last sent to it.
        std::uint64_t sentIncarnation = 0;
    };

    void countArrival(TimePoint now, Account &account) const;
    bool takePermit(TimePoint now, Account &account) const;
    void countAdmitted(TimePoint now, Account &account, const GranterProcess &granter) const;
    /// @return granters that may count this entry VM, as @p addressee is told.
    std::vector<std::string> granterList(TimePoint now, const std::vector<std::string> &relays, const std::string &addressee) const;
    /// @return what was admitted within the window without a grant of @p granter; no parts if nothing was.
    QuotaReport reportFor(TimePoint now, const std::string &workspace, const Account &account, const GranterProcess &granter) const;
    /// Completes a message with the state of this entry VM.
    void addReports(TimePoint now, const std::vector<std::string> &relays, const std::string &granter, QuotaRequest &request);
    /// @return the granter to ask; nothing if all have failed.
    std::optional<std::string> chooseGranter(TimePoint now, const std::vector<std::string> &relays, const std::string &workspace);
    bool hasFailed(TimePoint now, const Granter &granter) const;
    /// @return whether a granter that is no relay any more can be told so.
    bool isReleaseDue(TimePoint now, const Granter &granter) const;
    /// The granter has confirmed that it does not count this entry VM any more.
    void release(TimePoint now, const std::string &granter);
    /// @return whether this entry VM's share of the quota allows a request.
    bool takeLocalToken(TimePoint now, Account &account, int entryVms);
    /// @return the verdict on a request that may be sent.
    QuotaVerdict admitted(TimePoint now, const Account &account) const;
    void decide(const Waiting &waiting, const QuotaVerdict &verdict);

    std::string localAddress_;
    Duration window_;
    std::optional<TimePoint> startedAt_; ///< When requests were first counted.
    std::map<std::string, Account> accounts_; ///< By name of the workspace.
    std::map<std::string, Granter> granters_; ///< By address.
    std::vector<QuotaDecision> decisions_;
    std::size_t waitingCount_ = 0;
    std::uint64_t admittedWithoutGrant_ = 0;
};

} // namespace Cloverbarrow
