/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/workspaces/quotagate.h"

#include "core/workspaces/quotagranter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// A granter answers within a few milliseconds; a slow VM may take some tens.
constexpr Duration MaxWait = milliseconds(220);
// How long a granter that did not answer is left alone.
constexpr Duration FailureLifetime = seconds(1);
// Claims in advance cover this time. The permits must be used soon, since the granter has counted them in the current window.
constexpr Duration AdvanceTime = milliseconds(150);
constexpr Duration PermitLifetime = milliseconds(200);
// While a quota is exhausted, claims for it are made at this interval, so that a workspace with excessive requests does not overload the granter.
constexpr Duration ExhaustedClaimInterval = milliseconds(150);
// Grants in an answer that took longer are outdated. The granter counts them from when it sent them, so a VM that was frozen must not use them.
constexpr Duration MaxAnswerTime = milliseconds(250);
// After this, a granter that does not answer certainly does not count this entry VM any more: QuotaRequesters::CountedTime and the time that a message takes.
constexpr Duration ReleaseTime = milliseconds(1800);
// Changes of the list of granters are sent at once, but not more often than this.
constexpr Duration MinListInterval = milliseconds(100);
// At 60 bytes each, full reports stay below 30 KB. With more active workspaces, those with the most requests are reported.
constexpr std::size_t MaxReports = 500;
// Time constant of the moving average of arrivals.
constexpr double RateSeconds = 0.5;
// Granters count the entry VMs from which they have recently received messages. Due messages may be sent 0.1 s late, and at least once a second.
constexpr Duration MaxMessageInterval = milliseconds(850);
// A granter that has failed is sent messages without claims at this interval, since a single late answer of a slow VM is no reason to use another one.
constexpr Duration RetryInterval = milliseconds(250);
// With more messages in flight, further claims wait and are sent together.
constexpr int MaxMessagesInFlight = 4;

} // namespace

QuotaGate::QuotaGate(std::string localAddress, Duration window)
    : localAddress_(std::move(localAddress))
    , window_(window)
{
}

void QuotaGate::admit(TimePoint now, RequestId request, const Workspace &workspace, std::int64_t version)
{
    Account &account = accounts_[workspace.name];
    if (version > account.version) {
        // The new version may raise the quota.
        account.exhaustedUntil.reset();
    }
    if (version >= account.version && workspace.quota) {
        account.version = version;
        account.quota = *workspace.quota;
    }
    countArrival(now, account);
    const Waiting waiting{request, now};
    if (!workspace.quota) {
        decide(waiting, QuotaAdmitted{});
        return;
    }
    if (account.waiting.empty() && takePermit(now, account)) {
        decide(waiting, admitted(now, account));
        return;
    }
    if (account.exhaustedUntil && now < *account.exhaustedUntil) {
        decide(waiting, QuotaExhausted{std::max<Duration>(account.retryAt - now, *account.exhaustedUntil - now)});
        return;
    }
    account.waiting.push_back(waiting);
    ++account.unsentClaims;
    ++waitingCount_;
}

std::vector<QuotaGate::Message> QuotaGate::takeDueMessages(TimePoint now, const std::vector<std::string> &relays)
{
    startedAt_ = startedAt_.value_or(now);
    std::map<std::string, QuotaRequest> requests;
    for (const std::string &relay : relays) {
        Granter &granter = granters_[relay];
        const bool isReportDue = now - granter.lastReportAt >= MaxMessageInterval;
        const bool isListDue = now - granter.lastMessageAt >= MinListInterval
            && (granter.sentIncarnation != granter.incarnation || granter.sentGranters != granterList(now, relays, relay));
        const bool isRetryDue = granter.messagesInFlight == 0 && now - granter.lastMessageAt >= RetryInterval;
        if (hasFailed(now, granter) ? isRetryDue : isReportDue || isListDue) {
            requests.try_emplace(relay);
        }
    }
    for (const auto &[name, granter] : granters_) {
        if (isReleaseDue(now, granter) && std::find(relays.begin(), relays.end(), name) == relays.end()) {
            requests.try_emplace(name);
        }
    }
    for (auto &[name, account] : accounts_) {
        if (account.unsentClaims == 0) {
            continue;
        }
        const auto granter = chooseGranter(now, relays, name);
        if (!granter || granters_[*granter].messagesInFlight >= MaxMessagesInFlight) {
            continue;
        }
        const int inAdvance = static_cast<int>(account.perSecond * std::chrono::duration<double>(AdvanceTime).count());
        QuotaRequest &request = requests[*granter];
        request.claims.push_back({name, account.version, account.quota, account.unsentClaims + inAdvance});
        account.unsentClaims = 0;
    }
    std::vector<Message> messages;
    for (auto &[granter, request] : requests) {
        addReports(now, relays, granter, request);
        ++granters_[granter].messagesInFlight;
        const bool isRelease = std::find(request.granters->begin(), request.granters->end(), granter) == request.granters->end() && granters_[granter].isUsed;
        messages.push_back({granter, std::move(request), now, isRelease});
    }
    return messages;
}

void QuotaGate::onAnswer(TimePoint now, const Message &sent, const QuotaAnswer &answer)
{
    if (now - sent.sentAt > MaxAnswerTime) {
        onFailure(now, sent);
        return;
    }
    Granter &granter = granters_[sent.granter];
    --granter.messagesInFlight;
    granter.failedAt.reset();
    granter.isUsed = true;
    granter.incarnation = answer.incarnation;
    if (sent.isRelease) {
        release(now, sent.granter);
    }
    const GranterProcess process{sent.granter, answer.incarnation};
    for (const QuotaGrant &grant : answer.grants) {
        const auto found = accounts_.find(grant.workspace);
        if (found == accounts_.end()) {
            continue;
        }
        Account &account = found->second;
        account.unansweredSince.reset();
        // Permits of another granter are dropped: they would be reported as granted by this one.
        const bool areValid = now < account.permitsExpireAt && account.permitsGranter == process;
        account.permits = areValid ? account.permits + grant.requests : grant.requests;
        account.permitsGranter = process;
        // Otherwise entry VMs that save tokens would all use them in the moment in which granters fail.
        account.localTokens = 0;
        account.permitsExpireAt = now + PermitLifetime;
        const bool isExhausted = grant.retryAfter > Duration(0);
        account.exhaustedUntil = isExhausted ? std::optional(now + ExhaustedClaimInterval) : std::nullopt;
        account.retryAt = now + grant.retryAfter;
        account.use = grant.use;
        account.useReportedAt = now;
        // Requests that arrived after the claim was sent are covered by the next one, unless the quota is exhausted.
        while (!account.waiting.empty() && (isExhausted || account.permits > 0)) {
            const QuotaVerdict verdict = takePermit(now, account) ? admitted(now, account) : QuotaExhausted{grant.retryAfter};
            decide(account.waiting.front(), verdict);
            account.waiting.pop_front();
            --waitingCount_;
        }
        account.unsentClaims = std::min(account.unsentClaims, static_cast<int>(account.waiting.size()));
    }
}

void QuotaGate::onFailure(TimePoint now, const Message &sent)
{
    Granter &granter = granters_[sent.granter];
    --granter.messagesInFlight;
    granter.failedAt = now;
    granter.isUsed = false;
    for (const QuotaClaim &claim : sent.request.claims) {
        Account &account = accounts_[claim.workspace];
        account.unansweredSince = account.unansweredSince.value_or(now);
        account.unsentClaims = static_cast<int>(account.waiting.size());
    }
}

void QuotaGate::tick(TimePoint now, int entryVms)
{
    for (auto &[name, account] : accounts_) {
        while (!account.waiting.empty() && now - account.waiting.front().arrivedAt >= MaxWait) {
            account.unansweredSince = account.unansweredSince.value_or(now);
            const QuotaVerdict verdict = takeLocalToken(now, account, entryVms) ? admitted(now, account) : QuotaUnknown{};
            decide(account.waiting.front(), verdict);
            account.waiting.pop_front();
            --waitingCount_;
        }
        account.unsentClaims = std::min(account.unsentClaims, static_cast<int>(account.waiting.size()));
    }
}

std::vector<QuotaDecision> QuotaGate::takeDecisions()
{
    return std::exchange(decisions_, {});
}

std::uint64_t QuotaGate::admittedWithoutGrant() const
{
    return admittedWithoutGrant_;
}

bool QuotaGate::hasWaiting() const
{
    return waitingCount_ > 0;
}

void QuotaGate::countArrival(TimePoint now, Account &account) const
{
    const double passed = std::chrono::duration<double>(now - account.rateUpdatedAt).count();
    account.rateUpdatedAt = now;
    account.perSecond = account.perSecond * std::exp(-passed / RateSeconds) + 1 / RateSeconds;
}

bool QuotaGate::takePermit(TimePoint now, Account &account) const
{
    if (account.permits <= 0 || now >= account.permitsExpireAt) {
        return false;
    }
    --account.permits;
    countAdmitted(now, account, account.permitsGranter);
    return true;
}

void QuotaGate::countAdmitted(TimePoint now, Account &account, const GranterProcess &granter) const
{
    account.admitted.try_emplace(granter, window_).first->second.add(now, 1);
}

std::vector<std::string> QuotaGate::granterList(TimePoint now, const std::vector<std::string> &relays, const std::string &addressee) const
{
    std::vector<std::string> list;
    for (const auto &[name, granter] : granters_) {
        const bool isUsed = granter.isUsed && std::find(relays.begin(), relays.end(), name) != relays.end();
        if (isUsed || (name != addressee && now < granter.countsUntil)) {
            list.push_back(name);
        }
    }
    return list;
}

QuotaReport QuotaGate::reportFor(TimePoint now, const std::string &workspace, const Account &account, const GranterProcess &granter) const
{
    QuotaReport report{workspace, std::vector<int>(QuotaReportParts, 0)};
    for (const auto &[process, counter] : account.admitted) {
        if (process != granter) {
            const std::vector<int> counts = counter.countsByAge(now, QuotaReportParts);
            std::transform(counts.begin(), counts.end(), report.admitted.begin(), report.admitted.begin(), std::plus());
        }
    }
    while (!report.admitted.empty() && report.admitted.back() == 0) {
        report.admitted.pop_back();
    }
    return report;
}

void QuotaGate::addReports(TimePoint now, const std::vector<std::string> &relays, const std::string &granter, QuotaRequest &request)
{
    Granter &state = granters_[granter];
    request.historyLength = now - *startedAt_;
    const GranterProcess process{granter, state.incarnation};
    request.entryVm = localAddress_;
    request.granter = granter;
    request.incarnation = state.incarnation;
    request.granters = granterList(now, relays, granter);
    request.hasAllReports =
        now - state.lastReportAt >= MaxMessageInterval || state.sentIncarnation != state.incarnation || state.sentGranters != request.granters;
    const auto add = [&](const std::string &workspace, const Account &account) {
        if (QuotaReport report = reportFor(now, workspace, account, process); !report.admitted.empty()) {
            request.reports.push_back(std::move(report));
        }
    };
    if (request.hasAllReports) {
        for (auto &[name, account] : accounts_) {
            std::erase_if(account.admitted, [now](const auto &entry) { return entry.second.count(now) == 0; });
            add(name, account);
        }
        state.lastReportAt = now;
    } else {
        for (const QuotaClaim &claim : request.claims) {
            add(claim.workspace, accounts_.at(claim.workspace));
        }
    }
    if (request.reports.size() > MaxReports) {
        const auto sum = [](const QuotaReport &report) { return std::accumulate(report.admitted.begin(), report.admitted.end(), 0); };
        std::nth_element(request.reports.begin(),
                         request.reports.begin() + MaxReports,
                         request.reports.end(),
                         [&sum](const QuotaReport &left, const QuotaReport &right) { return sum(left) > sum(right); });
        request.reports.resize(MaxReports);
    }
    state.lastMessageAt = now;
    state.sentGranters = *request.granters;
    state.sentIncarnation = state.incarnation;
    const bool isListed = std::find(request.granters->begin(), request.granters->end(), granter) != request.granters->end();
    if (isListed) {
        state.countsUntil = now + ReleaseTime;
    }
}

std::optional<std::string> QuotaGate::chooseGranter(TimePoint now, const std::vector<std::string> &relays, const std::string &workspace)
{
    const auto ordered = grantersInOrder(relays, workspace);
    const auto found = std::find_if(ordered.begin(), ordered.end(), [this, now](const std::string &granter) { return !hasFailed(now, granters_[granter]); });
    return found == ordered.end() ? std::nullopt : std::optional(*found);
}

bool QuotaGate::hasFailed(TimePoint now, const Granter &granter) const
{
    return granter.failedAt && now - *granter.failedAt < FailureLifetime;
}

void QuotaGate::release(TimePoint now, const std::string &granter)
{
    granters_.at(granter).countsUntil = now;
    // Later uses of its permits would be missing in the reports that the next granter has received.
    for (auto &[name, account] : accounts_) {
        if (account.permitsGranter.address == granter) {
            account.permits = 0;
        }
    }
}

bool QuotaGate::isReleaseDue(TimePoint now, const Granter &granter) const
{
    // A message that is in flight or has failed may still be handled after the release, and names the granter.
    return now < granter.countsUntil && granter.messagesInFlight == 0 && !granter.failedAt && now - granter.lastMessageAt >= MinListInterval;
}

bool QuotaGate::takeLocalToken(TimePoint now, Account &account, int entryVms)
{
    const TimePoint since = std::max(account.localRefilledAt, *account.unansweredSince);
    const double passed = std::chrono::duration<double>(now - since).count();
    account.localRefilledAt = now;
    // Until grants from before have left the window, only the part that was unused then is shared.
    const double lastUse = now - account.useReportedAt <= window_ ? account.use : 1;
    const double used = now - *account.unansweredSince >= window_ ? 0 : lastUse;
    const double perSecond = (1 - QuotaRequesters::MinorityReduction) * (1 - std::min(1.0, used)) * account.quota.perSecond / std::max(1, entryVms);
    account.localTokens = std::min(1.0, account.localTokens + passed * perSecond);
    if (account.localTokens < 1) {
        return false;
    }
    account.localTokens -= 1;
    countAdmitted(now, account, {});
    ++admittedWithoutGrant_;
    return true;
}

QuotaVerdict QuotaGate::admitted(TimePoint now, const Account &account) const
{
    return QuotaAdmitted{now - account.useReportedAt <= window_ ? account.use : 0};
}

void QuotaGate::decide(const Waiting &waiting, const QuotaVerdict &verdict)
{
    decisions_.push_back({waiting.request, verdict});
}

} // namespace Cloverbarrow
