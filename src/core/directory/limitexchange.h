/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/limitreport.h"
#include "core/support/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Up to where one entry VM's reports on request limits go.
struct LimitVersion {
    std::uint64_t process = 0; ///< Of the process that counts; 0 when none is known.
    std::uint64_t sequence = 0; ///< Of its latest change.

    bool operator==(const LimitVersion &) const = default;
};

/// Reports on request limits that one entry VM gives another.
struct LimitUpdate {
    LimitVersion version; ///< Of the sender, with these reports.
    LimitVersion known; ///< Of the receiver, as the sender knows it.
    std::vector<LimitReport> reports;

    bool operator==(const LimitUpdate &) const = default;
};

/// Addresses of the entry VMs that reports are exchanged with.
struct LimitPeers {
    std::vector<std::string> receivers; ///< That are to have all changes, and show their versions as relays do.
    std::vector<std::string> polled; ///< That are to have all changes, and show no versions.
};

/// Spreads what entry VMs hear of request limits: each gives changes to its relay, relays give them to each other, and followers fetch them. Of two
/// reports on a server the one that was heard later holds.
class LimitExchange
{
public:
    /// An update to a peer.
    struct Message {
        std::string peer;
        LimitUpdate update;
    };

    /// @param process number of this process, unlike that of any other.
    explicit LimitExchange(std::uint64_t process);

    /// A server has told this entry VM itself.
    void heard(const LimitReport &report);
    LimitVersion version() const;
    /// The peer at address @p peer has shown its version.
    void shown(const std::string &peer, const LimitVersion &version);
    /// @return updates that are to be sent now; their answers bring what the peers know.
    std::vector<Message> takeDue(TimePoint now, const LimitPeers &peers);
    /// A message has been answered, or has not.
    void answered(const Message &sent, const std::optional<LimitUpdate> &answer);
    /// Takes a peer's message. @return the answer.
    LimitUpdate take(const LimitUpdate &update);
    /// @return reports of peers that were news since the last call.
    std::vector<LimitReport> takeLearnt();

private:
    struct Entry {
        LimitReport report;
        std::uint64_t sequence = 0; ///< Of its last change.
    };

    struct Peer {
        LimitVersion known; ///< What was received of it.
        LimitVersion shown; ///< What it is known to have.
        std::uint64_t acknowledged = 0; ///< Own sequence that it has.
        bool isAsked = false;
        bool isPolled = false;
        TimePoint nextAsk;
    };

    /// @return whether the report is news.
    bool takeReport(const LimitReport &report);
    void takeReports(const std::vector<LimitReport> &reports);
    /// @return whether the peer is to be asked now.
    bool isDue(TimePoint now, const Peer &peer) const;
    std::vector<LimitReport> changedSince(std::uint64_t sequence) const;
    void boundEntries();

    std::uint64_t process_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, Entry> entries_; ///< By server.
    std::map<std::string, Peer> peers_; ///< By address.
    std::vector<LimitReport> learnt_;
};

} // namespace Cloverbarrow
