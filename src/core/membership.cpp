/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/membership.h"

#include "core/stablehash.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

// News crosses the fleet in a few heartbeats; a counter that stands still for longer than this is odd.
constexpr Duration SuspectAfter = seconds(4);
constexpr Duration DeadAfterSuspicion = seconds(3);
// Kept so that late gossip does not revive them.
constexpr Duration ForgetAfter = seconds(120);
constexpr std::size_t PeersAsked = 3;
constexpr std::uint64_t BeatsBetweenUnknown = 8;

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

} // namespace

Membership::Membership(Member self, std::vector<std::string> firstPeers)
    : self_(std::move(self))
{
    addAddresses(firstPeers);
}

const Member &Membership::self() const
{
    return self_;
}

void Membership::setConfigurationVersion(std::int64_t version)
{
    self_.configurationVersion = version;
}

void Membership::setLeaving()
{
    self_.isLeaving = true;
}

void Membership::addAddresses(std::span<const std::string> addresses)
{
    for (const std::string &address : addresses) {
        if (address != self_.peerAddress) {
            addresses_.insert(address);
        }
    }
}

void Membership::beat()
{
    ++self_.counter;
    ++beats_;
}

std::vector<std::string> Membership::targets(Random &random)
{
    std::vector<std::string> chosen;
    addOnce(chosen, pickOne(liveAddresses(self_.zone), random));
    addOnce(chosen, pickOne(liveAddresses({}), random));
    // Heals a fleet that fell into parts, and finds the first peers.
    const bool isAlone = chosen.empty();
    if (isAlone || beats_ % BeatsBetweenUnknown == 0) {
        addOnce(chosen, pickOne(unknownAddresses(), random));
    }
    return chosen;
}

std::vector<Member> Membership::news(std::size_t limit)
{
    std::vector<Entry *> fresh;
    for (auto &[id, entry] : entries_) {
        if (entry.state == MemberState::Live || entry.state == MemberState::Left) {
            fresh.push_back(&entry);
        }
    }
    // Those whose counter rose most since they were last told come first.
    std::stable_sort(fresh.begin(), fresh.end(), [](const Entry *left, const Entry *right) {
        return left->member.counter - left->told > right->member.counter - right->told;
    });
    fresh.resize(std::min(limit, fresh.size()));
    std::vector<Member> told;
    for (Entry *entry : fresh) {
        entry->told = entry->member.counter;
        told.push_back(entry->member);
    }
    return told;
}

void Membership::merge(TimePoint now, std::span<const Member> members)
{
    for (const Member &member : members) {
        if (member.id == self_.id) {
            continue;
        }
        const auto [found, isNew] = entries_.try_emplace(member.id, Entry{member, MemberState::Live, now, now, 0});
        Entry &entry = found->second;
        const bool hasRisen = isNew || member.counter > entry.member.counter;
        if (!hasRisen) {
            continue;
        }
        if (entry.state == MemberState::Suspect) {
            ++clearedSuspicions_;
        }
        entry.member = member;
        entry.roseAt = now;
        entry.state = member.isLeaving ? MemberState::Left : MemberState::Live;
    }
}

std::vector<Suspicion> Membership::check(TimePoint now, Random &random)
{
    std::vector<Suspicion> suspicions;
    for (auto &[id, entry] : entries_) {
        if (entry.state == MemberState::Live && now - entry.roseAt > SuspectAfter) {
            entry.state = MemberState::Suspect;
            entry.suspectSince = now;
            Suspicion suspicion{id, {}};
            const auto others = liveAddresses({});
            for (std::size_t ask = 0; ask < PeersAsked; ++ask) {
                addOnce(suspicion.askAddresses, pickOne(others, random));
            }
            suspicions.push_back(std::move(suspicion));
        } else if (entry.state == MemberState::Suspect && now - entry.suspectSince > DeadAfterSuspicion) {
            entry.state = MemberState::Dead;
        }
    }
    std::erase_if(entries_, [now](const auto &item) {
        const bool isGone = item.second.state == MemberState::Dead || item.second.state == MemberState::Left;
        return isGone && now - item.second.roseAt > ForgetAfter;
    });
    return suspicions;
}

void Membership::vouch(TimePoint now, const Incarnation &subject, Duration age)
{
    const auto found = entries_.find(subject);
    if (found == entries_.end() || age > SuspectAfter) {
        return;
    }
    Entry &entry = found->second;
    if (entry.state == MemberState::Suspect || entry.state == MemberState::Dead) {
        ++clearedSuspicions_;
        entry.state = MemberState::Live;
        entry.roseAt = now - age;
    }
}

std::optional<Duration> Membership::silence(TimePoint now, const Incarnation &subject) const
{
    const auto found = entries_.find(subject);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    return now - found->second.roseAt;
}

std::optional<MemberState> Membership::stateOf(const Incarnation &subject) const
{
    if (subject == self_.id) {
        return MemberState::Live;
    }
    const auto found = entries_.find(subject);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.state);
}

template<typename Filter>
std::vector<Member> Membership::members(const Filter &isWanted) const
{
    std::vector<Member> chosen = {self_};
    for (const auto &[id, entry] : entries_) {
        if (isWanted(entry)) {
            chosen.push_back(entry.member);
        }
    }
    std::sort(chosen.begin(), chosen.end(), [](const Member &left, const Member &right) { return left.id < right.id; });
    return chosen;
}

std::vector<Member> Membership::all() const
{
    return members([](const Entry &) { return true; });
}

std::vector<Member> Membership::live() const
{
    return members([this](const Entry &entry) { return isUsable(entry); });
}

std::size_t Membership::liveCount() const
{
    return 1 + static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [this](const auto &item) { return isUsable(item.second); }));
}

std::vector<Member> Membership::ranked(std::string_view purpose, std::string_view zone, std::size_t count) const
{
    std::vector<Member> members = live();
    std::erase_if(members, [zone](const Member &member) { return (!zone.empty() && member.zone != zone) || member.isLeaving; });
    const auto weight = [purpose](const Member &member) { return stableHash({purpose, member.id.name}); };
    std::sort(members.begin(), members.end(), [&weight](const Member &left, const Member &right) { return weight(left) > weight(right); });
    members.resize(std::min(count, members.size()));
    return members;
}

bool Membership::isRanked(std::string_view purpose, std::string_view zone, std::size_t count) const
{
    const auto members = ranked(purpose, zone, count);
    return std::any_of(members.begin(), members.end(), [this](const Member &member) { return member.id == self_.id; });
}

bool Membership::isFirst(std::string_view purpose) const
{
    const std::uint64_t own = stableHash({purpose, self_.id.name});
    return std::none_of(entries_.begin(), entries_.end(), [this, purpose, own](const auto &item) {
        return isUsable(item.second) && !item.second.member.isLeaving && stableHash({purpose, item.first.name}) > own;
    });
}

std::size_t Membership::clearedSuspicions() const
{
    return clearedSuspicions_;
}

bool Membership::isUsable(const Entry &entry) const
{
    // A suspect still counts: taking work from it on a mere suspicion costs more than a little waiting.
    return entry.state == MemberState::Live || entry.state == MemberState::Suspect;
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

std::vector<std::string> Membership::unknownAddresses() const
{
    std::vector<std::string> unknown;
    const auto known = liveAddresses({});
    for (const std::string &address : addresses_) {
        if (std::find(known.begin(), known.end(), address) == known.end()) {
            unknown.push_back(address);
        }
    }
    return unknown;
}

} // namespace Cloverbarrow
