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

/// Version of one entry VM's set of reports on request limits.
struct LimitVersion {
    std::uint64_t process = 0; ///< Identifies the process that assigns sequence numbers; 0 if unknown.
    std::uint64_t sequence = 0; ///< Sequence number of the latest change in that process.

    bool operator==(const LimitVersion &) const = default;
};

/// Reports on request limits that one entry VM sends to another.
struct LimitUpdate {
    LimitVersion version; ///< Version of the sender, these reports included.
    LimitVersion receiverVersion; ///< Latest version of the receiver that the sender has received.
    std::vector<LimitReport> reports;

    bool operator==(const LimitUpdate &) const = default;
};

/// Addresses of the entry VMs with which reports are exchanged.
struct LimitPeers {
    std::vector<std::string> receivers; ///< Receive all changes and announce their versions, as relays do.
    std::vector<std::string> polled; ///< Receive all changes but announce no versions, so they are polled.
};

/// Distributes the request limits that servers report to entry VMs: each entry VM sends changes to its relay, relays exchange them, and followers fetch
/// them. Of two reports on a server, the later one wins.
class LimitExchange
{
public:
    /// An update to a peer.
    struct Message {
        std::string peer;
        LimitUpdate update;
    };

    /// @param process unique number of this process.
    explicit LimitExchange(std::uint64_t process);

    /// A server has reported its limit directly to this entry VM.
    void serverReported(const LimitReport &report);
    LimitVersion version() const;
    /// The peer at address @p peer has announced its version.
    void versionAnnounced(const std::string &peer, const LimitVersion &version);
    /// @return updates to send now; the peers' answers carry the changes that this entry VM lacks.
    std::vector<Message> takeDueMessages(TimePoint now, const LimitPeers &peers);
    /// A message was answered or has failed. @param answer empty if it has failed.
    void onAnswer(const Message &sent, const std::optional<LimitUpdate> &answer);
    /// Applies an update of a peer. @return the answer.
    LimitUpdate onUpdate(const LimitUpdate &update);
    /// @return new reports received from peers since the last call.
    std::vector<LimitReport> takeLearned();

private:
    struct Entry {
        LimitReport report;
        std::uint64_t sequence = 0; ///< Sequence number of its last change.
    };

    struct Peer {
        LimitVersion received; ///< Version up to which its reports were received.
        LimitVersion announced; ///< Latest version that it has announced.
        std::uint64_t acknowledged = 0; ///< Local sequence number up to which it has received changes.
        bool isRequestPending = false;
        bool isPolled = false;
        TimePoint nextRequest;
    };

    /// @return whether the report is new or has changed.
    bool applyReport(const LimitReport &report);
    void applyReports(const std::vector<LimitReport> &reports);
    /// @return whether a message to the peer is due.
    bool isDue(TimePoint now, const Peer &peer) const;
    std::vector<LimitReport> changedSince(std::uint64_t sequence) const;
    void evictOldest();

    std::uint64_t process_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, Entry> entries_; ///< By server name.
    std::map<std::string, Peer> peers_; ///< By address.
    std::vector<LimitReport> learned_;
};

} // namespace Cloverbarrow
