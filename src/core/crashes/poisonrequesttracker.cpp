/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/poisonrequesttracker.h"

#include "core/crashes/crashcontainers.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// The search for expired entries takes time for each known crash, of which there are at most a few thousand.
constexpr Duration ExpiryInterval = seconds(10);
// A withdrawn crash that is no longer remembered may be adopted once more from this entry VM's report in the store.
constexpr std::size_t MaxLocalCrashHistory = 4 * PoisonRequestTracker::MaxEntries;

/// @return whether the update contains crashes or suspicions.
bool hasOpenItems(const CrashUpdate &update)
{
    return !update.report.crashes.empty() || !update.suspected.empty();
}

} // namespace

PoisonRequestTracker::PoisonRequestTracker(std::string localEntryVm, std::string process)
    : localEntryVm_(std::move(localEntryVm))
    , process_(std::move(process))
{
}

void PoisonRequestTracker::serverSuspected(TimePoint now, const RequestFingerprint &fingerprint, const std::string &server)
{
    const ServerCrash suspicion{fingerprint, server};
    if (!localCrashes_.contains(suspicion)) {
        suspected_.try_emplace(suspicion, now);
    }
    enforceSizeLimits();
    rebuildBlocklist(now);
}

void PoisonRequestTracker::serverCrashed(TimePoint now, const RequestFingerprint &fingerprint, const std::string &server)
{
    suspected_.erase({fingerprint, server});
    addLocalCrash({fingerprint, server}, {now, false});
    enforceSizeLimits();
    rebuildBlocklist(now);
}

void PoisonRequestTracker::suspicionCleared(TimePoint now, const std::string &server)
{
    if (std::erase_if(suspected_, [&server](const auto &entry) { return entry.first.server == server; }) > 0) {
        rebuildBlocklist(now);
    }
}

void PoisonRequestTracker::serverRecovered(TimePoint now, const std::string &server)
{
    suspicionCleared(now, server);
    std::erase_if(localCrashes_, [&server](const auto &entry) { return entry.first.server == server; });
    rebuildBlocklist(now);
}

void PoisonRequestTracker::requestAnswered(TimePoint now, const RequestFingerprint &fingerprint)
{
    std::erase_if(suspected_, [&fingerprint](const auto &entry) { return entry.first.fingerprint == fingerprint; });
    std::vector<ServerCrash> knownCrashes = countedCrashes();
    const std::vector<ServerCrash> suspicions = suspicionsBefore(now);
    knownCrashes.insert(knownCrashes.end(), suspicions.begin(), suspicions.end());
    for (const ServerCrash &crash : knownCrashes) {
        if (crash.fingerprint != fingerprint) {
            continue;
        }
        const auto localCrash = localCrashes_.find(crash);
        const bool isUnpublished = localCrash != localCrashes_.end() && !localCrash->second.isPublished && !storedPeerCrashes_.contains(crash);
        if (isUnpublished) {
            localCrashes_.erase(localCrash);
        } else {
            localExonerations_.emplace(crash, now);
            exoneratedAt_[crash.fingerprint] = now;
        }
    }
    exonerateFromOtherCallers(now, fingerprint);
    enforceSizeLimits();
    rebuildBlocklist(now);
}

void PoisonRequestTracker::exonerateFromOtherCallers(TimePoint now, const RequestFingerprint &fingerprint)
{
    for (const ServerCrash &crash : countedCrashes()) {
        const bool isCopy = crash.fingerprint.digest == fingerprint.digest && crash.fingerprint != fingerprint;
        if (isCopy && !isExoneratedForAnyCaller(crash)) {
            localExonerations_.emplace(ServerCrash{fingerprint, crash.server}, now);
            exoneratedAt_[fingerprint] = now;
        }
    }
}

void PoisonRequestTracker::reportsReceived(TimePoint now, const std::vector<NamedCrashReport> &reports)
{
    std::map<ServerCrash, TimePoint> peerCrashes;
    const std::set<ServerCrash> before = std::exchange(storedPeerExonerations_, {});
    for (const auto &[entryVm, report] : reports) {
        if (entryVm == localEntryVm_) {
            storedLocalReport_ = report;
            adoptReport(now, report);
            continue;
        }
        for (const ServerCrash &crash : report.crashes) {
            const auto known = storedPeerCrashes_.find(crash);
            peerCrashes.emplace(crash, known == storedPeerCrashes_.end() ? now : known->second);
        }
        storedPeerExonerations_.insert(report.exonerated.begin(), report.exonerated.end());
    }
    storedPeerCrashes_ = std::move(peerCrashes);
    recordNewExonerations(now, before);
    hasStoredReports_ = true;
    enforceSizeLimits();
    rebuildBlocklist(now);
}

void PoisonRequestTracker::recordNewExonerations(TimePoint now, const std::set<ServerCrash> &before)
{
    for (const ServerCrash &crash : storedPeerExonerations_) {
        if (!before.contains(crash)) {
            exoneratedAt_[crash.fingerprint] = now;
        }
    }
}

void PoisonRequestTracker::adoptReport(TimePoint now, const CrashReport &formerReport)
{
    // The last report of a former process may arrive after this one has started: its write was delayed, or it is still shutting down.
    for (const ServerCrash &crash : formerReport.crashes) {
        if (!localCrashHistory_.contains(crash)) {
            addLocalCrash(crash, {now, true});
        }
    }
    for (const ServerCrash &crash : formerReport.exonerated) {
        localExonerations_.emplace(crash, now);
    }
}

void PoisonRequestTracker::addLocalCrash(const ServerCrash &crash, const LocalCrash &localCrash)
{
    localCrashes_.try_emplace(crash, localCrash);
    if (localCrashHistory_.size() > MaxLocalCrashHistory) {
        localCrashHistory_.clear();
    }
    localCrashHistory_.insert(crash);
}

void PoisonRequestTracker::updateReceived(TimePoint now, const CrashUpdate &update)
{
    const bool isLocal = update.entryVm == localEntryVm_ && update.process == process_;
    if (isLocal || !peerUpdates_.apply(now, update)) {
        return;
    }
    ++updateCounts_.received;
    for (const ServerCrash &crash : update.report.exonerated) {
        directPeerExonerations_.emplace(crash, now);
        exoneratedAt_[crash.fingerprint] = now;
    }
    enforceSizeLimits();
    if (mayRebuild(now)) {
        applyUpdates(now);
        return;
    }
    // Counted now, so that it is forwarded without delay, but applied to the blocklist by tick().
    addAffectedServers(update.report.crashes);
    addAffectedServers(update.suspected);
    addCrashedServers(update.report.crashes);
    isRebuildDue_ = true;
    isRebuildUrgent_ = isRebuildUrgent_ || changesDecision(update.report);
    isUpdateStale_ = isUpdateStale_ || isProxyReporter_;
}

bool PoisonRequestTracker::mayRebuild(TimePoint now) const
{
    return !updatesAppliedAt_ || now - *updatesAppliedAt_ >= MinRebuildInterval;
}

void PoisonRequestTracker::applyUpdates(TimePoint now)
{
    updatesAppliedAt_ = now;
    rebuildBlocklist(now);
}

bool PoisonRequestTracker::changesDecision(const CrashReport &report) const
{
    const auto isBlocked = [this](const ServerCrash &crash) { return blocklist_.blocks(crash.fingerprint); };
    return hasRequestToBlock(report.crashes) || std::any_of(report.exonerated.begin(), report.exonerated.end(), isBlocked);
}

bool PoisonRequestTracker::hasRequestToBlock(const std::vector<ServerCrash> &crashes) const
{
    return std::any_of(crashes.begin(), crashes.end(), [this](const ServerCrash &crash) {
        return linkedServerCount(crash.fingerprint) >= RequestBlocklist::CrashesToBlock && !blocklist_.blocks(crash.fingerprint);
    });
}

void PoisonRequestTracker::updatesRefused(TimePoint now)
{
    peerUpdates_.setRefusedAt(now);
}

void PoisonRequestTracker::setProxyReporter(bool isProxyReporter)
{
    isProxyReporter_ = isProxyReporter;
    isUpdateStale_ = true;
}

bool PoisonRequestTracker::isLocalOrStored(const ServerCrash &crash) const
{
    return storedPeerCrashes_.contains(crash) || localCrashes_.contains(crash);
}

void PoisonRequestTracker::reportByProxy(TimePoint now)
{
    // If all followers reported by proxy, each of them would write to the store when it is reachable again.
    if (!isProxyReporter_) {
        return;
    }
    const auto isKnown = [this](const ServerCrash &crash) { return isLocalOrStored(crash); };
    const auto overdue = peerUpdates_.takeOverdue(now, ProxyReportDelay, isKnown);
    for (const ServerCrash &crash : overdue) {
        addLocalCrash(crash, {now, true});
    }
    if (!overdue.empty()) {
        enforceSizeLimits();
        rebuildBlocklist(now);
    }
}

void PoisonRequestTracker::tick(TimePoint now)
{
    reportByProxy(now);
    for (auto &[crash, localCrash] : localCrashes_) {
        if (!localCrash.isPublished && (now - localCrash.seenAt >= FirstCrashDelay || hasCrashOnOtherServer(crash))) {
            localCrash.isPublished = true;
            isReportStale_ = true;
        }
    }
    // An entry VM that was suspended has not observed its servers in the meantime.
    const auto isUnresolved = [now](const auto &entry) { return now - entry.second > SuspicionLifetime; };
    if (std::erase_if(suspected_, isUnresolved) > 0) {
        rebuildBlocklist(now);
    }
    const std::vector<ServerCrash> suspicions = suspicionsBefore(now - SuspicionGracePeriod);
    if (suspicions.size() != countedSuspicions_) {
        isRebuildDue_ = true;
        isRebuildUrgent_ = isRebuildUrgent_ || hasRequestToBlock(suspicions);
    }
    if (isRebuildDue_ && (isRebuildUrgent_ || mayRebuild(now))) {
        applyUpdates(now);
    }
    if (now >= nextExpiry_) {
        nextExpiry_ = now + ExpiryInterval;
        expire(now);
    }
}

void PoisonRequestTracker::expire(TimePoint now)
{
    const auto isExpired = [now](TimePoint since) { return now - since > CrashLifetime; };
    std::size_t dropped = std::erase_if(localCrashes_, [&isExpired](const auto &entry) { return isExpired(entry.second.seenAt); });
    dropped += std::erase_if(localExonerations_, [&isExpired](const auto &entry) { return isExpired(entry.second); });
    // Crashes reported by entry VMs that no longer exist stay in the store. They are marked as exonerated here, since dropped ones would be received as new.
    for (auto &[crash, since] : storedPeerCrashes_) {
        dropped += isExpired(since) && storedPeerExonerations_.insert(crash).second ? 1 : 0;
    }
    dropped += std::erase_if(directPeerExonerations_, [&isExpired](const auto &entry) { return isExpired(entry.second); });
    dropped += peerUpdates_.expire(
                   now, [this](const ServerCrash &crash) { return isLocalOrStored(crash); }, CrashLifetime)
        ? 1
        : 0;
    dropped += std::erase_if(exoneratedAt_, [now](const auto &entry) { return now - entry.second > ExonerationLifetime; });
    if (dropped > 0) {
        rebuildBlocklist(now);
    }
}

std::shared_ptr<const RequestBlocklist> PoisonRequestTracker::takeBlocklist()
{
    return std::exchange(hasBlocklistChanged_, false) ? std::make_shared<const RequestBlocklist>(blocklist_) : nullptr;
}

std::optional<CrashReport> PoisonRequestTracker::takeReport()
{
    if (!hasStoredReports_ || !std::exchange(isReportStale_, false)) {
        return std::nullopt;
    }
    CrashReport report;
    for (const auto &[crash, localCrash] : localCrashes_) {
        // An exoneration that was received directly may never reach the store, and entry VMs that start later would count the crash.
        if (localCrash.isPublished && !directPeerExonerations_.contains(crash)) {
            report.crashes.push_back(crash);
        }
    }
    for (const auto &[crash, since] : localExonerations_) {
        // A crash that was never written to the store needs no exoneration there.
        if (isCopyLocalOrStored(crash) || isInStoredLocalReport(crash)) {
            report.exonerated.push_back(crash);
        }
    }
    if (lastReport_ == report) {
        return std::nullopt;
    }
    lastReport_ = report;
    return report;
}

std::optional<CrashBroadcast> PoisonRequestTracker::takeBroadcast(TimePoint now)
{
    const bool isResendDue = hasOpenItems(lastLocalUpdate_) && now >= nextResend_;
    const bool mayBecomeDue = !suspected_.empty();
    if (!isUpdateStale_ && !isResendDue && !mayBecomeDue) {
        return std::nullopt;
    }
    isUpdateStale_ = false;
    CrashBroadcast broadcast;
    addLocalUpdate(now, broadcast);
    if (isProxyReporter_ && !forwardTokens_.isAvailable(now)) {
        isUpdateStale_ = true;
    } else if (isProxyReporter_) {
        const auto isWorthForwarding = [this](const CrashUpdate &update) { return needsForwarding(update); };
        broadcast.forwarded = peerUpdates_.takeUnforwarded(isWorthForwarding);
        if (!areFollowersNotified_ && (wereFollowersNotified_ || isWorthForwarding(lastLocalUpdate_))) {
            areFollowersNotified_ = true;
            wereFollowersNotified_ = true;
            broadcast.forwarded.push_back(lastLocalUpdate_);
        }
        if (!broadcast.forwarded.empty()) {
            forwardTokens_.take(now);
            ++updateCounts_.forwards;
        }
    }
    const auto isUrgent = [this](const CrashUpdate &update) { return isNearThreshold(update); };
    broadcast.isUrgent = (broadcast.local && isUrgent(*broadcast.local)) || std::any_of(broadcast.forwarded.begin(), broadcast.forwarded.end(), isUrgent);
    return broadcast.local || !broadcast.forwarded.empty() ? std::optional(std::move(broadcast)) : std::nullopt;
}

void PoisonRequestTracker::addLocalUpdate(TimePoint now, CrashBroadcast &broadcast)
{
    CrashUpdate next = makeLocalUpdate(now);
    const bool hasChanged = isSignificantChange(lastLocalUpdate_, next);
    const bool isResend = hasOpenItems(next) && now >= nextResend_;
    next.sequenceNumber = lastLocalUpdate_.sequenceNumber + (hasChanged || isResend ? 1 : 0);
    lastLocalUpdate_ = std::move(next);
    if (hasChanged || isResend) {
        nextResend_ = now + ResendInterval;
        areFollowersNotified_ = areFollowersNotified_ && !hasChanged;
        broadcast.local = lastLocalUpdate_;
    }
}

CrashUpdate PoisonRequestTracker::makeLocalUpdate(TimePoint now) const
{
    CrashUpdate update{localEntryVm_, process_, 0, {}, {}};
    for (const auto &[crash, localCrash] : localCrashes_) {
        if (!isInStoredLocalReport(crash) && !storedPeerCrashes_.contains(crash) && !isExonerated(crash)) {
            update.report.crashes.push_back(crash);
        }
    }
    for (const auto &[crash, since] : suspected_) {
        if (now - since >= FirstSuspicionDelay || affectedServerCount(crash.fingerprint) > 1) {
            update.suspected.push_back(crash);
        }
    }
    for (const auto &[crash, since] : localExonerations_) {
        // Peers that received the crash have received its exoneration by then.
        if (now - since <= PeerCrashUpdates::LateUpdateLimit) {
            update.report.exonerated.push_back(crash);
        }
    }
    return update;
}

bool PoisonRequestTracker::isSignificantChange(const CrashUpdate &last, const CrashUpdate &next) const
{
    const auto isIn = [](const ServerCrash &crash, const std::vector<ServerCrash> &crashes) {
        return std::find(crashes.begin(), crashes.end(), crash) != crashes.end();
    };
    const auto hasMore = [&isIn](const std::vector<ServerCrash> &more, const std::vector<ServerCrash> &than) {
        return std::any_of(more.begin(), more.end(), [&](const ServerCrash &crash) { return !isIn(crash, than); });
    };
    const auto isWithdrawn = [&](const ServerCrash &crash) {
        return !isIn(crash, next.report.crashes) && !isIn(crash, next.suspected) && !isLocalOrStored(crash) && !isExonerated(crash);
    };
    return hasMore(next.report.crashes, last.report.crashes) || hasMore(next.suspected, last.suspected)
        || hasMore(next.report.exonerated, last.report.exonerated) || std::any_of(last.report.crashes.begin(), last.report.crashes.end(), isWithdrawn)
        || std::any_of(last.suspected.begin(), last.suspected.end(), isWithdrawn);
}

bool PoisonRequestTracker::needsForwarding(const CrashUpdate &update) const
{
    return !update.report.exonerated.empty() || isNearThreshold(update);
}

bool PoisonRequestTracker::isNearThreshold(const CrashUpdate &update) const
{
    const auto isNear = [this](const ServerCrash &crash) { return linkedServerCount(crash.fingerprint) + 1 >= RequestBlocklist::CrashesToBlock; };
    return std::any_of(update.report.crashes.begin(), update.report.crashes.end(), isNear)
        || std::any_of(update.suspected.begin(), update.suspected.end(), isNear);
}

std::vector<CrashUpdate> PoisonRequestTracker::pendingUpdates() const
{
    std::vector<CrashUpdate> all = peerUpdates_.all();
    if (hasOpenItems(lastLocalUpdate_)) {
        all.push_back(lastLocalUpdate_);
    }
    std::erase_if(all, [](const CrashUpdate &update) { return !hasOpenItems(update); });
    return all;
}

const CrashUpdateCounts &PoisonRequestTracker::updateCounts() const
{
    return updateCounts_;
}

std::vector<ServerCrash> PoisonRequestTracker::countedCrashes() const
{
    std::set<ServerCrash> all;
    for (const auto &[crash, localCrash] : localCrashes_) {
        all.insert(crash);
    }
    for (const auto &[crash, since] : storedPeerCrashes_) {
        all.insert(crash);
    }
    for (const CrashUpdate &update : peerUpdates_.all()) {
        all.insert(update.report.crashes.begin(), update.report.crashes.end());
    }
    std::erase_if(all, [this](const ServerCrash &crash) { return isExonerated(crash); });
    return {all.begin(), all.end()};
}

std::vector<ServerCrash> PoisonRequestTracker::suspicionsBefore(TimePoint until) const
{
    std::vector<ServerCrash> all = peerUpdates_.suspectedBefore(until);
    for (const auto &[crash, since] : suspected_) {
        if (since <= until) {
            all.push_back(crash);
        }
    }
    std::erase_if(all, [this](const ServerCrash &crash) { return isExonerated(crash); });
    return all;
}

std::size_t PoisonRequestTracker::affectedServerCount(const RequestFingerprint &fingerprint) const
{
    const auto found = affectedServers_.find(fingerprint);
    return found == affectedServers_.end() ? 0 : found->second.size();
}

std::size_t PoisonRequestTracker::linkedServerCount(const RequestFingerprint &fingerprint) const
{
    const auto found = crashedServers_.find(fingerprint.digest);
    return std::max(affectedServerCount(fingerprint), found == crashedServers_.end() ? 0 : found->second.size());
}

void PoisonRequestTracker::addAffectedServers(const std::vector<ServerCrash> &crashes)
{
    for (const ServerCrash &crash : crashes) {
        if (!isExonerated(crash)) {
            affectedServers_[crash.fingerprint].insert(crash.server);
        }
    }
}

void PoisonRequestTracker::addCrashedServers(const std::vector<ServerCrash> &crashes)
{
    for (const ServerCrash &crash : crashes) {
        if (!isExoneratedForAnyCaller(crash)) {
            crashedServers_[crash.fingerprint.digest].insert(crash.server);
        }
    }
}

bool PoisonRequestTracker::isExonerated(const ServerCrash &crash) const
{
    return localExonerations_.contains(crash) || storedPeerExonerations_.contains(crash) || directPeerExonerations_.contains(crash);
}

bool PoisonRequestTracker::isExoneratedForAnyCaller(const ServerCrash &crash) const
{
    return containsCopy(localExonerations_, crash) || containsCopy(storedPeerExonerations_, crash) || containsCopy(directPeerExonerations_, crash);
}

bool PoisonRequestTracker::isCopyLocalOrStored(const ServerCrash &crash) const
{
    return containsCopy(localCrashes_, crash) || containsCopy(storedPeerCrashes_, crash);
}

std::vector<ServerCrash> PoisonRequestTracker::allExonerated() const
{
    std::vector<ServerCrash> all(storedPeerExonerations_.begin(), storedPeerExonerations_.end());
    for (const auto &[crash, since] : localExonerations_) {
        all.push_back(crash);
    }
    for (const auto &[crash, since] : directPeerExonerations_) {
        all.push_back(crash);
    }
    return all;
}

bool PoisonRequestTracker::hasCrashOnOtherServer(const ServerCrash &crash) const
{
    const auto isOther = [&crash](const auto &entry) {
        return entry.first.fingerprint.digest == crash.fingerprint.digest && entry.first.server != crash.server;
    };
    return std::any_of(localCrashes_.begin(), localCrashes_.end(), isOther) || std::any_of(storedPeerCrashes_.begin(), storedPeerCrashes_.end(), isOther);
}

void PoisonRequestTracker::rebuildBlocklist(TimePoint now)
{
    isReportStale_ = true;
    isUpdateStale_ = true;
    isRebuildDue_ = false;
    isRebuildUrgent_ = false;
    ++updateCounts_.blocklistRebuilds;
    std::set<RequestFingerprint> recentlyAnswered;
    for (const auto &[fingerprint, at] : exoneratedAt_) {
        recentlyAnswered.insert(fingerprint);
    }
    const std::vector<ServerCrash> suspicions = suspicionsBefore(now - SuspicionGracePeriod);
    countedSuspicions_ = suspicions.size();
    const std::vector<ServerCrash> crashes = countedCrashes();
    affectedServers_.clear();
    crashedServers_.clear();
    addAffectedServers(crashes);
    addCrashedServers(crashes);
    addAffectedServers(suspicionsBefore(TimePoint::max()));
    RequestBlocklist next(crashes, allExonerated(), recentlyAnswered, suspicions);
    if (next != blocklist_) {
        blocklist_ = std::move(next);
        hasBlocklistChanged_ = true;
    }
}

bool PoisonRequestTracker::isInStoredLocalReport(const ServerCrash &crash) const
{
    const auto has = [&crash](const std::vector<ServerCrash> &crashes) { return std::find(crashes.begin(), crashes.end(), crash) != crashes.end(); };
    return has(storedLocalReport_.crashes) || has(storedLocalReport_.exonerated);
}

void PoisonRequestTracker::enforceSizeLimits()
{
    dropOldest(localCrashes_, MaxEntries, [](const auto &entry) { return entry.second.seenAt; });
    dropOldest(localExonerations_, MaxEntries, [](const auto &entry) { return entry.second; });
    dropOldest(suspected_, MaxEntries, [](const auto &entry) { return entry.second; });
    dropOldest(directPeerExonerations_, MaxEntries, [](const auto &entry) { return entry.second; });
}

} // namespace Cloverbarrow
