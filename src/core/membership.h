/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/member.h"
#include "core/random.h"
#include "core/time.h"

#include <cstddef>
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
    Suspect, ///< Its counter has not risen for long; other peers are being asked.
    Dead, ///< Nobody who was asked has heard of it lately.
    Left, ///< It said goodbye.
};

/// Whom this entry VM would like to ask about a suspect.
struct Suspicion {
    Incarnation subject;
    std::vector<std::string> askAddresses;
};

/// The entry VMs that this one knows. Each spreads a rising counter from peer to peer; whose counter
/// stands still is suspected, and counts as dead only when other peers have not heard of it either.
class Membership
{
public:
    Membership(Member self, std::vector<std::string> firstPeers);

    const Member &self() const;
    void setConfigurationVersion(std::int64_t version);
    void setLeaving();
    /// Adds addresses at which entry VMs may be found, as from the VM list.
    void addAddresses(std::span<const std::string> addresses);

    /// Starts a heartbeat: the own counter rises.
    void beat();
    /// @return the addresses for this heartbeat: one of the own zone, one of any, and now and then one unknown.
    std::vector<std::string> targets(Random &random);
    /// @return what to tell a peer, at most @p limit members beside the own entry.
    std::vector<Member> news(std::size_t limit);
    /// Takes what a peer told.
    void merge(TimePoint now, std::span<const Member> members);
    /// Moves peers to Suspect or Dead. @return whom to ask about new suspects.
    std::vector<Suspicion> check(TimePoint now, Random &random);
    /// A peer that was asked has heard of the subject @p age ago.
    void vouch(TimePoint now, const Incarnation &subject, Duration age);

    /// @return since when the subject has not been heard of, if it is known.
    std::optional<Duration> silence(TimePoint now, const Incarnation &subject) const;
    std::optional<MemberState> stateOf(const Incarnation &subject) const;
    /// @return every member that is known, with the own entry, by name.
    std::vector<Member> all() const;
    /// @return live members with the own entry, by name.
    std::vector<Member> live() const;
    std::size_t liveCount() const;
    /// @return the first @p count live members of @p zone by rendezvous hash for @p purpose; an empty zone means all.
    std::vector<Member> ranked(std::string_view purpose, std::string_view zone, std::size_t count) const;
    /// @return whether the own entry is among ranked().
    bool isRanked(std::string_view purpose, std::string_view zone, std::size_t count) const;
    /// @return whether the own entry ranks first of all for @p purpose.
    bool isFirst(std::string_view purpose) const;
    /// Counts false alarms: suspects that turned out alive.
    std::size_t clearedSuspicions() const;

private:
    struct Entry {
        Member member;
        MemberState state = MemberState::Live;
        TimePoint roseAt; ///< When the counter last rose, on the own clock.
        TimePoint suspectSince;
        std::uint64_t told = 0; ///< Counter when last told on.
    };

    template<typename Filter>
    std::vector<Member> members(const Filter &isWanted) const;
    bool isUsable(const Entry &entry) const;
    std::vector<std::string> liveAddresses(std::string_view zone) const;
    std::vector<std::string> unknownAddresses() const;

    Member self_;
    std::set<std::string> addresses_;
    std::map<Incarnation, Entry> entries_;
    std::uint64_t beats_ = 0;
    std::size_t clearedSuspicions_ = 0;
};

} // namespace Cloverbarrow
