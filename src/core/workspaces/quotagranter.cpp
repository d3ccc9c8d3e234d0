/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/workspaces/quotagranter.h"

#include "core/support/stablehash.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// Part of the tolerance that is granted on top of the quota while all entry VMs use this granter. The rest covers changes of granters.
constexpr double UsableTolerance = 0.3;
// Part of the remaining tolerance that is granted within a window without knowledge of what other granters grant.
constexpr double UnconfirmedFraction = 0.15;
// Number of granters that may each grant this within a window: two before and two after a restart of the whole fleet. With 2, seed 12 of the property
// exceeded the bound.
constexpr double UnconfirmedTimes = 4;
// Number of durations within a window for which the limit on bursts is checked.
constexpr int BurstSteps = 10;
// Granted requests are sent and reach a server within this time, so they may fall into a window that begins later.
constexpr Duration MaxGrantAge = milliseconds(300);
// All entry VMs that reach this granter have sent all their reports within this time: they do so every second.
constexpr Duration LearningTime = milliseconds(1200);
// With less of the fleet, another granter may be in use too.
constexpr double CompleteShare = 0.9;
// A granter that learns expects to grant more soon, since reports arrive every second.
constexpr Duration LearningRetryAfter = milliseconds(300);
// Accounts that are unused for this long are full again, as new ones nearly are.
constexpr Duration AccountLifetime = seconds(60);
constexpr std::size_t MaxAccounts = 20'000;
// Callers that are refused retry after at most this time, since the quota may be raised.
constexpr Duration MaxRetryAfter = seconds(5);
constexpr Duration MinRetryAfter = milliseconds(20);

/// @return the whole requests in @p requests, from 0 to @p highest. Quotas may be larger than any int.
int wholeRequests(double requests, int highest)
{
    return static_cast<int>(std::clamp(std::floor(requests), 0.0, static_cast<double>(highest)));
}

} // namespace

QuotaGranter::QuotaGranter(const QuotaTolerance &tolerance, std::uint64_t incarnation)
    : tolerance_(tolerance)
    , incarnation_(incarnation)
    , requesters_(tolerance.window)
{
}

QuotaAnswer QuotaGranter::onRequest(TimePoint now, const QuotaRequest &request, int entryVms)
{
    // Also after a time in which this process was frozen or partitioned from all entry VMs, others have granted meanwhile.
    if (now - std::exchange(lastMessageAt_, now) > QuotaRequesters::CountedTime) {
        learningSince_ = now;
    }
    requesters_.onMessage(now, request, incarnation_);
    QuotaAnswer answer{incarnation_, {}};
    answer.grants.reserve(request.claims.size());
    for (const QuotaClaim &claim : request.claims) {
        answer.grants.push_back(grant(now, request.entryVm, claim, entryVms));
    }
    return answer;
}

const QuotaGranterCounts &QuotaGranter::counts() const
{
    return counts_;
}

std::optional<QuotaGranter::Refusal> QuotaGranter::takeUnconfirmedRefusal()
{
    return std::exchange(unconfirmedRefusal_, std::nullopt);
}

QuotaGrant QuotaGranter::grant(TimePoint now, const std::string &entryVm, const QuotaClaim &claim, int entryVms)
{
    Account &account = accountFor(now, claim);
    const QuotaRequesters::Coverage coverage = requesters_.coverage(now, claim.workspace, entryVms);
    const Limits limits = limitsOf(now, claim.workspace, account, coverage, requesters_.isCounted(now, entryVm, claim.workspace));
    const double unused = std::min(limits.unused, limits.burst);
    const double left = std::min(unused, std::max(limits.confirmed, limits.unconfirmed));
    const int granted = wholeRequests(left, std::max(0, claim.requests));
    account.granted.add(now, granted);
    account.unconfirmed.add(now, granted - wholeRequests(limits.confirmed, granted));
    counts_.granted += static_cast<std::uint64_t>(granted);
    QuotaGrant answer{claim.workspace, granted, Duration(0), use(now, claim.workspace, account)};
    if (granted < claim.requests) {
        const bool isUnconfirmed = granted < std::floor(unused);
        const Duration wait = isUnconfirmed ? LearningRetryAfter : timeUntilGrant(now, claim.workspace, account, limits);
        answer.retryAfter = std::clamp(wait, MinRetryAfter, MaxRetryAfter);
        const auto refused = static_cast<std::uint64_t>(claim.requests - granted);
        (isUnconfirmed ? counts_.refusedUnconfirmed : counts_.refused) += refused;
        if (isUnconfirmed) {
            unconfirmedRefusal_ = Refusal{claim.workspace, entryVm, granted, claim.requests, coverage, now - learningSince_};
        }
    }
    return answer;
}

QuotaGranter::Account &QuotaGranter::accountFor(TimePoint now, const QuotaClaim &claim)
{
    auto found = accounts_.find(claim.workspace);
    if (found == accounts_.end()) {
        evictUnused(now);
        const WindowCounter counter(tolerance_.window + MaxGrantAge);
        found = accounts_.emplace(claim.workspace, Account{claim.version, claim.quota, counter, counter, now}).first;
    }
    Account &account = found->second;
    account.lastUsedAt = now;
    if (claim.version > account.version) {
        account.version = claim.version;
        account.quota = claim.quota;
    }
    return account;
}

double QuotaGranter::quotaOf(const Account &account) const
{
    return account.quota.perSecond * std::chrono::duration<double>(tolerance_.window).count() + account.quota.burst;
}

QuotaGranter::Limits QuotaGranter::limitsOf(
    TimePoint now, const std::string &workspace, const Account &account, const QuotaRequesters::Coverage &coverage, bool isCounted) const
{
    const double share = coverage.share();
    const double quota = quotaOf(account);
    const double tolerance = tolerance_.overage * quota + tolerance_.slack;
    const double usable = quota + (share >= CompleteShare ? UsableTolerance * tolerance : 0);
    const int granted = account.granted.count(now);
    const double unconfirmed = UnconfirmedFraction * (1 - UsableTolerance) * tolerance;
    const double burst = account.quota.burst + tolerance - UnconfirmedTimes * unconfirmed;
    Limits limits{usable - granted - requesters_.admittedElsewhere(now, workspace),
                  burstLeft(now, workspace, account, burst),
                  0,
                  unconfirmed - account.unconfirmed.count(now)};
    const Duration learned = now - learningSince_;
    if (isCounted && learned >= LearningTime) {
        // Entry VMs that have just started do not know what they admitted before, but that was within the rate and the burst.
        const bool isComplete = learned >= tolerance_.window;
        const double perEntryVm = usable / coverage.expected;
        const double ofNew = account.quota.perSecond * coverage.newSeconds / coverage.expected;
        limits.confirmed = (isComplete ? usable * share : std::min(1.0 * coverage.established, 1.0 * coverage.expected) * perEntryVm + ofNew) - granted;
    } else if (isCounted) {
        // Entry VMs that have not reported yet are probably like the others, but may have used the rest of the quota.
        limits.unconfirmed += account.quota.perSecond * std::chrono::duration<double>(learned).count() * share;
    }
    return limits;
}

double QuotaGranter::burstLeft(TimePoint now, const std::string &workspace, const Account &account, double burst) const
{
    double left = burst;
    for (int step = 1; step <= BurstSteps; ++step) {
        const Duration duration = tolerance_.window * step / BurstSteps;
        const double allowed = burst + account.quota.perSecond * std::chrono::duration<double>(duration).count();
        left = std::min(left, allowed - account.granted.count(now, duration) - requesters_.admittedElsewhere(now, workspace, duration));
    }
    return left;
}

Duration QuotaGranter::timeUntilGrant(TimePoint now, const std::string &workspace, const Account &account, const Limits &limits) const
{
    if (limits.burst < limits.unused && account.quota.perSecond > 0) {
        const double seconds = std::min(1 / account.quota.perSecond, std::chrono::duration<double>(MaxRetryAfter).count());
        return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
    }
    return std::min(account.granted.timeUntilDecrease(now), requesters_.timeUntilDecrease(now, workspace));
}

double QuotaGranter::use(TimePoint now, const std::string &workspace, const Account &account) const
{
    const double quota = quotaOf(account);
    return quota > 0 ? (account.granted.count(now) + requesters_.admittedElsewhere(now, workspace)) / quota : 1;
}

void QuotaGranter::evictUnused(TimePoint now)
{
    if (accounts_.size() >= MaxAccounts) {
        std::erase_if(accounts_, [now](const auto &entry) { return now - entry.second.lastUsedAt > AccountLifetime; });
    }
}

std::vector<std::string> grantersInOrder(std::span<const std::string> relays, std::string_view workspace)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(relays.size());
    for (const std::string &relay : relays) {
        weighted.emplace_back(stableHash({relay, workspace}), relay);
    }
    std::sort(weighted.begin(), weighted.end());
    std::vector<std::string> ordered;
    ordered.reserve(weighted.size());
    for (auto &[weight, relay] : weighted) {
        ordered.push_back(std::move(relay));
    }
    return ordered;
}

} // namespace Cloverbarrow
