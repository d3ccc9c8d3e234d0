/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/crashledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// The search for expired entries takes time for each known crash, of which there are at most a few thousand.
constexpr Duration ExpiryInterval = seconds(10);
// A withdrawn crash that is no longer remembered may be adopted once more from this entry VM's report in the store.
constexpr std::size_t MaxLocalCrashHistory = 4 * CrashLedger::MostKept;

/// @return whether the update contains crashes or suspicions.
bool hasOpenItems(const CrashNews &update)
{
    return !update.report.ends.empty() || !update.suspected.empty();
}

template<typename Map, typename TimeOf>
void dropOldest(Map &map, std::size_t most, const TimeOf &timeOf)
{
    while (map.size() > most) {
        map.erase(std::min_element(map.begin(), map.end(), [&timeOf](const auto &left, const auto &right) { return timeOf(left) < timeOf(right); }));
    }
}

} // namespace

CrashLedger::CrashLedger(std::string localEntryVm, std::string process)
    : self_(std::move(localEntryVm))
    , process_(std::move(process))
{
}

void CrashLedger::suspected(TimePoint now, const RequestContent &fingerprint, const std::string &server)
{
    const ServerEnd suspicion{fingerprint, server};
    if (!own_.contains(suspicion)) {
        suspected_.try_emplace(suspicion, now);
    }
    boundOwn();
    reconsider(now);
}

void CrashLedger::ended(TimePoint now, const RequestContent &fingerprint, const std::string &server)
{
    suspected_.erase({fingerprint, server});
    addOwn({fingerprint, server}, {now, false});
    boundOwn();
    reconsider(now);
}

void CrashLedger::cleared(TimePoint now, const std::string &server)
{
    if (std::erase_if(suspected_, [&server](const auto &entry) { return entry.first.server == server; }) > 0) {
        reconsider(now);
    }
}

void CrashLedger::heardAgain(TimePoint now, const std::string &server)
{
    cleared(now, server);
    std::erase_if(own_, [&server](const auto &entry) { return entry.first.server == server; });
    reconsider(now);
}

void CrashLedger::answered(TimePoint now, const RequestContent &fingerprint)
{
    std::erase_if(suspected_, [&fingerprint](const auto &entry) { return entry.first.content == fingerprint; });
    std::vector<ServerEnd> knownCrashes = counting();
    const std::vector<ServerEnd> suspicions = suspicionsBefore(now);
    knownCrashes.insert(knownCrashes.end(), suspicions.begin(), suspicions.end());
    for (const ServerEnd &crash : knownCrashes) {
        if (crash.content != fingerprint) {
            continue;
        }
        const auto localCrash = own_.find(crash);
        const bool isUnpublished = localCrash != own_.end() && !localCrash->second.isTold && !others_.contains(crash);
        if (isUnpublished) {
            own_.erase(localCrash);
        } else {
            excused_.emplace(crash, now);
            answeredAt_[crash.content] = now;
        }
    }
    boundOwn();
    reconsider(now);
}

void CrashLedger::told(TimePoint now, const std::vector<NamedCrashReport> &reports)
{
    std::map<ServerEnd, TimePoint> peerCrashes;
    const std::set<ServerEnd> before = std::exchange(excusedByOthers_, {});
    for (const auto &[entryVm, report] : reports) {
        if (entryVm == self_) {
            shownOwn_ = report;
            takeOver(now, report);
            continue;
        }
        for (const ServerEnd &crash : report.ends) {
            const auto known = others_.find(crash);
            peerCrashes.emplace(crash, known == others_.end() ? now : known->second);
        }
        excusedByOthers_.insert(report.excused.begin(), report.excused.end());
    }
    others_ = std::move(peerCrashes);
    noteExcuses(now, before);
    hasHeard_ = true;
    boundOwn();
    reconsider(now);
}

void CrashLedger::noteExcuses(TimePoint now, const std::set<ServerEnd> &before)
{
    for (const ServerEnd &crash : excusedByOthers_) {
        if (!before.contains(crash)) {
            answeredAt_[crash.content] = now;
        }
    }
}

void CrashLedger::takeOver(TimePoint now, const CrashReport &formerReport)
{
    // The last report of a former process may arrive after this one has started: its write was delayed, or it is still shutting down.
    for (const ServerEnd &crash : formerReport.ends) {
        if (!everOwn_.contains(crash)) {
            addOwn(crash, {now, true});
        }
    }
    for (const ServerEnd &crash : formerReport.excused) {
        excused_.emplace(crash, now);
    }
}

void CrashLedger::addOwn(const ServerEnd &crash, const Own &localCrash)
{
    own_.try_emplace(crash, localCrash);
    if (everOwn_.size() > MaxLocalCrashHistory) {
        everOwn_.clear();
    }
    everOwn_.insert(crash);
}

void CrashLedger::heard(TimePoint now, const CrashNews &update)
{
    const bool isLocal = update.entryVm == self_ && update.process == process_;
    if (isLocal || !heard_.take(now, update)) {
        return;
    }
    for (const ServerEnd &crash : update.report.excused) {
        heardExcused_.emplace(crash, now);
        answeredAt_[crash.content] = now;
    }
    boundOwn();
    reconsider(now);
}

void CrashLedger::setWitness(bool isWitness)
{
    isWitness_ = isWitness;
    isNewsStale_ = true;
}

bool CrashLedger::isKnownOtherwise(const ServerEnd &crash) const
{
    return others_.contains(crash) || own_.contains(crash);
}

void CrashLedger::witness(TimePoint now)
{
    // If all followers reported by proxy, each of them would write to the store when it is reachable again.
    if (!isWitness_) {
        return;
    }
    const auto isKnown = [this](const ServerEnd &crash) { return isKnownOtherwise(crash); };
    const auto overdue = heard_.takeUnwitnessed(now, WitnessDelay, isKnown);
    for (const ServerEnd &crash : overdue) {
        addOwn(crash, {now, true});
    }
    if (!overdue.empty()) {
        boundOwn();
        reconsider(now);
    }
}

void CrashLedger::tick(TimePoint now)
{
    witness(now);
    for (auto &[crash, localCrash] : own_) {
        if (!localCrash.isTold && (now - localCrash.seenAt >= FirstEndDelay || hasOthersOf(crash))) {
            localCrash.isTold = true;
            isReportStale_ = true;
        }
    }
    // An entry VM that was suspended has not observed its servers in the meantime.
    const auto isUnresolved = [now](const auto &entry) { return now - entry.second > SuspicionLifetime; };
    if (std::erase_if(suspected_, isUnresolved) > 0) {
        reconsider(now);
    }
    if (suspicionsBefore(now - ExcuseTime).size() != countedSuspicions_) {
        reconsider(now);
    }
    if (now >= nextExpiry_) {
        nextExpiry_ = now + ExpiryInterval;
        expire(now);
    }
}

void CrashLedger::expire(TimePoint now)
{
    const auto isExpired = [now](TimePoint since) { return now - since > EndLifetime; };
    std::size_t dropped = std::erase_if(own_, [&isExpired](const auto &entry) { return isExpired(entry.second.seenAt); });
    dropped += std::erase_if(excused_, [&isExpired](const auto &entry) { return isExpired(entry.second); });
    // Crashes reported by entry VMs that no longer exist stay in the store. They are marked as exonerated here, since dropped ones would be received as new.
    for (auto &[crash, since] : others_) {
        dropped += isExpired(since) && excusedByOthers_.insert(crash).second ? 1 : 0;
    }
    dropped += std::erase_if(heardExcused_, [&isExpired](const auto &entry) { return isExpired(entry.second); });
    dropped += heard_.expire(
                   now, [this](const ServerEnd &crash) { return isKnownOtherwise(crash); }, EndLifetime)
        ? 1
        : 0;
    dropped += std::erase_if(answeredAt_, [now](const auto &entry) { return now - entry.second > ExcuseLifetime; });
    if (dropped > 0) {
        reconsider(now);
    }
}

std::shared_ptr<const CrashVerdicts> CrashLedger::takeVerdicts()
{
    return std::exchange(areVerdictsNew_, false) ? std::make_shared<const CrashVerdicts>(verdicts_) : nullptr;
}

std::optional<CrashReport> CrashLedger::takeReport()
{
    if (!hasHeard_ || !std::exchange(isReportStale_, false)) {
        return std::nullopt;
    }
    CrashReport report;
    for (const auto &[crash, localCrash] : own_) {
        // An exoneration that was received directly may never reach the store, and entry VMs that start later would count the crash.
        if (localCrash.isTold && !heardExcused_.contains(crash)) {
            report.ends.push_back(crash);
        }
    }
    for (const auto &[crash, since] : excused_) {
        // A crash that was never written to the store needs no exoneration there.
        if (isKnownOtherwise(crash) || isShownAsOwn(crash)) {
            report.excused.push_back(crash);
        }
    }
    if (taken_ == report) {
        return std::nullopt;
    }
    taken_ = report;
    return report;
}

std::optional<CrashSpread> CrashLedger::takeSpread(TimePoint now)
{
    const bool isResendDue = hasOpenItems(lastNews_) && now >= nextNews_;
    const bool mayBecomeDue = !suspected_.empty();
    if (!isNewsStale_ && !isResendDue && !mayBecomeDue) {
        return std::nullopt;
    }
    isNewsStale_ = false;
    CrashSpread broadcast;
    spreadOwn(now, broadcast);
    if (isWitness_) {
        const auto isWorthForwarding = [this](const CrashNews &update) { return isWorthPassingOn(update); };
        broadcast.passedOn = heard_.takeUntold(isWorthForwarding);
        if (!areFollowersTold_ && (wereFollowersTold_ || isWorthForwarding(lastNews_))) {
            areFollowersTold_ = true;
            wereFollowersTold_ = true;
            broadcast.passedOn.push_back(lastNews_);
        }
    }
    return broadcast.own || !broadcast.passedOn.empty() ? std::optional(std::move(broadcast)) : std::nullopt;
}

void CrashLedger::spreadOwn(TimePoint now, CrashSpread &broadcast)
{
    CrashNews next = ownNews(now);
    const bool hasChanged = isNewsAfter(lastNews_, next);
    const bool isResend = hasOpenItems(next) && now >= nextNews_;
    next.number = lastNews_.number + (hasChanged || isResend ? 1 : 0);
    lastNews_ = std::move(next);
    if (hasChanged || isResend) {
        nextNews_ = now + NewsInterval;
        areFollowersTold_ = areFollowersTold_ && !hasChanged;
        broadcast.own = lastNews_;
    }
}

CrashNews CrashLedger::ownNews(TimePoint now) const
{
    CrashNews update{self_, process_, 0, {}, {}};
    for (const auto &[crash, localCrash] : own_) {
        if (!isShownAsOwn(crash) && !others_.contains(crash) && !isExcused(crash)) {
            update.report.ends.push_back(crash);
        }
    }
    for (const auto &[crash, since] : suspected_) {
        if (now - since >= FirstSuspicionDelay || serversKnownUnder(crash.content) > 1) {
            update.suspected.push_back(crash);
        }
    }
    for (const auto &[crash, since] : excused_) {
        // Peers that received the crash have received its exoneration by then.
        if (now - since <= HeardCrashNews::LateLimit) {
            update.report.excused.push_back(crash);
        }
    }
    return update;
}

bool CrashLedger::isNewsAfter(const CrashNews &last, const CrashNews &next) const
{
    const auto isIn = [](const ServerEnd &crash, const std::vector<ServerEnd> &crashes) {
        return std::find(crashes.begin(), crashes.end(), crash) != crashes.end();
    };
    const auto hasMore = [&isIn](const std::vector<ServerEnd> &more, const std::vector<ServerEnd> &than) {
        return std::any_of(more.begin(), more.end(), [&](const ServerEnd &crash) { return !isIn(crash, than); });
    };
    const auto isWithdrawn = [&](const ServerEnd &crash) {
        return !isIn(crash, next.report.ends) && !isIn(crash, next.suspected) && !isKnownOtherwise(crash) && !isExcused(crash);
    };
    return hasMore(next.report.ends, last.report.ends) || hasMore(next.suspected, last.suspected) || hasMore(next.report.excused, last.report.excused)
        || std::any_of(last.report.ends.begin(), last.report.ends.end(), isWithdrawn) || std::any_of(last.suspected.begin(), last.suspected.end(), isWithdrawn);
}

bool CrashLedger::isWorthPassingOn(const CrashNews &update) const
{
    if (!update.report.excused.empty()) {
        return true;
    }
    const auto isNearThreshold = [this](const ServerEnd &crash) { return serversKnownUnder(crash.content) + 1 >= CrashVerdicts::EndsBorne; };
    return std::any_of(update.report.ends.begin(), update.report.ends.end(), isNearThreshold)
        || std::any_of(update.suspected.begin(), update.suspected.end(), isNearThreshold);
}

std::vector<CrashNews> CrashLedger::allNews() const
{
    std::vector<CrashNews> all = heard_.all();
    if (hasOpenItems(lastNews_)) {
        all.push_back(lastNews_);
    }
    std::erase_if(all, [](const CrashNews &update) { return !hasOpenItems(update); });
    return all;
}

std::vector<ServerEnd> CrashLedger::counting() const
{
    std::set<ServerEnd> all;
    for (const auto &[crash, localCrash] : own_) {
        all.insert(crash);
    }
    for (const auto &[crash, since] : others_) {
        all.insert(crash);
    }
    for (const CrashNews &update : heard_.all()) {
        all.insert(update.report.ends.begin(), update.report.ends.end());
    }
    std::erase_if(all, [this](const ServerEnd &crash) { return isExcused(crash); });
    return {all.begin(), all.end()};
}

std::vector<ServerEnd> CrashLedger::suspicionsBefore(TimePoint until) const
{
    std::vector<ServerEnd> all = heard_.suspectedBefore(until);
    for (const auto &[crash, since] : suspected_) {
        if (since <= until) {
            all.push_back(crash);
        }
    }
    std::erase_if(all, [this](const ServerEnd &crash) { return isExcused(crash); });
    return all;
}

std::size_t CrashLedger::serversKnownUnder(const RequestContent &fingerprint) const
{
    std::set<std::string> servers;
    const auto add = [&fingerprint, &servers](const ServerEnd &crash) {
        if (crash.content == fingerprint) {
            servers.insert(crash.server);
        }
    };
    const auto crashes = counting();
    const auto suspicions = suspicionsBefore(TimePoint::max());
    std::for_each(crashes.begin(), crashes.end(), add);
    std::for_each(suspicions.begin(), suspicions.end(), add);
    return servers.size();
}

bool CrashLedger::isExcused(const ServerEnd &crash) const
{
    return excused_.contains(crash) || excusedByOthers_.contains(crash) || heardExcused_.contains(crash);
}

std::vector<ServerEnd> CrashLedger::allExcused() const
{
    std::vector<ServerEnd> all(excusedByOthers_.begin(), excusedByOthers_.end());
    for (const auto &[crash, since] : excused_) {
        all.push_back(crash);
    }
    for (const auto &[crash, since] : heardExcused_) {
        all.push_back(crash);
    }
    return all;
}

bool CrashLedger::hasOthersOf(const ServerEnd &crash) const
{
    const auto isOther = [&crash](const auto &entry) { return entry.first.content.digest == crash.content.digest && entry.first.server != crash.server; };
    return std::any_of(own_.begin(), own_.end(), isOther) || std::any_of(others_.begin(), others_.end(), isOther);
}

void CrashLedger::reconsider(TimePoint now)
{
    isReportStale_ = true;
    isNewsStale_ = true;
    std::set<RequestContent> recentlyAnswered;
    for (const auto &[fingerprint, at] : answeredAt_) {
        recentlyAnswered.insert(fingerprint);
    }
    const std::vector<ServerEnd> suspicions = suspicionsBefore(now - ExcuseTime);
    countedSuspicions_ = suspicions.size();
    CrashVerdicts next(counting(), allExcused(), recentlyAnswered, suspicions);
    if (next != verdicts_) {
        verdicts_ = std::move(next);
        areVerdictsNew_ = true;
    }
}

bool CrashLedger::isShownAsOwn(const ServerEnd &crash) const
{
    const auto has = [&crash](const std::vector<ServerEnd> &crashes) { return std::find(crashes.begin(), crashes.end(), crash) != crashes.end(); };
    return has(shownOwn_.ends) || has(shownOwn_.excused);
}

void CrashLedger::boundOwn()
{
    dropOldest(own_, MostKept, [](const auto &entry) { return entry.second.seenAt; });
    dropOldest(excused_, MostKept, [](const auto &entry) { return entry.second; });
    dropOldest(suspected_, MostKept, [](const auto &entry) { return entry.second; });
    dropOldest(heardExcused_, MostKept, [](const auto &entry) { return entry.second; });
}

} // namespace Cloverbarrow
