/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/directorymanager.h"

#include <algorithm>
#include <utility>

// Exchange with peers: updates and proofs for followers, crash updates, the size of the fleet and the rank of this entry VM.

namespace Cloverbarrow
{

namespace
{

// Peers change when entry VMs start or end, or the relay does; a peer that has ended is replaced by others meanwhile.
constexpr Duration PeersCheckInterval = milliseconds(500);

void addIfMissing(std::vector<std::string> &addresses, const std::string &address)
{
    if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
        addresses.push_back(address);
    }
}

} // namespace

std::optional<CollectionUpdate> DirectoryManager::updateSince(Collection collection, std::int64_t since) const
{
    if (!watchOf(collection).isComplete()) {
        return std::nullopt;
    }
    if (collection == Collection::Servers) {
        auto entries = registry_.changedSince(since);
        return entries ? std::optional(CollectionUpdate{registry_.sequence(), storeRevision_[indexOf(collection)], std::move(*entries)}) : std::nullopt;
    }
    if (collection != Collection::Routing) {
        const ObjectTable &objects = collection == Collection::Crashes ? crashTable_ : collection == Collection::Evacuations ? evacuationTable_ : rolloutTable_;
        auto entries = objects.changedSince(since);
        return entries ? std::optional(CollectionUpdate{objects.sequence(), storeRevision_[indexOf(collection)], std::move(*entries)}) : std::nullopt;
    }
    if (since > planSequence_) {
        return std::nullopt;
    }
    CollectionUpdate update{planSequence_, storeRevision_[indexOf(collection)], {}};
    if (plan_ && planSequence_ > since) {
        update.entries.push_back({planEntry_.name, planEntry_.revision, std::nullopt, false, planEntry_.text});
    }
    return update;
}

std::optional<RelayProof> DirectoryManager::proofFor(TimePoint now, const std::string &follower)
{
    if (!election_.isRelaying() || !upToDateAt_) {
        return std::nullopt;
    }
    const bool isStoreReachable = election_.state() == RelayElection::State::Leading && !isStoreUnreachable_;
    RelayProof proof{now - *upToDateAt_, isStoreReachable, fleet_.countedInZone(now), election_.otherRelays()};
    if (!follower.empty()) {
        proof.rank = fleet_.onFollowerRequest(now, follower);
        proof.entryVms = fleet_.countedInZone(now);
        proof.standbys = fleet_.standbys(now);
        if (fleet_.takePeersDue(now, follower)) {
            proof.peers = PeerAddresses{fleet_.peersFor(follower), peersOfOtherZones()};
        }
    } else {
        proof.peers = PeerAddresses{fleet_.peersFor(follower), {}};
    }
    proof.newestRevisions = comparison_.newestRevisions();
    return proof;
}

std::optional<RelayReferral> DirectoryManager::referral(TimePoint now) const
{
    return upToDateAt_ ? election_.referral(now - *upToDateAt_) : std::nullopt;
}

void DirectoryManager::storeReported(TimePoint now)
{
    if (!isAtStore() || !isStoreUnreachable_ || now < nextReportedCheck_) {
        return;
    }
    nextReportedCheck_ = now + RelayElection::CheckInterval;
    nextCheck_ = std::min(nextCheck_, now);
}

bool DirectoryManager::mayHaveProofSoon() const
{
    const bool isDeciding = election_.state() == RelayElection::State::Deciding;
    return isDeciding || (election_.isRelaying() && !upToDateAt_);
}

void DirectoryManager::broadcastCrashUpdates(TimePoint now, const CrashBroadcast &broadcast, DirectoryActions &actions) const
{
    // Relays keep a second copy of each report. Without it, a poison request crashed more servers after the only entry VMs that had observed the earlier
    // crashes were killed while the store rejected calls.
    std::vector<std::string> relays = knownRelays();
    for (const std::string &substitute : substitutes()) {
        addIfMissing(relays, substitute);
    }
    if (broadcast.local && !relays.empty()) {
        actions.emplace_back(SendCrashUpdates{std::move(relays), {{}, {*broadcast.local}}, broadcast.isUrgent});
    }
    auto receivers = fleet_.followers();
    for (const std::string &requester : reportPeers_.requesters(now)) {
        addIfMissing(receivers, requester);
    }
    if (!broadcast.forwarded.empty() && !receivers.empty()) {
        actions.emplace_back(SendCrashUpdates{std::move(receivers), {{}, broadcast.forwarded}, broadcast.isUrgent});
    }
}

void DirectoryManager::crashUpdatesRequested(TimePoint now, const std::string &peer)
{
    reportPeers_.onRequest(now, peer);
}

void DirectoryManager::crashUpdatesReceived(const std::string &peer)
{
    initialReports_.received(peer);
}

void DirectoryManager::on(TimePoint now, const CrashUpdatesAnswered &event, DirectoryActions &actions)
{
    initialReports_.answered(event);
    if (updateCrashReportWait(now)) {
        publish(now, actions);
    }
}

void DirectoryManager::requestCrashUpdates(const std::string &peer, DirectoryActions &actions)
{
    // A relay is ready without the updates of other relays: it would wait for a frozen one, and its followers with it.
    if (!election_.isRelaying()) {
        initialReports_.requested(peer);
    }
    actions.emplace_back(ExchangeCrashUpdates{peer});
}

std::vector<std::string> DirectoryManager::knownRelays() const
{
    std::vector<std::string> relays = election_.otherRelays();
    if (!source_.empty()) {
        addIfMissing(relays, source_);
    }
    return relays;
}

std::vector<std::string> DirectoryManager::substitutes() const
{
    return lacksRelay() ? reportPeers_.substitutes() : std::vector<std::string>();
}

bool DirectoryManager::lacksRelay() const
{
    return !election_.isRelaying() && !election_.followsOwnZone();
}

void DirectoryManager::exchangeWithSubstitutes(TimePoint now, DirectoryActions &actions)
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
        for (const std::string &relay : election_.otherRelays()) {
            addIfMissing(peers, relay);
        }
    }
    for (const std::string &peer : peers) {
        requestCrashUpdates(peer, actions);
    }
}

PeerAddresses DirectoryManager::forwardingPeers() const
{
    PeerAddresses peers;
    if (election_.isRelaying()) {
        peers = {fleet_.peersFor(localAddress()), peersOfOtherZones()};
    } else if (namedPeers_) {
        peers = *namedPeers_;
    }
    // The only known ones before the first proof with a selection, and while the relays are of an earlier release.
    for (const std::string &standby : reportPeers_.substitutes()) {
        addIfMissing(peers.sameZone, standby);
    }
    if (!source_.empty()) {
        addIfMissing(election_.followsOwnZone() ? peers.sameZone : peers.otherZones, source_);
    }
    for (const std::string &relay : election_.otherRelays()) {
        addIfMissing(peers.otherZones, relay);
    }
    std::erase(peers.sameZone, localAddress());
    std::erase(peers.otherZones, localAddress());
    return peers;
}

std::vector<std::string> DirectoryManager::peersOfOtherZones() const
{
    // One of each zone by turns, so that no zone takes all places.
    std::vector<std::string> addresses;
    for (std::size_t place = 0; place < FleetEstimate::MaxPeers; ++place) {
        for (const std::string &relay : election_.otherRelays()) {
            const auto named = otherZonePeers_.find(relay);
            if (named != otherZonePeers_.end() && place < named->second.size() && addresses.size() < FleetEstimate::MaxPeers) {
                addIfMissing(addresses, named->second[place]);
            }
        }
    }
    return addresses;
}

void DirectoryManager::publishForwardingPeers(TimePoint now, DirectoryActions &actions)
{
    // A relay hashes the addresses of all its followers for this.
    if (now < nextPeersCheck_) {
        return;
    }
    nextPeersCheck_ = now + PeersCheckInterval;
    PeerAddresses peers = forwardingPeers();
    if (peers != publishedPeers_) {
        publishedPeers_ = std::move(peers);
        election_.addPeers(publishedPeers_);
        actions.emplace_back(PublishForwardingPeers{publishedPeers_, ++peersPublished_});
    }
}

LimitPeers DirectoryManager::limitPeers() const
{
    // A follower receives the peers' reports from its relay.
    const bool isFollower = election_.state() == RelayElection::State::Following && !election_.isRelaying();
    return {isFollower ? std::vector<std::string>{source_} : knownRelays(), substitutes()};
}

std::vector<std::string> DirectoryManager::quotaGranters() const
{
    // The relay of this zone is included while it is not followed, so that all entry VMs choose among the same granters.
    std::vector<std::string> granters = election_.otherRelays();
    if (!election_.zoneLeader().empty()) {
        addIfMissing(granters, election_.zoneLeader());
    }
    return granters;
}

bool DirectoryManager::hasQuotas() const
{
    if (!plan_ || !plan_->workspaces) {
        return false;
    }
    const auto &workspaces = plan_->workspaces->all();
    return std::any_of(workspaces.begin(), workspaces.end(), [](const Workspace &workspace) { return workspace.quota.has_value(); });
}

const std::string &DirectoryManager::localAddress() const
{
    return election_.localAddress();
}

int DirectoryManager::entryVms() const
{
    return fleet_.entryVms();
}

void DirectoryManager::sendCrashUpdates(const SendAllCrashUpdates &message, DirectoryActions &actions) const
{
    CrashUpdateMessage sent{{}, message.updates, {}, message.held};
    (message.wantsReply ? sent.replyTo : sent.replyFrom) = election_.localAddress();
    actions.emplace_back(SendCrashUpdates{{message.relay}, std::move(sent)});
}

void DirectoryManager::exchangeWithNewRelays(DirectoryActions &actions)
{
    // After a relay has terminated, the entry VMs that followed it may be the only ones that still have its crash updates.
    const bool isProxyReporter = election_.isRelaying() || election_.state() == RelayElection::State::Standalone;
    if (isProxyReporter != wasProxyReporter_) {
        wasProxyReporter_ = isProxyReporter;
        contactedRelays_.clear();
        actions.emplace_back(PublishProxyReporting{isProxyReporter});
    }
    const std::vector<std::string> &otherRelays = election_.otherRelays();
    if (!wasProxyReporter_ || otherRelays == contactedRelays_) {
        return;
    }
    for (const std::string &relay : otherRelays) {
        if (std::find(contactedRelays_.begin(), contactedRelays_.end(), relay) == contactedRelays_.end()) {
            requestCrashUpdates(relay, actions);
        }
    }
    contactedRelays_ = otherRelays;
}

void DirectoryManager::setRank(TimePoint now, const std::optional<FleetRank> &rank)
{
    if (rank) {
        rank_ = rank;
        rankReceivedAt_ = now;
    }
}

bool DirectoryManager::hasRankChanged(TimePoint now) const
{
    return publishedVersion_ > 0 && currentRank(now) != publishedRank_;
}

std::optional<FleetRank> DirectoryManager::currentRank(TimePoint now) const
{
    return now - rankReceivedAt_ <= FleetEstimate::RankLifetime ? rank_ : std::nullopt;
}

void DirectoryManager::updateFleetSize(TimePoint now, int entryVms, DirectoryActions &actions)
{
    if (fleet_.update(now, entryVms)) {
        actions.emplace_back(LogDirectoryEvent{"budgets divided by number of entry VMs", std::to_string(fleet_.entryVms())});
        publish(now, actions);
    }
}

} // namespace Cloverbarrow
