/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/directorykeeper.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Cloverbarrow
{

namespace
{
// Cheap calls to the store detect an outage while watches hang.
constexpr Duration CheckInterval = milliseconds(1500);
// Calls are billed during an outage of the store too, so further checks are made less often: at most 11 in 8 s, compared with 21 at a constant interval.
constexpr int FullRateFailedChecks = 3;
// A newly started entry VM waits for crash reports before it serves requests, so that it knows which requests crash servers. Reports that have not arrived
// by then come late or never, e.g. if the relay has terminated or runs an earlier release.
constexpr Duration CrashReportTimeout = milliseconds(300);
// The first check after a failed call is made at once, with jitter so that entry VMs do not check at the same moment.
constexpr Duration FirstCheckJitter = milliseconds(100);

/// Indexed by indexOf().
constexpr std::array CollectionNames = {"routing", "servers", "crashes", "evacuations"};

/// @return the collection whose list or watch the event answers, if any.
std::optional<Collection> collectionOf(const DirectoryEvent &event)
{
    return std::visit(
        [](const auto &typed) -> std::optional<Collection> {
            if constexpr (requires { typed.collection; }) {
                return typed.collection;
            } else {
                return std::nullopt;
            }
        },
        event);
}

} // namespace

DirectoryKeeper::DirectoryKeeper(const FleetBudgets &budgets, RelaySeat election, std::uint64_t seed, std::string reportName)
    : budgets_(budgets)
    , fleet_(budgets.zones)
    , random_(seed)
    , seat_(std::move(election))
    , routing_(Collection::Routing)
    , servers_(Collection::Servers)
    , crashes_(Collection::Crashes)
    , evacuations_(Collection::Evacuations)
    , self_(std::move(reportName))
    , reportPeers_(seat_.ownAddress())
{
}

void DirectoryKeeper::tick(TimePoint now, DirectoryActions &actions)
{
    seat_.tick(now, actions);
    if (isAtStore() && isStoreLost_ && (hasCheckFailed_ || !provenAt_)) {
        seat_.storeSilent(now, actions);
    }
    followSource(now, actions);
    meetPeers(actions);
    meetSubstitutes(now, actions);
    // While the store is unreachable, only the cheap check is made; a successful one restarts the other calls.
    const bool isWaiting = seat_.state() == RelaySeat::State::Deciding || (isAtStore() && isStoreLost_ && provenAt_);
    if (!isWaiting) {
        routing_.tick(now, source_, actions);
        servers_.tick(now, source_, actions);
        crashes_.tick(now, source_, actions);
        evacuations_.tick(now, source_, actions);
    }
    compareWatches(now, actions);
    if (!isStoreLost_) {
        // Calls are billed while the store is unreachable too.
        crashWriter_.tick(now, actions);
    }
    if (seat_.isRelaying()) {
        takePlace(now, fleet_.ownPlace(now));
    } else {
        fleet_.stopCounting();
    }
    if (registry_.tick(now) || hasWaitedForCrashes(now) || hasPlaceChanged(now)) {
        publish(now, actions);
    }
    if (seat_.isRelaying()) {
        countedInZone(now, fleet_.countedInZone(now), actions);
    }
    if (isAtStore() && provenAt_ && !isChecking_ && now >= nextCheck_) {
        isChecking_ = true;
        actions.emplace_back(CheckDirectory{});
    }
}

void DirectoryKeeper::handle(TimePoint now, const DirectoryAnswer &answer, DirectoryActions &actions)
{
    const auto collection = collectionOf(answer.event);
    if (collection && !watchOf(*collection).takes(answer.call)) {
        return;
    }
    std::visit([this, now, &actions](const auto &typed) { on(now, typed, actions); }, answer.event);
    followSource(now, actions);
}

void DirectoryKeeper::on(TimePoint now, const DirectoryListed &event, DirectoryActions &actions)
{
    comparison_.known(event.collection, event.entries);
    CollectionWatch &watch = watchOf(event.collection);
    const bool isComplete = watch.listed(now, event);
    if (isComplete) {
        heardUpTo(event.collection, watch.listedUpTo());
    }
    if (takeList(now, event, isComplete, actions)) {
        publish(now, actions);
    }
    sourceAnswered(now, actions);
}

bool DirectoryKeeper::takeList(TimePoint now, const DirectoryListed &event, bool isComplete, DirectoryActions &actions)
{
    switch (event.collection) {
    case Collection::Routing:
        return takePlans(event.entries, actions);
    case Collection::Crashes:
        return takeCrashList(now, event, isComplete, actions);
    case Collection::Evacuations:
        return takeEvacuationList(event, isComplete, actions);
    case Collection::Servers:
        break;
    }
    bool hasChanged = registry_.listed(now, event.entries);
    // Objects missing from all pages are removed only after the last page.
    hasChanged = (isComplete && registry_.listEnded(now, servers_.listedUpTo())) || hasChanged || isComplete;
    reportUnusable(actions);
    return hasChanged;
}

bool DirectoryKeeper::takeCrashList(TimePoint now, const DirectoryListed &event, bool isComplete, DirectoryActions &actions)
{
    reportFaults(event.entries, actions);
    crashBook_.listed(event.entries);
    if (!isComplete) {
        return false;
    }
    crashBook_.listEnded(crashes_.listedUpTo());
    publishCrashes(now, actions);
    return published_ == 0;
}

bool DirectoryKeeper::takeEvacuationList(const DirectoryListed &event, bool isComplete, DirectoryActions &actions)
{
    reportFaults(event.entries, actions);
    evacuationBook_.listed(event.entries);
    if (isComplete) {
        evacuationBook_.listEnded(evacuations_.listedUpTo());
    }
    // Zones named by the first pages are evacuated at once, previous waiting for the remaining pages.
    const bool hasChanged = takeEvacuatedZones(actions);
    return hasChanged || (isComplete && published_ == 0);
}

bool DirectoryKeeper::takeEvacuatedZones(DirectoryActions &actions)
{
    const std::vector<std::string> before = std::exchange(evacuatedZones_, evacuatedZonesIn(evacuationBook_));
    const auto report = [this, &actions](const char *what, const std::vector<std::string> &zones, const std::vector<std::string> &previous) {
        for (const std::string &zone : zones) {
            if (!std::binary_search(previous.begin(), previous.end(), zone)) {
                actions.emplace_back(ReportDirectory{what, zone + ", with " + std::to_string(registry_.countIn(zone)) + " backend servers known"});
            }
        }
    };
    report("zone evacuated", evacuatedZones_, before);
    report("zone taken back", before, evacuatedZones_);
    return evacuatedZones_ != before;
}

void DirectoryKeeper::on(TimePoint now, const DirectoryChanged &event, DirectoryActions &actions)
{
    comparison_.known(event.collection, event.entries);
    sourceAnswered(now, actions);
    watchOf(event.collection).changed(now, event);
    heardUpTo(event.collection, event.storeRevision);
    if (event.collection == Collection::Crashes) {
        reportFaults(event.entries, actions);
        if (crashBook_.changed(event.entries)) {
            publishCrashes(now, actions);
        }
        return;
    }
    if (event.collection == Collection::Evacuations) {
        reportFaults(event.entries, actions);
        evacuationBook_.changed(event.entries);
        if (takeEvacuatedZones(actions)) {
            publish(now, actions);
        }
        return;
    }
    const bool hasChanged = event.collection == Collection::Routing ? takePlans(event.entries, actions) : registry_.changed(now, event.entries);
    reportUnusable(actions);
    if (hasChanged) {
        publish(now, actions);
    }
}

void DirectoryKeeper::on(TimePoint now, const DirectoryHistoryGone &event, DirectoryActions &actions)
{
    sourceAnswered(now, actions);
    actions.emplace_back(ReportDirectory{"watch history expired", CollectionNames.at(indexOf(event.collection))});
    if (event.collection == Collection::Servers) {
        registry_.listBroken();
    }
    watchOf(event.collection).historyGone(now);
}

void DirectoryKeeper::on(TimePoint now, const DirectoryCallFailed &event, DirectoryActions &actions)
{
    if (event.collection == Collection::Servers) {
        registry_.listBroken();
    }
    watchOf(event.collection).failed(now, random_);
    if (event.collection == Collection::Crashes) {
        // Relays of earlier releases do not serve this collection but work otherwise. Calls for the other collections detect an unreachable source.
        return;
    }
    if (source_.empty()) {
        storeFailed(now, event.reason, actions);
    } else {
        seat_.relayFailed(now, actions);
    }
}

void DirectoryKeeper::on(TimePoint now, const DirectoryChecked &event, DirectoryActions &actions)
{
    isChecking_ = false;
    lostChecks_ = event.hasAnswered ? 0 : lostChecks_ + 1;
    planCheck(now);
    if (event.hasAnswered) {
        storeAnswered(now, actions);
    } else {
        // A single failed call may be due to a broken connection. Together with a failed check the store counts as unreachable.
        hasCheckFailed_ = true;
        seat_.storeFailed();
        storeFailed(now, "a check received no answer", actions);
    }
}

void DirectoryKeeper::on(TimePoint now, const RelayChecked &event, DirectoryActions &actions)
{
    if (event.proof && event.proof->age < RelaySeat::CheckInterval) {
        sourceAnswered(now, actions);
    }
    if (event.proof && event.relay == source_ && isCurrent()) {
        // Relays pass on the age of the proof that they received. Two relays that follow each other therefore cannot refresh each other's proofs.
        currentAt_ = std::max(currentAt_.value_or(TimePoint()), now - event.proof->age);
    }
    if (event.proof && event.relay == source_ && seat_.followsOwnZone()) {
        reportPeers_.named(source_, event.proof->standbys);
    }
    if (event.proof && !seat_.isRelaying()) {
        countedInZone(now, event.proof->entryVms, actions);
        takePlace(now, event.proof->place);
    }
    if (event.proof && event.relay == source_) {
        comparison_.told(now, event.proof->newest);
    }
    seat_.relayChecked(now, event, actions);
}

void DirectoryKeeper::on(TimePoint now, const RelayCompared &event, DirectoryActions &)
{
    if (event.proof && isAtStore()) {
        comparison_.told(now, event.proof->newest);
    }
}

void DirectoryKeeper::compareWatches(TimePoint now, DirectoryActions &actions)
{
    for (const Collection collection : {Collection::Routing, Collection::Servers, Collection::Crashes, Collection::Evacuations}) {
        if (watchOf(collection).isCurrent() && comparison_.takeHung(now, collection)) {
            actions.emplace_back(ReportDirectory{"watch restarted: another relay has newer revisions", CollectionNames.at(indexOf(collection))});
            watchOf(collection).renew(now);
        }
    }
    if (!isAtStore() || isStoreLost_) {
        return;
    }
    if (const auto relay = comparison_.nextRelay(now, seat_.otherRelays())) {
        actions.emplace_back(CompareRelay{*relay});
    }
}

void DirectoryKeeper::on(TimePoint now, const SeatAnswered &event, DirectoryActions &actions)
{
    if (event.hasAnswered) {
        provenAt_ = now;
        askFirstReports(event.holder, actions);
    } else if (event.wasSilent) {
        storeCallSilent(now, actions);
    }
    seat_.seatAnswered(now, event, actions);
}

void DirectoryKeeper::on(TimePoint now, const CrashReportWritten &event, DirectoryActions &actions)
{
    if (event.wasSilent) {
        storeCallSilent(now, actions);
    }
    crashWriter_.written(now, event, random_);
}

void DirectoryKeeper::tellCrashes(std::uint64_t order, const CrashReport &report)
{
    crashWriter_.want(order, report);
}

bool DirectoryKeeper::hasUntoldCrashes() const
{
    return crashWriter_.hasUnwritten();
}

bool DirectoryKeeper::hasWaitedForCrashes(TimePoint now)
{
    if (published_ > 0 || !isServable() || isCrashWaitOver_) {
        return false;
    }
    if (!hasFirstReports_ && firstReporter_.empty() && !std::exchange(hasLookedForReporter_, true)) {
        seat_.lookNow(now);
    }
    servedSince_ = servedSince_.value_or(now);
    isCrashWaitOver_ = knowsCrashReports() || now - *servedSince_ >= CrashReportTimeout;
    return isCrashWaitOver_;
}

bool DirectoryKeeper::knowsCrashReports() const
{
    return crashes_.isComplete() && (hasFirstReports_ || seat_.ownAddress().empty());
}

void DirectoryKeeper::askFirstReports(const std::string &leader, DirectoryActions &actions)
{
    const bool hasNoOtherLeader = leader.empty() || leader == seat_.ownAddress();
    hasFirstReports_ = hasFirstReports_ || hasNoOtherLeader;
    if (published_ > 0 || hasFirstReports_ || leader == firstReporter_) {
        return;
    }
    // During an outage of the store, crash reports reach the zone's relay; the store contains them only some time after the outage.
    firstReporter_ = leader;
    actions.emplace_back(ExchangeCrashNews{leader});
}

void DirectoryKeeper::crashNewsAnswered(const std::string &peer)
{
    hasFirstReports_ = hasFirstReports_ || peer == firstReporter_;
}

void DirectoryKeeper::publishCrashes(TimePoint now, DirectoryActions &actions)
{
    const DirectoryEntry *localEntry = crashBook_.find(self_);
    const auto *report = localEntry && localEntry->value ? std::get_if<CrashReport>(&*localEntry->value) : nullptr;
    if (localEntry && localEntry->isDeleted) {
        crashWriter_.gone(localEntry->revision);
    }
    // A stored report that cannot be parsed counts as empty and is written again.
    crashWriter_.found(now, localEntry && !localEntry->isDeleted ? localEntry->revision : 0, report ? *report : CrashReport{});
    actions.emplace_back(PublishCrashReports{crashReportsIn(crashBook_), ++crashesPublished_});
}

void DirectoryKeeper::reportFaults(const std::vector<DirectoryEntry> &entries, DirectoryActions &actions)
{
    for (const DirectoryEntry &entry : entries) {
        reportFault(entry, actions);
    }
}

void DirectoryKeeper::setBudgets(TimePoint now, const FleetBudgets &budgets, DirectoryActions &actions)
{
    if (budgets == budgets_) {
        return;
    }
    budgets_ = budgets;
    fleet_.setZones(budgets.zones);
    publish(now, actions);
}

CollectionWatch &DirectoryKeeper::watchOf(Collection collection)
{
    const std::array<CollectionWatch *, Collections> watches = {&routing_, &servers_, &crashes_, &evacuations_};
    return *watches.at(indexOf(collection));
}

const CollectionWatch &DirectoryKeeper::watchOf(Collection collection) const
{
    const std::array<const CollectionWatch *, Collections> watches = {&routing_, &servers_, &crashes_, &evacuations_};
    return *watches.at(indexOf(collection));
}

void DirectoryKeeper::heardUpTo(Collection collection, std::int64_t storeRevision)
{
    std::int64_t &known = storeRevision_[indexOf(collection)];
    known = std::max(known, storeRevision);
}

void DirectoryKeeper::followSource(TimePoint now, DirectoryActions &actions)
{
    if (source_ == seat_.relay()) {
        return;
    }
    source_ = seat_.relay();
    if (!source_.empty()) {
        actions.emplace_back(ExchangeCrashNews{source_});
        // The store was unreachable only for this entry VM, so entries need no grace period. With one, a server that left meanwhile received requests for
        // another 2 s, the longest time that is allowed after a server announces that it is leaving.
        registry_.followsRelay(now);
    }
    renewAll(now);
}

void DirectoryKeeper::renewAll(TimePoint now)
{
    registry_.listBroken();
    routing_.renew(now);
    servers_.renew(now);
    crashes_.renew(now);
    evacuations_.renew(now);
}

bool DirectoryKeeper::isCurrent() const
{
    return routing_.isCurrent() && servers_.isCurrent() && evacuations_.isCurrent();
}

bool DirectoryKeeper::isAtStore() const
{
    return seat_.state() == RelaySeat::State::Holding || seat_.state() == RelaySeat::State::Alone;
}

void DirectoryKeeper::sourceAnswered(TimePoint now, DirectoryActions &actions)
{
    if (source_.empty()) {
        storeAnswered(now, actions);
    } else if (isStoreLost_) {
        // A relay with recent changes proves that the store is reachable.
        isStoreLost_ = false;
        actions.emplace_back(ReportDirectory{"store reachable again", "via the relay"});
    }
}

bool DirectoryKeeper::takePlans(const std::vector<DirectoryEntry> &entries, DirectoryActions &actions)
{
    bool hasChanged = false;
    for (const DirectoryEntry &entry : entries) {
        const auto *plan = entry.value ? std::get_if<RoutingPlan>(&*entry.value) : nullptr;
        if (!plan) {
            reportFault(entry, actions);
            continue;
        }
        if (plan_ && plan->version <= plan_->version) {
            continue;
        }
        actions.emplace_back(ReportDirectory{"configuration version", plan->versionText});
        reportLeftOut(*plan, actions);
        plan_ = *plan;
        planEntry_ = entry;
        ++planSequence_;
        hasChanged = true;
    }
    return hasChanged;
}

void DirectoryKeeper::reportUnusable(DirectoryActions &actions)
{
    for (const DirectoryEntry &entry : registry_.takeUnusable()) {
        reportFault(entry, actions);
    }
}

void DirectoryKeeper::reportLeftOut(const RoutingPlan &plan, DirectoryActions &actions)
{
    for (const std::string &part : plan.leftOut) {
        ++faults_;
        actions.emplace_back(ReportDirectory{"unusable part of the configuration ignored", plan.versionText + ", " + part + countedFaults()});
    }
}

std::string DirectoryKeeper::countedFaults() const
{
    return " (" + std::to_string(faults_) + " so far)";
}

void DirectoryKeeper::reportFault(const DirectoryEntry &entry, DirectoryActions &actions)
{
    if (entry.fault.empty()) {
        return;
    }
    ++faults_;
    const std::string object = entry.name + " at revision " + std::to_string(entry.revision);
    actions.emplace_back(ReportDirectory{"object cannot be used", object + ": " + entry.fault + countedFaults()});
}

void DirectoryKeeper::storeAnswered(TimePoint now, DirectoryActions &actions)
{
    provenAt_ = now;
    hasCheckFailed_ = false;
    if (isCurrent()) {
        currentAt_ = now;
    }
    // Any answer replaces a check.
    planCheck(now);
    if (!isStoreLost_) {
        seat_.storeAnswered(now, actions);
        return;
    }
    isStoreLost_ = false;
    seat_.storeAnswered(now, actions);
    seat_.storeReturned(actions);
    registry_.storeReturned(now);
    actions.emplace_back(ReportDirectory{"store reachable again", ""});
    // Watches in flight may never be answered, so all collections are listed again.
    renewAll(now);
}

void DirectoryKeeper::planCheck(TimePoint now)
{
    const bool isFrequent = isStoreLost_ || seat_.state() == RelaySeat::State::Holding;
    const Duration interval = isFrequent ? RelaySeat::CheckInterval : CheckInterval;
    // With an unwritten crash report checks stay frequent, since newly started entry VMs can get the report only from the store.
    const bool isBackingOff = lostChecks_ > FullRateFailedChecks && !crashWriter_.hasUnwritten();
    const Duration pause = isBackingOff ? std::min(interval * (lostChecks_ - FullRateFailedChecks + 1), RelaySeat::LongestLostPause) : interval;
    // Jitter between 3/4 and 5/4 of the pause keeps entry VMs from checking at the same moment.
    nextCheck_ = now + pause * 3 / 4 + Duration(random_.below(static_cast<std::size_t>((pause / 2).count())));
}

void DirectoryKeeper::storeCallSilent(TimePoint now, DirectoryActions &actions)
{
    if (!isAtStore() || isStoreLost_) {
        return;
    }
    // The unresponsive connection is closed with this call, so a check over a new connection would succeed. A relay whose watch hung would then
    // send no changes to its followers for up to 30 s, the timeout of a watch.
    actions.emplace_back(ReportDirectory{"watches restarted", "a call to the store got no answer"});
    renewAll(now);
}

void DirectoryKeeper::storeFailed(TimePoint now, const std::string &reason, DirectoryActions &actions)
{
    if (!isStoreLost_) {
        isStoreLost_ = true;
        nextCheck_ = now + Duration(random_.below(static_cast<std::size_t>(FirstCheckJitter.count())));
        actions.emplace_back(ReportDirectory{"store unreachable", reason});
    }
}

bool DirectoryKeeper::isServable() const
{
    // Without the list of evacuated zones, requests would be sent to their servers.
    return plan_ && servers_.isComplete() && evacuations_.isComplete();
}

void DirectoryKeeper::publish(TimePoint now, DirectoryActions &actions)
{
    if (!isServable() || (published_ == 0 && !knowsCrashReports() && !isCrashWaitOver_)) {
        return;
    }
    publishedPlace_ = placeNow(now);
    auto intent = std::make_shared<IntentInForce>();
    intent->version = ++published_;
    intent->value = plan_->versionText;
    intent->entryVms = fleet_.entryVms();
    intent->configuration.routes = plan_->routes;
    intent->configuration.callerLimits = plan_->limits;
    for (Service service : plan_->services) {
        service.retry = repeatRulesFor(budgets_, fleet_.entryVms());
        service.evacuatedZones = evacuatedZones_;
        service.coldStart = coldStartAllowance(budgets_, service.coldRequestsPerSecond);
        service.place = publishedPlace_;
        service.choiceProbes.probesPerSecond = probesPerSecondFor(budgets_, fleet_.entryVms());
        for (Registration &registration : registry_.of(now, service.name)) {
            if (registration.isDraining) {
                intent->intent.drains.push_back(service.name + "/" + registration.server.name);
            }
            service.backendServers.push_back(std::move(registration.server));
        }
        intent->configuration.services.push_back(std::move(service));
    }
    actions.emplace_back(PublishDirectory{std::move(intent)});
}

} // namespace Cloverbarrow
