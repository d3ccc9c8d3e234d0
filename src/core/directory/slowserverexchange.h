/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/slowserverreport.h"
#include "core/support/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Position in the sequence of reports of one process.
struct SlowServerPosition {
    std::uint64_t process = 0; ///< Identifies the process that assigns sequence numbers; 0 if unknown.
    std::uint64_t sequence = 0;

    bool operator==(const SlowServerPosition &) const = default;
};

/// Reports on slow servers, sent with a request for a relay's proof and with its response.
struct SlowServerMessage {
    /// Most reports in one message; the following ones are sent with the next message. An accepted message may have twice as many.
    static constexpr std::size_t MaxReports = 64;

    SlowServerPosition position; ///< Of the sender, after these reports.
    SlowServerPosition receiverPosition; ///< Position of the receiver up to which the sender has received its reports.
    std::vector<SlowServerReport> reports;

    bool operator==(const SlowServerMessage &) const = default;
};

/// Distributes reports on slow servers: followers send them to their relay with each request for its proof and receive those of the others with the response,
/// and relays do the same among each other. Reports expire, so lost ones are never asked for again. Of two reports on a server, the later one counts.
class SlowServerExchange
{
public:
    /// @param process unique number of this process.
    explicit SlowServerExchange(std::uint64_t process);

    /// This entry VM has observed a slow server.
    void observed(TimePoint now, const SlowServerReport &report);
    /// @return the message to send with a request to @p peer.
    SlowServerMessage requestTo(TimePoint now, const std::string &peer);
    /// The response of @p peer to @p request was received.
    void onAnswer(TimePoint now, const std::string &peer, const SlowServerMessage &request, const SlowServerMessage &answer);
    /// Applies the message that @p peer has sent with its request.
    void onRequest(TimePoint now, const std::string &peer, const SlowServerMessage &request);
    /// @return the message to send with the response to @p request of @p peer.
    SlowServerMessage answerTo(TimePoint now, const std::string &peer, const SlowServerMessage &request);
    /// @return reports received from peers since the last call.
    std::vector<SlowServerReport> takeLearned();
    void clear();

private:
    struct Entry {
        SlowServerReport report;
        std::uint64_t sequence = 0; ///< Of its last change.
        std::string source; ///< Address of the peer that has sent it; empty if it was observed here.
    };

    struct Peer {
        SlowServerPosition received; ///< Up to which its reports were received.
        std::uint64_t acknowledged = 0; ///< Local sequence number up to which it has received reports.
    };

    /// @return whether the report is new, or renews the one on the same server.
    bool apply(TimePoint now, const SlowServerReport &report, const std::string &source);
    void applyReceived(TimePoint now, const SlowServerMessage &message, const std::string &source);
    /// @return the next reports after @p sequence that did not come from @p peer, in order.
    SlowServerMessage messageSince(TimePoint now, std::uint64_t sequence, const std::string &peer);
    Peer &peerAt(const std::string &address);

    std::uint64_t process_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, Entry> entries_; ///< By server.
    std::map<std::string, Peer> peers_; ///< By address.
    std::vector<SlowServerReport> learned_;
};

} // namespace Cloverbarrow
