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
// A watch that hangs is noticed by the store not answering a cheap call meanwhile.
constexpr Duration CheckInterval = milliseconds(1500);
// Calls are paid for while the store is down as well, so checks of a lost one get rarer: of 8 s without it a relay made 21, now 11 at most.
constexpr int QuickLostChecks = 3;
// An entry VM that has just started learns under which requests servers have ended before it serves. Reports that are not there by then come late or never, as
// from a relay that has ended or is of an earlier release.
constexpr Duration CrashReportPatience = milliseconds(300);
// A single call that was cut is made up for at once, but not by all entry VMs in the same moment.
constexpr Duration FirstCheckSpread = milliseconds(100);

/// In the order of the collections.
constexpr std::array CollectionNames = {"routing", "servers", "crashes", "evacuations"};

/// @return the collection that the event answers a call for, if any.
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

DirectoryKeeper::DirectoryKeeper(const FleetBudgets &budgets, RelaySeat seat, std::uint64_t seed, std::string self)
    : budgets_(budgets)
    , fleet_(budgets.zones)
    , random_(seed)
    , seat_(std::move(seat))
    , routing_(Collection::Routing)
    , servers_(Collection::Servers)
    , crashes_(Collection::Crashes)
    , evacuations_(Collection::Evacuations)
    , self_(std::move(self))
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
    // While the store is away only the cheap check is made; its answer starts the calls again.
    const bool isWaiting = seat_.state() == RelaySeat::State::Deciding || (isAtStore() && isStoreLost_ && provenAt_);
    if (!isWaiting) {
        routing_.tick(now, source_, actions);
        servers_.tick(now, source_, actions);
        crashes_.tick(now, source_, actions);
        evacuations_.tick(now, source_, actions);
    }
    compareWatches(now, actions);
    if (!isStoreLost_) {
        // Calls are paid for while the store is away as well.
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
    const bool isWhole = watch.listed(now, event);
    if (isWhole) {
        heardUpTo(event.collection, watch.listedUpTo());
    }
    if (takeList(now, event, isWhole, actions)) {
        publish(now, actions);
    }
    sourceAnswered(now, actions);
}

bool DirectoryKeeper::takeList(TimePoint now, const DirectoryListed &event, bool isWhole, DirectoryActions &actions)
{
    switch (event.collection) {
    case Collection::Routing:
        return takePlans(event.entries, actions);
    case Collection::Crashes:
        return takeCrashList(now, event, isWhole, actions);
    case Collection::Evacuations:
        return takeEvacuationList(event, isWhole, actions);
    case Collection::Servers:
        break;
    }
    bool isNews = registry_.listed(now, event.entries);
    // A page alone is no whole list; only with the last one is what no page named gone.
    isNews = (isWhole && registry_.listEnded(now, servers_.listedUpTo())) || isNews || isWhole;
    reportUnusable(actions);
    return isNews;
}

bool DirectoryKeeper::takeCrashList(TimePoint now, const DirectoryListed &event, bool isWhole, DirectoryActions &actions)
{
    reportFaults(event.entries, actions);
    crashBook_.listed(event.entries);
    if (!isWhole) {
        return false;
    }
    crashBook_.listEnded(crashes_.listedUpTo());
    publishCrashes(now, actions);
    return published_ == 0;
}

bool DirectoryKeeper::takeEvacuationList(const DirectoryListed &event, bool isWhole, DirectoryActions &actions)
{
    reportFaults(event.entries, actions);
    evacuationBook_.listed(event.entries);
    if (isWhole) {
        evacuationBook_.listEnded(evacuations_.listedUpTo());
    }
    // A zone that the first page names is emptied at once, also while others are read.
    const bool isNews = takeEvacuatedZones(actions);
    return isNews || (isWhole && published_ == 0);
}

bool DirectoryKeeper::takeEvacuatedZones(DirectoryActions &actions)
{
    const std::vector<std::string> before = std::exchange(evacuatedZones_, evacuatedZonesIn(evacuationBook_));
    const auto report = [this, &actions](const char *what, const std::vector<std::string> &zones, const std::vector<std::string> &without) {
        for (const std::string &zone : zones) {
            if (!std::binary_search(without.begin(), without.end(), zone)) {
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
    const bool isNews = event.collection == Collection::Routing ? takePlans(event.entries, actions) : registry_.changed(now, event.entries);
    reportUnusable(actions);
    if (isNews) {
        publish(now, actions);
    }
}

void DirectoryKeeper::on(TimePoint now, const DirectoryHistoryGone &event, DirectoryActions &actions)
{
    sourceAnswered(now, actions);
    actions.emplace_back(ReportDirectory{"history gone", CollectionNames.at(indexOf(event.collection))});
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
        // A relay of an earlier release does not tell of them, and serves as well as before; the other calls show whether a source is lost.
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
        // One call that was cut says little; with a check that failed as well, the store is lost.
        hasCheckFailed_ = true;
        seat_.storeFailed();
        storeFailed(now, "a check had no answer", actions);
    }
}

void DirectoryKeeper::on(TimePoint now, const RelayChecked &event, DirectoryActions &actions)
{
    if (event.proof && event.proof->age < RelaySeat::CheckInterval) {
        sourceAnswered(now, actions);
    }
    if (event.proof && event.relay == source_ && isCurrent()) {
        // Proofs pass from relay to relay with their age, so two that follow each other prove nothing anew.
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
            actions.emplace_back(ReportDirectory{"watch renewed, another relay has heard more", CollectionNames.at(indexOf(collection))});
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
    isCrashWaitOver_ = knowsCrashReports() || now - *servedSince_ >= CrashReportPatience;
    return isCrashWaitOver_;
}

bool DirectoryKeeper::knowsCrashReports() const
{
    return crashes_.isComplete() && (hasFirstReports_ || seat_.ownAddress().empty());
}

void DirectoryKeeper::askFirstReports(const std::string &holder, DirectoryActions &actions)
{
    const bool isNobodyElse = holder.empty() || holder == seat_.ownAddress();
    hasFirstReports_ = hasFirstReports_ || isNobodyElse;
    if (published_ > 0 || hasFirstReports_ || holder == firstReporter_) {
        return;
    }
    // Reports of an outage reach the zone's relay during it, and the store some time after its return.
    firstReporter_ = holder;
    actions.emplace_back(ExchangeCrashNews{holder});
}

void DirectoryKeeper::crashNewsAnswered(const std::string &peer)
{
    hasFirstReports_ = hasFirstReports_ || peer == firstReporter_;
}

void DirectoryKeeper::publishCrashes(TimePoint now, DirectoryActions &actions)
{
    const DirectoryEntry *own = crashBook_.find(self_);
    const auto *report = own && own->value ? std::get_if<CrashReport>(&*own->value) : nullptr;
    if (own && own->isDeleted) {
        crashWriter_.gone(own->revision);
    }
    // One that cannot be read is written anew.
    crashWriter_.found(now, own && !own->isDeleted ? own->revision : 0, report ? *report : CrashReport{});
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
        // The store was away for this entry VM alone. A server that left meanwhile got requests for two seconds more, as long as it may after its word, when
        // its entry was still waited for here.
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
        // News of a relay are news of the store.
        isStoreLost_ = false;
        actions.emplace_back(ReportDirectory{"store regained", "through the relay"});
    }
}

bool DirectoryKeeper::takePlans(const std::vector<DirectoryEntry> &entries, DirectoryActions &actions)
{
    bool isNews = false;
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
        isNews = true;
    }
    return isNews;
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
        actions.emplace_back(ReportDirectory{"part of the configuration left out", plan.versionText + ", " + part + countedFaults()});
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
    const std::string where = entry.name + " at revision " + std::to_string(entry.revision);
    actions.emplace_back(ReportDirectory{"object cannot be used", where + ": " + entry.fault + countedFaults()});
}

void DirectoryKeeper::storeAnswered(TimePoint now, DirectoryActions &actions)
{
    provenAt_ = now;
    hasCheckFailed_ = false;
    if (isCurrent()) {
        currentAt_ = now;
    }
    // Any answer is as good as that to a check.
    planCheck(now);
    if (!isStoreLost_) {
        seat_.storeAnswered(now, actions);
        return;
    }
    isStoreLost_ = false;
    seat_.storeAnswered(now, actions);
    seat_.storeReturned(actions);
    registry_.storeReturned(now);
    actions.emplace_back(ReportDirectory{"store regained", ""});
    // Watches that were under way may never be answered, and lists begin anew.
    renewAll(now);
}

void DirectoryKeeper::planCheck(TimePoint now)
{
    const bool isHurried = isStoreLost_ || seat_.state() == RelaySeat::State::Holding;
    const Duration usual = isHurried ? RelaySeat::CheckInterval : CheckInterval;
    // What is not in the store yet is written as soon as it is back: entry VMs that have just started know it from there alone.
    const bool isRested = lostChecks_ > QuickLostChecks && !crashWriter_.hasUnwritten();
    const Duration pause = isRested ? std::min(usual * (lostChecks_ - QuickLostChecks + 1), RelaySeat::LongestLostPause) : usual;
    // Between three quarters and five quarters, so that entry VMs do not ask all at once.
    nextCheck_ = now + pause * 3 / 4 + Duration(random_.below(static_cast<std::size_t>((pause / 2).count())));
}

void DirectoryKeeper::storeCallSilent(TimePoint now, DirectoryActions &actions)
{
    if (!isAtStore() || isStoreLost_) {
        return;
    }
    // The silent connection is closed with this call. A check on a new one would find the store well, and a relay whose watch hung told its followers
    // nothing for as long as a watch may wait, 30 s.
    actions.emplace_back(ReportDirectory{"watches renewed", "a call to the store got no answer"});
    renewAll(now);
}

void DirectoryKeeper::storeFailed(TimePoint now, const std::string &reason, DirectoryActions &actions)
{
    if (!isStoreLost_) {
        isStoreLost_ = true;
        nextCheck_ = now + Duration(random_.below(static_cast<std::size_t>(FirstCheckSpread.count())));
        actions.emplace_back(ReportDirectory{"store lost", reason});
    }
}

bool DirectoryKeeper::isServable() const
{
    // An entry VM that does not know which zones are evacuated would send requests to them.
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
