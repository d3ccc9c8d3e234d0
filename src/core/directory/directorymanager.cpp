/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/directorymanager.h"

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
// The first check after a failed call is made at once, with jitter so that entry VMs do not check at the same moment.
constexpr Duration FirstCheckJitter = milliseconds(100);

/// Indexed by indexOf().
constexpr std::array CollectionNames = {"routing", "servers", "crashes", "evacuations", "rollouts"};

/// What decides where requests are sent.
constexpr std::array RoutedBy = {Collection::Routing, Collection::Servers, Collection::Evacuations, Collection::Rollouts};

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

DirectoryManager::DirectoryManager(const FleetBudgets &budgets, RelayElection election, std::uint64_t seed, DirectoryIdentity identity)
    : budgets_(budgets)
    , fleet_(budgets.zones)
    , random_(seed)
    , election_(std::move(election))
    , routing_(Collection::Routing)
    , servers_(Collection::Servers)
    , crashes_(Collection::Crashes)
    , evacuations_(Collection::Evacuations)
    , rollouts_(Collection::Rollouts)
    , reportName_(std::move(identity.reportName))
    , rolloutCoordinator_(election_.localAddress(), std::move(identity.zone), budgets.rollouts)
    , reportPeers_(election_.localAddress())
    , initialReports_(election_.localAddress())
{
}

void DirectoryManager::tick(TimePoint now, DirectoryActions &actions)
{
    election_.tick(now, actions);
    if (isAtStore() && isStoreUnreachable_ && (hasCheckFailed_ || !storeAnsweredAt_)) {
        election_.storeUnresponsive(now, actions);
    }
    if (registry_.setForwarding(election_.isRelaying() || election_.state() == RelayElection::State::Deciding)) {
        // An entry VM that followed the store without a relay keeps its source, so switchSource() does not list the servers again.
        registry_.abortList();
        servers_.restart(now);
    }
    switchSource(now, actions);
    exchangeWithNewRelays(actions);
    exchangeWithSubstitutes(now, actions);
    publishForwardingPeers(now, actions);
    // While the store is unreachable, only the cheap check is made; a successful one restarts the other calls.
    const bool isWaiting = election_.state() == RelayElection::State::Deciding || (isAtStore() && isStoreUnreachable_ && storeAnsweredAt_);
    if (!isWaiting) {
        routing_.tick(now, source_, actions);
        servers_.tick(now, source_, actions);
        crashes_.tick(now, source_, actions);
        evacuations_.tick(now, source_, actions);
        rollouts_.tick(now, source_, actions);
    }
    restartStaleWatches(now, actions);
    if (!isStoreUnreachable_) {
        // Calls are billed while the store is unreachable too.
        crashWriter_.tick(now, actions);
    }
    tickRollouts(now, actions);
    if (election_.isRelaying()) {
        setRank(now, fleet_.localRank(now));
    } else {
        fleet_.stopCounting();
    }
    if (registry_.tick(now) || updateCrashReportWait(now) || hasRankChanged(now)) {
        publish(now, actions);
    }
    if (election_.isRelaying()) {
        updateFleetSize(now, fleet_.countedInZone(now), actions);
    }
    if (isAtStore() && storeAnsweredAt_ && !isChecking_ && now >= nextCheck_) {
        isChecking_ = true;
        actions.emplace_back(CheckDirectory{});
    }
}

void DirectoryManager::handle(TimePoint now, const DirectoryAnswer &answer, DirectoryActions &actions)
{
    const auto collection = collectionOf(answer.event);
    if (collection && watchOf(*collection).isConfirmation(answer.call)) {
        confirmationAnswered(now, *collection, answer.event, actions);
        return;
    }
    if (collection && !watchOf(*collection).isAwaiting(answer.call)) {
        return;
    }
    std::visit([this, now, &actions](const auto &typed) { on(now, typed, actions); }, answer.event);
    switchSource(now, actions);
}

void DirectoryManager::on(TimePoint now, const DirectoryListed &event, DirectoryActions &actions)
{
    comparison_.entriesReceived(event.collection, event.entries);
    CollectionWatch &watch = watchOf(event.collection);
    const bool isComplete = watch.onListPage(now, event);
    if (isComplete) {
        recordStoreRevision(event.collection, watch.listedStoreRevision());
    }
    if (applyList(now, event, isComplete, actions)) {
        publish(now, actions);
    }
    sourceAnswered(now, actions);
    if (!isComplete) {
        // The next page is requested at once: with a tick of 30 ms between pages, a start took 3.9 s for 128 of them.
        watch.tick(now, source_, actions);
    }
}

bool DirectoryManager::applyList(TimePoint now, const DirectoryListed &event, bool isComplete, DirectoryActions &actions)
{
    switch (event.collection) {
    case Collection::Routing:
        return applyPlans(event.entries, actions);
    case Collection::Crashes:
        return applyCrashList(now, event, isComplete, actions);
    case Collection::Evacuations:
        return applyEvacuationList(event, isComplete, actions);
    case Collection::Rollouts:
        return applyRolloutList(now, event, isComplete, actions);
    case Collection::Servers:
        break;
    }
    bool hasChanged = registry_.applyListPage(now, event.entries);
    // Objects missing from all pages are removed only after the last page.
    hasChanged = (isComplete && registry_.endList(now, servers_.listedStoreRevision())) || hasChanged || isComplete;
    logUnusableServers(actions);
    return hasChanged;
}

bool DirectoryManager::applyCrashList(TimePoint now, const DirectoryListed &event, bool isComplete, DirectoryActions &actions)
{
    logFaults(event.entries, actions);
    crashTable_.applyListPage(event.entries);
    if (!isComplete) {
        return false;
    }
    crashTable_.endList(crashes_.listedStoreRevision());
    publishCrashes(now, actions);
    return publishedVersion_ == 0;
}

bool DirectoryManager::applyEvacuationList(const DirectoryListed &event, bool isComplete, DirectoryActions &actions)
{
    logFaults(event.entries, actions);
    evacuationTable_.applyListPage(event.entries);
    if (isComplete) {
        evacuationTable_.endList(evacuations_.listedStoreRevision());
    }
    // Zones named by the first pages are evacuated at once, without waiting for the remaining pages.
    const bool hasChanged = updateEvacuatedZones(actions);
    return hasChanged || (isComplete && publishedVersion_ == 0);
}

bool DirectoryManager::updateEvacuatedZones(DirectoryActions &actions)
{
    const std::vector<std::string> before = std::exchange(evacuatedZones_, evacuatedZonesIn(evacuationTable_));
    const auto report = [this, &actions](const char *what, const std::vector<std::string> &zones, const std::vector<std::string> &previous) {
        for (const std::string &zone : zones) {
            if (!std::binary_search(previous.begin(), previous.end(), zone)) {
                actions.emplace_back(LogDirectoryEvent{what, zone + ", with " + std::to_string(registry_.countIn(zone)) + " backend servers known"});
            }
        }
    };
    report("zone evacuated", evacuatedZones_, before);
    report("zone taken back", before, evacuatedZones_);
    return evacuatedZones_ != before;
}

void DirectoryManager::on(TimePoint now, const DirectoryChanged &event, DirectoryActions &actions)
{
    comparison_.entriesReceived(event.collection, event.entries);
    sourceAnswered(now, actions);
    watchOf(event.collection).onChanges(now, event);
    applyChanges(now, event, actions);
}

void DirectoryManager::applyChanges(TimePoint now, const DirectoryChanged &event, DirectoryActions &actions)
{
    recordStoreRevision(event.collection, event.storeRevision);
    if (event.collection == Collection::Crashes) {
        logFaults(event.entries, actions);
        if (crashTable_.applyChanges(event.entries)) {
            publishCrashes(now, actions);
        }
        return;
    }
    if (event.collection == Collection::Evacuations) {
        logFaults(event.entries, actions);
        evacuationTable_.applyChanges(event.entries);
        if (updateEvacuatedZones(actions)) {
            publish(now, actions);
        }
        return;
    }
    if (event.collection == Collection::Rollouts) {
        logFaults(event.entries, actions);
        rolloutTable_.applyChanges(event.entries);
        if (updateRollouts(now, actions)) {
            publish(now, actions);
        }
        return;
    }
    const bool hasChanged = event.collection == Collection::Routing ? applyPlans(event.entries, actions) : registry_.applyChanges(now, event.entries);
    logUnusableServers(actions);
    if (hasChanged) {
        publish(now, actions);
    }
}

void DirectoryManager::on(TimePoint now, const DirectoryHistoryExpired &event, DirectoryActions &actions)
{
    sourceAnswered(now, actions);
    actions.emplace_back(LogDirectoryEvent{"watch history expired", CollectionNames.at(indexOf(event.collection))});
    if (event.collection == Collection::Servers) {
        registry_.abortList();
    }
    watchOf(event.collection).onHistoryExpired(now);
}

void DirectoryManager::on(TimePoint now, const DirectoryCallFailed &event, DirectoryActions &actions)
{
    if (event.collection == Collection::Servers) {
        registry_.abortList();
    }
    watchOf(event.collection).onFailure(now, random_);
    if (event.collection == Collection::Crashes) {
        // Relays of earlier releases do not serve this collection but work otherwise. Calls for the other collections detect an unreachable source.
        return;
    }
    if (source_.empty()) {
        storeFailed(now, event.reason, actions);
    } else {
        election_.relayFailed(now, event.reason, actions);
    }
}

void DirectoryManager::on(TimePoint now, const DirectoryChecked &event, DirectoryActions &actions)
{
    isChecking_ = false;
    failedChecks_ = event.hasAnswered ? 0 : failedChecks_ + 1;
    scheduleCheck(now);
    if (event.hasAnswered) {
        storeAnswered(now, actions);
    } else {
        // A single failed call may be due to a broken connection. Together with a failed check the store counts as unreachable.
        hasCheckFailed_ = true;
        election_.storeFailed();
        storeFailed(now, "a check received no answer", actions);
    }
}

void DirectoryManager::on(TimePoint now, const RelayChecked &event, DirectoryActions &actions)
{
    if (event.proof && event.proof->age < RelayElection::CheckInterval) {
        sourceAnswered(now, actions);
    }
    if (event.proof && event.relay == source_ && isCurrent()) {
        // Relays forward the age of the proof that they received. Two relays that follow each other therefore cannot refresh each other's proofs.
        upToDateAt_ = std::max(upToDateAt_.value_or(TimePoint()), now - event.proof->age);
    }
    if (event.proof && event.relay == source_ && election_.followsOwnZone()) {
        reportPeers_.setStandbys(source_, event.proof->standbys);
    }
    if (event.proof && event.proof->peers && event.relay == source_) {
        namedPeers_ = event.proof->peers;
    }
    if (event.proof && !election_.isRelaying()) {
        updateFleetSize(now, event.proof->entryVms, actions);
        setRank(now, event.proof->rank);
    }
    if (event.proof && event.relay == source_) {
        comparison_.peerRevisionsReceived(now, event.proof->newestRevisions);
    }
    election_.relayChecked(now, event, actions);
}

void DirectoryManager::on(TimePoint now, const RelayRevisionsRead &event, DirectoryActions &)
{
    if (event.proof && isAtStore()) {
        comparison_.peerRevisionsReceived(now, event.proof->newestRevisions);
    }
    if (event.proof && event.proof->peers) {
        otherZonePeers_[event.relay] = event.proof->peers->sameZone;
        const auto &relays = election_.otherRelays();
        std::erase_if(otherZonePeers_, [&relays](const auto &named) { return std::find(relays.begin(), relays.end(), named.first) == relays.end(); });
    }
}

void DirectoryManager::restartStaleWatches(TimePoint now, DirectoryActions &actions)
{
    for (const Collection collection : {Collection::Routing, Collection::Servers, Collection::Crashes, Collection::Evacuations, Collection::Rollouts}) {
        if (watchOf(collection).isCurrent() && comparison_.takeStale(now, collection)) {
            actions.emplace_back(LogDirectoryEvent{"watch restarted: another relay has newer revisions", CollectionNames.at(indexOf(collection))});
            watchOf(collection).restart(now);
        }
    }
    if (!isAtStore() || isStoreUnreachable_) {
        return;
    }
    if (const auto relay = comparison_.nextRelay(now, election_.otherRelays())) {
        actions.emplace_back(ReadRelayRevisions{*relay});
    }
}

void DirectoryManager::on(TimePoint now, const LeaderRecordAnswered &event, DirectoryActions &actions)
{
    if (event.hasAnswered) {
        storeAnsweredAt_ = now;
        if (initialReports_.leaderKnown(event.leader)) {
            requestCrashUpdates(event.leader, actions);
        }
    } else if (event.wasUnresponsive) {
        storeCallUnresponsive(now, actions);
    }
    election_.leaderRecordAnswered(now, event, actions);
}

void DirectoryManager::on(TimePoint now, const CrashReportWritten &event, DirectoryActions &actions)
{
    if (event.wasUnresponsive) {
        storeCallUnresponsive(now, actions);
    }
    crashWriter_.onWritten(now, event, random_);
}

void DirectoryManager::setCrashReport(std::uint64_t sequence, const CrashReport &report)
{
    crashWriter_.setDesired(sequence, report);
}

bool DirectoryManager::hasUnwrittenCrashReport() const
{
    return crashWriter_.hasUnwritten();
}

bool DirectoryManager::updateCrashReportWait(TimePoint now)
{
    if (publishedVersion_ > 0 || !isServable()) {
        return false;
    }
    if (initialReports_.takeLeaderReadDue()) {
        election_.readLeaderSoon(now);
    }
    return initialReports_.update(now, crashes_.isComplete());
}

void DirectoryManager::publishCrashes(TimePoint now, DirectoryActions &actions)
{
    const DirectoryEntry *localEntry = crashTable_.find(reportName_);
    const auto *report = localEntry && localEntry->value ? std::get_if<CrashReport>(&*localEntry->value) : nullptr;
    if (localEntry && localEntry->isDeleted) {
        crashWriter_.onDeleted(localEntry->revision);
    }
    // A stored report that cannot be parsed counts as empty and is written again.
    crashWriter_.onRead(now, localEntry && !localEntry->isDeleted ? localEntry->revision : 0, report ? *report : CrashReport{});
    actions.emplace_back(PublishCrashReports{crashReportsIn(crashTable_), ++crashesPublished_});
}

void DirectoryManager::logFaults(const std::vector<DirectoryEntry> &entries, DirectoryActions &actions)
{
    for (const DirectoryEntry &entry : entries) {
        logFault(entry, actions);
    }
}

void DirectoryManager::requestConfirmation(TimePoint now, DirectoryActions &actions)
{
    if (publishedVersion_ == 0) {
        return;
    }
    for (const Collection collection : RoutedBy) {
        watchOf(collection).requestConfirmation();
    }
    tick(now, actions);
}

void DirectoryManager::confirmationAnswered(TimePoint now, Collection collection, const DirectoryEvent &event, DirectoryActions &actions)
{
    if (const auto *changed = std::get_if<DirectoryChanged>(&event)) {
        comparison_.entriesReceived(collection, changed->entries);
        sourceAnswered(now, actions);
        watchOf(collection).onConfirmed(changed->revision);
        applyChanges(now, *changed, actions);
    } else if (const auto *expired = std::get_if<DirectoryHistoryExpired>(&event)) {
        on(now, *expired, actions);
        watchOf(collection).requestConfirmation();
    } else if (const auto *failed = std::get_if<DirectoryCallFailed>(&event)) {
        // The watch and the checks decide whether the source is unreachable.
        actions.emplace_back(LogDirectoryEvent{"not confirmed", std::string(CollectionNames.at(indexOf(collection))) + ": " + failed->reason});
    }
}

bool DirectoryManager::isConfirmed() const
{
    return std::all_of(RoutedBy.begin(), RoutedBy.end(), [this](Collection collection) { return watchOf(collection).isConfirmed(); });
}

void DirectoryManager::setBudgets(TimePoint now, const FleetBudgets &budgets, DirectoryActions &actions)
{
    if (budgets == budgets_) {
        return;
    }
    budgets_ = budgets;
    fleet_.setZones(budgets.zones);
    publish(now, actions);
}

CollectionWatch &DirectoryManager::watchOf(Collection collection)
{
    const std::array<CollectionWatch *, CollectionCount> watches = {&routing_, &servers_, &crashes_, &evacuations_, &rollouts_};
    return *watches.at(indexOf(collection));
}

const CollectionWatch &DirectoryManager::watchOf(Collection collection) const
{
    const std::array<const CollectionWatch *, CollectionCount> watches = {&routing_, &servers_, &crashes_, &evacuations_, &rollouts_};
    return *watches.at(indexOf(collection));
}

void DirectoryManager::recordStoreRevision(Collection collection, std::int64_t storeRevision)
{
    std::int64_t &known = storeRevision_[indexOf(collection)];
    known = std::max(known, storeRevision);
}

void DirectoryManager::switchSource(TimePoint now, DirectoryActions &actions)
{
    if (source_ == election_.relay()) {
        return;
    }
    source_ = election_.relay();
    if (!source_.empty()) {
        requestCrashUpdates(source_, actions);
        // The store was unreachable only for this entry VM, so entries need no grace period. With one, a server that left meanwhile received requests for
        // another 2 s, the longest time that is allowed after a server announces that it is leaving.
        registry_.endGracePeriod(now);
    }
    relistAll(now);
}

void DirectoryManager::relistAll(TimePoint now)
{
    registry_.abortList();
    routing_.restart(now);
    servers_.restart(now);
    crashes_.restart(now);
    evacuations_.restart(now);
    rollouts_.restart(now);
}

bool DirectoryManager::isCurrent() const
{
    return std::all_of(RoutedBy.begin(), RoutedBy.end(), [this](Collection collection) { return watchOf(collection).isCurrent(); });
}

bool DirectoryManager::isAtStore() const
{
    return election_.state() == RelayElection::State::Leading || election_.state() == RelayElection::State::Standalone;
}

void DirectoryManager::sourceAnswered(TimePoint now, DirectoryActions &actions)
{
    if (source_.empty()) {
        storeAnswered(now, actions);
    } else if (isStoreUnreachable_) {
        // A relay with recent changes proves that the store is reachable.
        isStoreUnreachable_ = false;
        actions.emplace_back(LogDirectoryEvent{"store reachable again", "via the relay"});
    }
}

bool DirectoryManager::applyPlans(const std::vector<DirectoryEntry> &entries, DirectoryActions &actions)
{
    bool hasChanged = false;
    for (const DirectoryEntry &entry : entries) {
        const auto *plan = entry.value ? std::get_if<RoutingPlan>(&*entry.value) : nullptr;
        if (!plan) {
            logFault(entry, actions);
            continue;
        }
        if (plan_ && plan->version <= plan_->version) {
            continue;
        }
        actions.emplace_back(LogDirectoryEvent{"configuration version", plan->versionText});
        logUnusableParts(*plan, actions);
        plan_ = *plan;
        planEntry_ = entry;
        ++planSequence_;
        hasChanged = true;
    }
    return hasChanged;
}

void DirectoryManager::logUnusableServers(DirectoryActions &actions)
{
    for (const DirectoryEntry &entry : registry_.takeUnusable()) {
        logFault(entry, actions);
    }
}

void DirectoryManager::logUnusableParts(const RoutingPlan &plan, DirectoryActions &actions)
{
    for (const std::string &part : plan.unusableParts) {
        ++faultCount_;
        actions.emplace_back(LogDirectoryEvent{"unusable part of the configuration ignored", plan.versionText + ", " + part + faultCountSuffix()});
    }
}

std::string DirectoryManager::faultCountSuffix() const
{
    return " (" + std::to_string(faultCount_) + " so far)";
}

void DirectoryManager::logFault(const DirectoryEntry &entry, DirectoryActions &actions)
{
    if (entry.fault.empty()) {
        return;
    }
    ++faultCount_;
    const std::string object = entry.name + " at revision " + std::to_string(entry.revision);
    actions.emplace_back(LogDirectoryEvent{"object cannot be used", object + ": " + entry.fault + faultCountSuffix()});
}

void DirectoryManager::storeAnswered(TimePoint now, DirectoryActions &actions)
{
    storeAnsweredAt_ = now;
    hasCheckFailed_ = false;
    if (isCurrent()) {
        upToDateAt_ = now;
    }
    if (!source_.empty()) {
        logUnprovenState(now, actions);
    }
    // Any answer replaces a check.
    scheduleCheck(now);
    if (!isStoreUnreachable_) {
        election_.storeAnswered(now, actions);
        return;
    }
    isStoreUnreachable_ = false;
    election_.storeAnswered(now, actions);
    election_.storeReturned(actions);
    registry_.storeReturned(now);
    actions.emplace_back(LogDirectoryEvent{"store reachable again", ""});
    // Watches in flight may never be answered, so all collections are listed again.
    relistAll(now);
}

void DirectoryManager::logUnprovenState(TimePoint now, DirectoryActions &actions) const
{
    const auto provenBefore = upToDateAt_ ? std::chrono::floor<milliseconds>(now - *upToDateAt_).count() : -1;
    actions.emplace_back(LogDirectoryEvent{"state without a recent proof while the store answers",
                                           "configuration " + (plan_ ? plan_->versionText : "none") + " at revision " + std::to_string(planEntry_.revision)
                                               + ", servers up to revision " + std::to_string(storeRevision_[indexOf(Collection::Servers)]) + ", proven "
                                               + std::to_string(provenBefore) + " ms ago"});
}

void DirectoryManager::scheduleCheck(TimePoint now)
{
    const bool isFrequent = isStoreUnreachable_ || election_.state() == RelayElection::State::Leading;
    const Duration interval = isFrequent ? RelayElection::CheckInterval : CheckInterval;
    // With an unwritten crash report checks stay frequent, since newly started entry VMs can get the report only from the store.
    const bool isBackingOff = failedChecks_ > FullRateFailedChecks && !crashWriter_.hasUnwritten();
    const Duration pause = isBackingOff ? std::min(interval * (failedChecks_ - FullRateFailedChecks + 1), RelayElection::MaxUnreachableCheckPause) : interval;
    // Jitter between 3/4 and 5/4 of the pause keeps entry VMs from checking at the same moment.
    nextCheck_ = now + pause * 3 / 4 + Duration(random_.below(static_cast<std::size_t>((pause / 2).count())));
}

void DirectoryManager::storeCallUnresponsive(TimePoint now, DirectoryActions &actions)
{
    if (!isAtStore() || isStoreUnreachable_) {
        return;
    }
    // The unresponsive connection is closed with this call, so a check over a new connection would succeed. A relay whose watch hung would then
    // send no changes to its followers for up to 30 s, the timeout of a watch.
    actions.emplace_back(LogDirectoryEvent{"watches restarted", "a call to the store got no answer"});
    relistAll(now);
}

void DirectoryManager::storeFailed(TimePoint now, const std::string &reason, DirectoryActions &actions)
{
    if (!isStoreUnreachable_) {
        isStoreUnreachable_ = true;
        nextCheck_ = now + Duration(random_.below(static_cast<std::size_t>(FirstCheckJitter.count())));
        actions.emplace_back(LogDirectoryEvent{"store unreachable", reason});
    }
}

bool DirectoryManager::isServable() const
{
    // Without the lists of evacuated zones and of rollouts, requests would be sent to servers that must get none.
    return plan_ && servers_.isComplete() && evacuations_.isComplete() && rollouts_.isComplete();
}

void DirectoryManager::publish(TimePoint now, DirectoryActions &actions)
{
    if (!isServable() || !initialReports_.isOver(crashes_.isComplete())) {
        return;
    }
    initialReports_.finish();
    publishedRank_ = currentRank(now);
    auto intent = std::make_shared<ActiveIntent>();
    intent->version = ++publishedVersion_;
    intent->value = plan_->versionText;
    intent->entryVmCount = fleet_.entryVms();
    intent->configuration.routes = plan_->routes;
    intent->configuration.callerLimits = plan_->limits;
    intent->configuration.workspaces = plan_->workspaces;
    for (Service service : plan_->services) {
        service.retry = extraAttemptRulesFor(budgets_, fleet_.entryVms());
        service.evacuatedZones = evacuatedZones_;
        service.versionShift = rolloutCoordinator_.shiftFor(service.name);
        service.coldStartQuota = coldStartQuota(budgets_, service.coldRequestsPerSecond);
        service.entryVmRank = publishedRank_;
        applySharingRules(budgets_, service);
        service.choiceProbes.probesPerSecond = probesPerSecondFor(budgets_, fleet_.entryVms());
        for (Registration &registration : registry_.registrationsOf(now, service.name)) {
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
