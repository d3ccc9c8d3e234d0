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

/// How sure this entry VM is of a peer.
enum class MemberState {
    Live,
    Suspect, ///< It did not answer; other peers are being asked to reach it.
    Dead, ///< Nobody who was asked could reach it.
    Left, ///< It said goodbye.
};

/// Whom to ask to reach a suspect.
struct Suspicion {
    Incarnation subject;
    std::string subjectAddress;
    std::vector<std::string> askAddresses;
};

/// The entry VMs that this one knows. Each calls on a peer or two a second; who does not answer is suspected, and
/// counts as dead only when other peers cannot reach it either. Only changes are told on, each a few times,
/// so that the traffic of an entry VM does not grow with the fleet; now and then the whole table is told, which
/// heals what was missed.
class Membership
{
public:
    Membership(Member self, std::vector<std::string> firstPeers);

    const Member &self() const;
    void setConfigurationVersion(std::int64_t version);
    void setLeaving();
    /// Adds addresses at which entry VMs may be found, as from the VM list.
    void addAddresses(std::span<const std::string> addresses);

    /// Starts a round of heartbeats.
    void beat();
    /// @return the addresses for this round: one of the own zone, one of any, and now and then one unknown.
    std::vector<std::string> targets(Random &random);
    /// @return what to tell the peer at @p address: all to one that is not known, else the latest changes.
    std::vector<Member> news(const std::string &address);
    /// Takes what the peer @p sender told.
    void merge(TimePoint now, const Member &sender, std::span<const Member> members);
    /// The peer at @p address did not answer. @return whom to ask about it, if it is a new suspect.
    std::optional<Suspicion> contactFailed(TimePoint now, const std::string &address, Random &random);
    /// A peer that was asked has reached the subject.
    void vouch(const Incarnation &subject);
    /// Suspects for whom nobody vouched in time count as dead.
    void check(TimePoint now);

    /// @return since when the subject has not been heard of directly, if it is known.
    std::optional<Duration> silence(TimePoint now, const Incarnation &subject) const;
    std::optional<MemberState> stateOf(const Incarnation &subject) const;
    /// @return every member that is known, with the own entry, by name.
    std::vector<Member> all() const;
    std::size_t liveCount() const;
    /// @return whether the own entry is among the first @p count live members of the own zone by rendezvous hash.
    bool isRankedInZone(std::string_view purpose, std::size_t count) const;
    /// @return whether the own entry ranks first of all for @p purpose.
    bool isFirst(std::string_view purpose) const;
    /// Counts suspects that turned out alive.
    std::size_t clearedSuspicions() const;

private:
    struct Entry {
        Member member;
        MemberState state = MemberState::Live;
        TimePoint heardAt; ///< Last direct contact, or when it was first told of.
        TimePoint since; ///< When the state was entered.
        int tellings = 0; ///< How often the latest change is still to be told.
    };

    static bool isUsable(const Entry &entry);
    bool isRankedAmong(std::string_view purpose, std::size_t count, bool isZoneOnly) const;
    void renewSelf();
    int tellingsOfChange() const;
    void mergeOther(TimePoint now, const Member &member);
    void refute(const Member &claim);
    void heardFrom(TimePoint now, const Member &sender);
    void enter(Entry &entry, MemberState state, TimePoint now);
    bool knows(const std::string &address) const;
    std::vector<std::string> liveAddresses(std::string_view zone) const;
    std::vector<std::string> unknownAddresses() const;

    Member self_;
    std::set<std::string> addresses_;
    std::map<Incarnation, Entry> entries_;
    std::uint64_t beats_ = 0;
    std::size_t clearedSuspicions_ = 0;
};

} // namespace Cloverbarrow
