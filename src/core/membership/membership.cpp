/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/membership/membership.h"

#include "core/support/stablehash.h"

#include <algorithm>
#include <bit>

namespace Cloverbarrow
{

namespace
{

constexpr Duration SuspicionTimeout = seconds(3);
// Dead and departed members are kept so that delayed updates do not revive them.
constexpr Duration TombstoneLifetime = seconds(120);
constexpr std::size_t IndirectProbes = 3;
constexpr std::size_t MaxUpdatesPerHeartbeat = 12;
// A transmission at best doubles the number of entry VMs that have a change, so at least log2(fleet size) rounds are needed. Three times as
// many reach all entry VMs with high probability.
constexpr int TransmissionsPerDoubling = 3;
constexpr std::uint64_t RoundsBetweenReconnects = 8;
constexpr std::uint64_t RoundsBetweenFullTables = 32;

std::optional<std::string> pickOne(const std::vector<std::string> &addresses, Random &random)
{
    if (addresses.empty()) {
        return std::nullopt;
    }
    return addresses[random.below(addresses.size())];
}

void addOnce(std::vector<std::string> &addresses, const std::optional<std::string> &address)
{
    if (address && std::find(addresses.begin(), addresses.end(), *address) == addresses.end()) {
        addresses.push_back(*address);
    }
}

MemberState stateFor(MemberClaim claim)
{
    switch (claim) {
    case MemberClaim::Leaving:
        return MemberState::Left;
    case MemberClaim::Dead:
        return MemberState::Dead;
    case MemberClaim::Alive:
        break;
    }
    return MemberState::Live;
}

bool isNewer(const Member &received, const Member &current)
{
    return received.sequenceNumber > current.sequenceNumber || (received.sequenceNumber == current.sequenceNumber && received.claim > current.claim);
}

} // namespace

Membership::Membership(Member self, std::vector<std::string> seedPeers)
    : self_(std::move(self))
{
    addAddresses(seedPeers);
}

const Member &Membership::self() const
{
    return self_;
}

void Membership::setConfigurationVersion(std::int64_t version)
{
    self_.configurationVersion = version;
    incrementSequenceNumber();
}

void Membership::setLeaving()
{
    self_.claim = MemberClaim::Leaving;
    incrementSequenceNumber();
}

void Membership::addAddresses(std::span<const std::string> addresses)
{
    for (const std::string &address : addresses) {
        if (address != self_.peerAddress) {
            addresses_.insert(address);
        }
    }
}

void Membership::startRound()
{
    ++rounds_;
}

std::vector<std::string> Membership::heartbeatTargets(Random &random)
{
    std::vector<std::string> chosen;
    addOnce(chosen, pickOne(liveAddresses(self_.zone), random));
    addOnce(chosen, pickOne(liveAddresses({}), random));
    // Reconnects a fleet after a partition, and finds the first peers.
    if (chosen.empty() || rounds_ % RoundsBetweenReconnects == 0) {
        addOnce(chosen, pickOne(addressesWithoutLivePeer(), random));
    }
    return chosen;
}

std::vector<Member> Membership::updatesFor(const std::string &address)
{
    const bool isFullTable = !hasPeer(address) || rounds_ % RoundsBetweenFullTables == 0;
    std::vector<Entry *> chosen;
    for (auto &[id, entry] : entries_) {
        // A peer that is considered dead must receive the claim to be able to refute it.
        const bool isAboutReceiver = entry.state == MemberState::Dead && entry.member.peerAddress == address;
        if (isFullTable || isAboutReceiver || entry.remainingTransmissions > 0) {
            chosen.push_back(&entry);
        }
    }
    std::stable_sort(
        chosen.begin(), chosen.end(), [](const Entry *left, const Entry *right) { return left->remainingTransmissions > right->remainingTransmissions; });
    if (!isFullTable && chosen.size() > MaxUpdatesPerHeartbeat) {
        chosen.resize(MaxUpdatesPerHeartbeat);
    }
    std::vector<Member> updates;
    updates.reserve(chosen.size());
    for (Entry *entry : chosen) {
        entry->remainingTransmissions = std::max(0, entry->remainingTransmissions - 1);
        updates.push_back(entry->member);
    }
    return updates;
}

void Membership::merge(TimePoint now, const Member &sender, std::span<const Member> members)
{
    if (sender.id != self_.id) {
        recordContact(now, sender);
    }
    for (const Member &member : members) {
        if (member.id == self_.id) {
            refute(member);
        } else if (member.id != sender.id) {
            mergePeer(now, member);
        }
    }
}

std::optional<Suspicion> Membership::contactFailed(TimePoint now, const std::string &address, Random &random)
{
    for (auto &[id, entry] : entries_) {
        if (entry.member.peerAddress != address || entry.state != MemberState::Live) {
            continue;
        }
        enterState(entry, MemberState::Suspect, now);
        entry.remainingTransmissions = 0;
        Suspicion suspicion{id, address, {}};
        const auto livePeers = liveAddresses({});
        for (std::size_t probe = 0; probe < IndirectProbes; ++probe) {
            addOnce(suspicion.indirectProbeAddresses, pickOne(livePeers, random));
        }
        return suspicion;
    }
    return std::nullopt;
}

void Membership::confirmAlive(const Incarnation &subject)
{
    const auto found = entries_.find(subject);
    if (found != entries_.end() && found->second.state == MemberState::Suspect) {
        ++clearedSuspicions_;
        found->second.state = MemberState::Live;
    }
}

void Membership::expireSuspects(TimePoint now)
{
    for (auto &[id, entry] : entries_) {
        if (entry.state == MemberState::Suspect && now - entry.stateSince > SuspicionTimeout) {
            entry.member.claim = MemberClaim::Dead;
            enterState(entry, MemberState::Dead, now);
        }
    }
    std::erase_if(entries_, [now](const auto &item) { return !isUsable(item.second) && now - item.second.stateSince > TombstoneLifetime; });
}

std::optional<Duration> Membership::timeSinceContact(TimePoint now, const Incarnation &subject) const
{
    const auto found = entries_.find(subject);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    return now - found->second.lastContactAt;
}

std::optional<MemberState> Membership::stateOf(const Incarnation &subject) const
{
    if (subject == self_.id) {
        return MemberState::Live;
    }
    const auto found = entries_.find(subject);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.state);
}

std::vector<Member> Membership::all() const
{
    std::vector<Member> members = {self_};
    for (const auto &[id, entry] : entries_) {
        members.push_back(entry.member);
    }
    std::sort(members.begin(), members.end(), [](const Member &left, const Member &right) { return left.id < right.id; });
    return members;
}

std::size_t Membership::liveCount() const
{
    return 1 + static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto &item) { return isUsable(item.second); }));
}

bool Membership::isRankedInZone(std::string_view purpose, std::size_t count) const
{
    return isRankedAmong(purpose, count, true);
}

bool Membership::isRankedFirst(std::string_view purpose) const
{
    return isRankedAmong(purpose, 1, false);
}

std::size_t Membership::clearedSuspicions() const
{
    return clearedSuspicions_;
}

bool Membership::isUsable(const Entry &entry)
{
    // Suspects still count, since reassigning their work because of a suspicion costs more than a short wait.
    return entry.state == MemberState::Live || entry.state == MemberState::Suspect;
}

bool Membership::isRankedAmong(std::string_view purpose, std::size_t count, bool isZoneOnly) const
{
    const std::uint64_t localHash = stableHash({purpose, self_.id.name});
    const auto isAhead = [&](const auto &item) {
        const Entry &entry = item.second;
        const bool isCandidate = isUsable(entry) && (!isZoneOnly || entry.member.zone == self_.zone);
        return isCandidate && stableHash({purpose, item.first.name}) > localHash;
    };
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), isAhead)) < count;
}

void Membership::incrementSequenceNumber()
{
    // Each heartbeat contains the local entry, and its receivers disseminate it.
    ++self_.sequenceNumber;
}

int Membership::transmissionsPerChange() const
{
    return TransmissionsPerDoubling * static_cast<int>(std::bit_width(entries_.size() + 1));
}

void Membership::mergePeer(TimePoint now, const Member &member)
{
    const auto found = entries_.find(member.id);
    if (found == entries_.end()) {
        Entry entry{member, stateFor(member.claim), now, now, transmissionsPerChange()};
        entries_.emplace(member.id, std::move(entry));
        return;
    }
    Entry &entry = found->second;
    if (isNewer(member, entry.member)) {
        entry.member = member;
        enterState(entry, stateFor(member.claim), now);
    }
}

void Membership::refute(const Member &claim)
{
    const bool isWrong = claim.claim != self_.claim || claim.sequenceNumber > self_.sequenceNumber;
    if (isWrong && claim.sequenceNumber >= self_.sequenceNumber) {
        self_.sequenceNumber = claim.sequenceNumber + 1;
    }
}

void Membership::recordContact(TimePoint now, const Member &sender)
{
    for (auto &[id, entry] : entries_) {
        // Another process listens at this address now, so the former one has stopped.
        if (entry.member.peerAddress == sender.peerAddress && id != sender.id && isUsable(entry)) {
            entry.member.claim = MemberClaim::Dead;
            enterState(entry, MemberState::Dead, now);
        }
    }
    mergePeer(now, sender);
    Entry &entry = entries_.at(sender.id);
    entry.lastContactAt = now;
    if (entry.state == MemberState::Suspect) {
        ++clearedSuspicions_;
        entry.state = MemberState::Live;
    }
}

void Membership::enterState(Entry &entry, MemberState state, TimePoint now)
{
    entry.state = state;
    entry.stateSince = now;
    entry.remainingTransmissions = transmissionsPerChange();
}

bool Membership::hasPeer(const std::string &address) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&address](const auto &item) { return item.second.member.peerAddress == address; });
}

std::vector<std::string> Membership::liveAddresses(std::string_view zone) const
{
    std::vector<std::string> addresses;
    for (const auto &[id, entry] : entries_) {
        if (entry.state == MemberState::Live && (zone.empty() || entry.member.zone == zone)) {
            addresses.push_back(entry.member.peerAddress);
        }
    }
    return addresses;
}

std::vector<std::string> Membership::addressesWithoutLivePeer() const
{
    std::vector<std::string> addresses;
    const auto live = liveAddresses({});
    for (const std::string &address : addresses_) {
        if (std::find(live.begin(), live.end(), address) == live.end()) {
            addresses.push_back(address);
        }
    }
    // A peer that is considered dead may only have been disconnected. It is contacted again so that it can refute the claim.
    for (const auto &[id, entry] : entries_) {
        if (entry.state == MemberState::Dead) {
            addresses.push_back(entry.member.peerAddress);
        }
    }
    return addresses;
}

} // namespace Cloverbarrow
