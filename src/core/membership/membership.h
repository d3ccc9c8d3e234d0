/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/membership/member.h"
#include "core/support/random.h"
#include "core/support/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// State of a peer as this entry VM sees it.
enum class MemberState {
    Live,
    Suspect, ///< It did not answer; other peers are being asked to probe it.
    Dead, ///< No peer that was asked could reach it.
    Left, ///< It announced that it is shutting down.
};

/// A suspect and the peers to ask for an indirect probe of it.
struct Suspicion {
    Incarnation subject;
    std::string subjectAddress;
    std::vector<std::string> indirectProbeAddresses;
};

/// Membership of the fleet by a SWIM-like gossip protocol. Each entry VM sends heartbeats to one or two peers a second. A peer
/// that does not answer is suspected, and is considered dead only if other peers cannot reach it either. Only changes are
/// disseminated, each a few times, so that the traffic of an entry VM does not grow with the fleet; a periodic
/// exchange of the whole table repairs missed changes.
class Membership
{
public:
    Membership(Member self, std::vector<std::string> seedPeers);

    const Member &self() const;
    void setConfigurationVersion(std::int64_t version);
    void setLeaving();
    /// Adds addresses at which entry VMs may run, for example from the VM list.
    void addAddresses(std::span<const std::string> addresses);

    /// Starts a round of heartbeats.
    void startRound();
    /// @return the addresses for this round: a live peer of the local zone, one of any zone, and periodically an address without a live peer.
    std::vector<std::string> heartbeatTargets(Random &random);
    /// @return updates for the peer at @p address: the whole table if it is not a member yet, otherwise the latest changes.
    std::vector<Member> updatesFor(const std::string &address);
    /// Merges the updates that the peer @p sender sent.
    void merge(TimePoint now, const Member &sender, std::span<const Member> members);
    /// The peer at @p address did not answer. @return the peers to ask for an indirect probe, if it is a new suspect.
    std::optional<Suspicion> contactFailed(TimePoint now, const std::string &address, Random &random);
    /// An indirect probe has reached the subject.
    void confirmAlive(const Incarnation &subject);
    /// Declares suspects dead that were not confirmed alive in time.
    void expireSuspects(TimePoint now);

    /// @return time since the last direct contact with the subject, if it is a member.
    std::optional<Duration> timeSinceContact(TimePoint now, const Incarnation &subject) const;
    std::optional<MemberState> stateOf(const Incarnation &subject) const;
    /// @return all members including this entry VM, sorted by name.
    std::vector<Member> all() const;
    std::size_t liveCount() const;
    /// @return whether this entry VM is among the first @p count live members of its zone by rendezvous hash.
    bool isRankedInZone(std::string_view purpose, std::size_t count) const;
    /// @return whether this entry VM ranks first of all members for @p purpose.
    bool isRankedFirst(std::string_view purpose) const;
    /// @return number of suspects that turned out to be alive.
    std::size_t clearedSuspicions() const;

private:
    struct Entry {
        Member member;
        MemberState state = MemberState::Live;
        TimePoint lastContactAt; ///< Time of the last direct contact, or when the member was first reported.
        TimePoint stateSince; ///< When the state was entered.
        int remainingTransmissions = 0; ///< Remaining transmissions of the latest change.
    };

    static bool isUsable(const Entry &entry);
    bool isRankedAmong(std::string_view purpose, std::size_t count, bool isZoneOnly) const;
    void incrementSequenceNumber();
    int transmissionsPerChange() const;
    void mergePeer(TimePoint now, const Member &member);
    void refute(const Member &claim);
    void recordContact(TimePoint now, const Member &sender);
    void enterState(Entry &entry, MemberState state, TimePoint now);
    bool hasPeer(const std::string &address) const;
    std::vector<std::string> liveAddresses(std::string_view zone) const;
    std::vector<std::string> addressesWithoutLivePeer() const;

    Member self_;
    std::set<std::string> addresses_;
    std::map<Incarnation, Entry> entries_;
    std::uint64_t rounds_ = 0;
    std::size_t clearedSuspicions_ = 0;
};

} // namespace Cloverbarrow
