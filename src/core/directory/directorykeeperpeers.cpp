/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/directorykeeper.h"

#include <algorithm>
#include <utility>

// Exchange with peers: updates and proofs for followers, crash updates, the size of the fleet and the rank of this entry VM.

namespace Cloverbarrow
{

namespace
{

void addIfMissing(std::vector<std::string> &addresses, const std::string &address)
{
    if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
        addresses.push_back(address);
    }
}

} // namespace

std::optional<DirectoryNews> DirectoryKeeper::newsSince(Collection collection, std::int64_t since) const
{
    if (!watchOf(collection).isComplete()) {
        return std::nullopt;
    }
    if (collection == Collection::Servers) {
        auto entries = registry_.changedSince(since);
        return entries ? std::optional(DirectoryNews{registry_.sequence(), storeRevision_[indexOf(collection)], std::move(*entries)}) : std::nullopt;
    }
    if (collection == Collection::Crashes || collection == Collection::Evacuations) {
        const ObjectBook &objects = collection == Collection::Crashes ? crashBook_ : evacuationBook_;
        auto entries = objects.changedSince(since);
        return entries ? std::optional(DirectoryNews{objects.sequence(), storeRevision_[indexOf(collection)], std::move(*entries)}) : std::nullopt;
    }
    if (since > planSequence_) {
        return std::nullopt;
    }
    DirectoryNews update{planSequence_, storeRevision_[indexOf(collection)], {}};
    if (plan_ && planSequence_ > since) {
        update.entries.push_back({planEntry_.name, planEntry_.revision, std::nullopt, false, planEntry_.text});
    }
    return update;
}

std::optional<RelayProof> DirectoryKeeper::proofFor(TimePoint now, const std::string &follower)
{
    if (!seat_.isRelaying() || !currentAt_) {
        return std::nullopt;
    }
    const bool isStoreReachable = seat_.state() == RelaySeat::State::Holding && !isStoreLost_;
    RelayProof proof{now - *currentAt_, isStoreReachable, fleet_.countedInZone(now), seat_.otherRelays()};
    if (!follower.empty()) {
        proof.place = fleet_.followerAsked(now, follower);
        proof.entryVms = fleet_.countedInZone(now);
        proof.standbys = fleet_.standbys(now);
    }
    proof.newest = comparison_.newest();
    return proof;
}

bool DirectoryKeeper::mayProveSoon() const
{
    const bool isDeciding = seat_.state() == RelaySeat::State::Deciding;
    return isDeciding || (seat_.isRelaying() && !currentAt_);
}

void DirectoryKeeper::spreadCrashNews(TimePoint now, const CrashSpread &spread, DirectoryActions &actions) const
{
    // Relays keep a second copy of each report. Without it, a poison request crashed more servers after the only entry VMs that had observed the earlier
    // crashes were killed while the store rejected calls.
    std::vector<std::string> relays = knownRelays();
    for (const std::string &substitute : substitutes()) {
        addIfMissing(relays, substitute);
    }
    if (spread.own && !relays.empty()) {
        actions.emplace_back(TellCrashNews{std::move(relays), {{}, {*spread.own}}});
    }
    auto receivers = fleet_.followers();
    for (const std::string &requester : reportPeers_.askers(now)) {
        addIfMissing(receivers, requester);
    }
    if (!spread.passedOn.empty() && !receivers.empty()) {
        actions.emplace_back(TellCrashNews{std::move(receivers), {{}, spread.passedOn}});
    }
}

void DirectoryKeeper::crashNewsAsked(TimePoint now, const std::string &peer)
{
    reportPeers_.asked(now, peer);
}

std::vector<std::string> DirectoryKeeper::knownRelays() const
{
    std::vector<std::string> relays = seat_.otherRelays();
    if (!source_.empty()) {
        addIfMissing(relays, source_);
    }
    return relays;
}

std::vector<std::string> DirectoryKeeper::substitutes() const
{
    return lacksRelay() ? reportPeers_.substitutes() : std::vector<std::string>();
}

bool DirectoryKeeper::lacksRelay() const
{
    return !seat_.isRelaying() && !seat_.followsOwnZone();
}

void DirectoryKeeper::meetSubstitutes(TimePoint now, DirectoryActions &actions)
{
    if (!lacksRelay() || !reportPeers_.takeDue(now)) {
        return;
    }
    std::vector<std::string> peers = reportPeers_.substitutes();
    if (!source_.empty()) {
        addIfMissing(peers, source_);
    }
    if (reportPeers_.isStandby()) {
        // Traffic between zones is expensive, so only standbys exchange updates with other zones.
        for (const std::string &relay : seat_.otherRelays()) {
            addIfMissing(peers, relay);
        }
    }
    for (std::string &peer : peers) {
        actions.emplace_back(ExchangeCrashNews{std::move(peer)});
    }
}

LimitPeers DirectoryKeeper::limitPeers() const
{
    // A follower receives the peers' reports from its relay.
    const bool isFollower = seat_.state() == RelaySeat::State::Following && !seat_.isRelaying();
    return {isFollower ? std::vector<std::string>{source_} : knownRelays(), substitutes()};
}

void DirectoryKeeper::sendCrashNews(const std::string &relay, std::vector<CrashNews> updates, bool wantsAnswer, DirectoryActions &actions) const
{
    const std::string &localAddress = seat_.ownAddress();
    CrashNewsMessage message{{}, std::move(updates)};
    (wantsAnswer ? message.answerTo : message.answerOf) = localAddress;
    actions.emplace_back(TellCrashNews{{relay}, std::move(message)});
}

void DirectoryKeeper::meetPeers(DirectoryActions &actions)
{
    // After a relay has terminated, the entry VMs that followed it may be the only ones that still have its crash updates.
    const bool isProxyReporter = seat_.isRelaying() || seat_.state() == RelaySeat::State::Alone;
    if (isProxyReporter != wasWitness_) {
        wasWitness_ = isProxyReporter;
        metRelays_.clear();
        actions.emplace_back(PublishWitnessing{isProxyReporter});
    }
    const std::vector<std::string> &otherRelays = seat_.otherRelays();
    if (!wasWitness_ || otherRelays == metRelays_) {
        return;
    }
    for (const std::string &relay : otherRelays) {
        if (std::find(metRelays_.begin(), metRelays_.end(), relay) == metRelays_.end()) {
            actions.emplace_back(ExchangeCrashNews{relay});
        }
    }
    metRelays_ = otherRelays;
}

void DirectoryKeeper::takePlace(TimePoint now, const std::optional<FleetPlace> &rank)
{
    if (rank) {
        place_ = rank;
        placeToldAt_ = now;
    }
}

bool DirectoryKeeper::hasPlaceChanged(TimePoint now) const
{
    return published_ > 0 && placeNow(now) != publishedPlace_;
}

std::optional<FleetPlace> DirectoryKeeper::placeNow(TimePoint now) const
{
    return now - placeToldAt_ <= FleetEstimate::PlaceLasts ? place_ : std::nullopt;
}

void DirectoryKeeper::countedInZone(TimePoint now, int entryVms, DirectoryActions &actions)
{
    if (fleet_.told(now, entryVms)) {
        actions.emplace_back(ReportDirectory{"budgets divided by number of entry VMs", std::to_string(fleet_.entryVms())});
        publish(now, actions);
    }
}

} // namespace Cloverbarrow
