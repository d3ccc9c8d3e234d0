/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/workspaces/quotarequesters.h"

#include "core/workspaces/quotagranter.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// The number of entry VMs is estimated upwards by a factor of 1.2 and rounded up.
constexpr double EstimateMargin = 1.25;
// With more than this share, no other granter can have a majority too, even if the number of entry VMs is underestimated by the margin.
constexpr double MajorityShare = EstimateMargin / 2;
// Estimates up to this may be one too high after the margin, because they were rounded up.
constexpr int SmallEstimate = 3;
// Entry VMs that sent a message within this time are expected to use some granter; two windows.
constexpr Duration RememberTime = seconds(10);
constexpr Duration EvictionInterval = seconds(1);

} // namespace

double QuotaRequesters::Coverage::share() const
{
    const double own = std::min(1.0, static_cast<double>(counted) / std::max(1, expected));
    // Callers of partitioned entry VMs retry at those of the majority, so this part is used more there.
    return own > MajorityShare ? own + MinorityReduction * (1 - own) : own * (1 - MinorityReduction);
}

QuotaRequesters::QuotaRequesters(Duration window)
    : window_(window)
{
}

void QuotaRequesters::onMessage(TimePoint now, const QuotaRequest &request, std::uint64_t incarnation)
{
    evictOld(now);
    Requester &requester = requesters_[request.entryVm];
    requester.lastMessageAt = now;
    requester.isOfPreviousRelease = !request.granters;
    requester.historySince = now - std::min(request.historyLength, 2 * window_);
    const bool isKnown = request.granters && request.incarnation == incarnation;
    requester.list = isKnown ? &*lists_.insert({request.granter, *request.granters}).first : nullptr;
    if (request.hasAllReports) {
        for (const auto &[workspace, report] : requester.reports) {
            addToSums(workspace, report, -1);
        }
        requester.reports.clear();
    } else {
        for (const QuotaClaim &claim : request.claims) {
            setReport(now, requester, claim.workspace, {});
        }
    }
    for (const QuotaReport &report : request.reports) {
        setReport(now, requester, report.workspace, report.admitted);
    }
}

QuotaRequesters::Coverage QuotaRequesters::coverage(TimePoint now, std::string_view workspace, int entryVms) const
{
    Coverage coverage;
    std::map<const GranterList *, bool> isFirstIn;
    int remembered = 0;
    for (const auto &[address, requester] : requesters_) {
        const Duration age = now - requester.lastMessageAt;
        remembered += age <= RememberTime ? 1 : 0;
        if (age > CountedTime) {
            continue;
        }
        ++coverage.heard;
        coverage.oldest = std::max(coverage.oldest, age);
        const auto [found, isNew] = isFirstIn.try_emplace(requester.list, false);
        if (isNew && requester.list != nullptr) {
            found->second = isFirst(*requester.list, workspace);
        }
        if (!(requester.list == nullptr ? requester.isOfPreviousRelease : found->second)) {
            continue;
        }
        ++coverage.counted;
        if (const Duration history = now - requester.historySince; history >= window_) {
            ++coverage.established;
        } else {
            coverage.newSeconds += std::chrono::duration<double>(history).count();
        }
    }
    coverage.expected = std::max({1, remembered, static_cast<int>(entryVms / EstimateMargin)});
    return coverage;
}

bool QuotaRequesters::isCounted(TimePoint now, const std::string &entryVm, std::string_view workspace) const
{
    const auto found = requesters_.find(entryVm);
    if (found == requesters_.end() || now - found->second.lastMessageAt > CountedTime) {
        return false;
    }
    const Requester &requester = found->second;
    return requester.list == nullptr ? requester.isOfPreviousRelease : isFirst(*requester.list, workspace);
}

int QuotaRequesters::admittedElsewhere(TimePoint now, const std::string &workspace) const
{
    const auto found = elsewhere_.find(workspace);
    return found == elsewhere_.end() ? 0 : found->second.count(now);
}

int QuotaRequesters::admittedElsewhere(TimePoint now, const std::string &workspace, Duration duration) const
{
    const auto found = elsewhere_.find(workspace);
    return found == elsewhere_.end() ? 0 : found->second.count(now, duration);
}

Duration QuotaRequesters::timeUntilDecrease(TimePoint now, const std::string &workspace) const
{
    const auto found = elsewhere_.find(workspace);
    return found == elsewhere_.end() ? window_ : found->second.timeUntilDecrease(now);
}

bool QuotaRequesters::isFirst(const GranterList &list, std::string_view workspace)
{
    const std::vector<std::string> ordered = grantersInOrder(list.granters, workspace);
    return !ordered.empty() && ordered.front() == list.addressee;
}

void QuotaRequesters::setReport(TimePoint now, Requester &requester, const std::string &workspace, std::vector<int> admitted)
{
    if (const auto found = requester.reports.find(workspace); found != requester.reports.end()) {
        addToSums(workspace, found->second, -1);
        requester.reports.erase(found);
    }
    if (!admitted.empty()) {
        const Report &report = requester.reports.insert_or_assign(workspace, Report{now, std::move(admitted)}).first->second;
        addToSums(workspace, report, 1);
    }
}

void QuotaRequesters::addToSums(const std::string &workspace, const Report &report, int sign)
{
    WindowCounter &sum = elsewhere_.try_emplace(workspace, window_).first->second;
    const Duration part = window_ / static_cast<Duration::rep>(QuotaReportParts);
    TimePoint at = report.receivedAt;
    for (const int requests : report.admitted) {
        sum.add(at, sign * requests);
        at -= part;
    }
}

void QuotaRequesters::evictOld(TimePoint now)
{
    if (now < nextEvictionAt_) {
        return;
    }
    nextEvictionAt_ = now + EvictionInterval;
    // Reports of evicted entry VMs have left the window.
    std::erase_if(requesters_, [this, now](const auto &entry) { return now - entry.second.lastMessageAt > std::max(RememberTime, 2 * window_); });
    std::erase_if(elsewhere_, [now](const auto &entry) { return entry.second.count(now) == 0; });
    std::set<const GranterList *> used;
    for (const auto &[address, requester] : requesters_) {
        used.insert(requester.list);
    }
    std::erase_if(lists_, [&used](const GranterList &list) { return !used.contains(&list); });
}

} // namespace Cloverbarrow
