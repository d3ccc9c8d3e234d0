/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"
#include "net/callerserver.h"
#include "net/log.h"
#include "net/relaylistcache.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Response to crash updates of an entry VM.
struct CrashUpdatesResponse {
    bool isAccepted = false; ///< False if there is no capacity for them now.
    bool isReplySent = true; ///< Whether this entry VM has updates that it sends if they were requested.
};

/// A request for this entry VM's proof of contact with the store.
struct ProofRequest {
    std::string follower; ///< Address of the entry VM that asks; empty if it belongs to another zone.
    bool reportsStore = false; ///< Whether it reports that the store answers it.
};

/// Answer to a ProofRequest.
struct ProofAnswer {
    std::optional<RelayProof> proof; ///< Empty if this entry VM is not a relay or has no proof yet.
    std::optional<RelayReferral> referral; ///< Names the relay of this zone, if it has a recent proof.
};

/// Callbacks that supply a relay's answers.
struct RelaySource {
    /// @return the changes of a collection since a revision; nothing if they are not available.
    std::function<std::optional<CollectionUpdate>(Collection collection, std::int64_t since)> collectionUpdate;
    std::function<ProofAnswer(const ProofRequest &request)> proof;
    /// @return whether this entry VM has just started and may soon have its first proof.
    std::function<bool()> isStarting;
    /// Accepts crash updates received from an entry VM. @return nothing if they cannot be processed.
    std::function<std::optional<CrashUpdatesResponse>(const std::string &text, bool isUrgent)> acceptCrashUpdates;
    /// Processes reports on request limits received from an entry VM. @return the local reports; nothing if those received cannot be decoded.
    std::function<std::optional<std::string>(const std::string &text)> exchangeLimits;
    /// Grants claims of an entry VM on quotas of workspaces. @return the encoded grants; nothing if the claims cannot be decoded.
    std::function<std::optional<std::string>(const std::string &text)> grantQuota;
    /// Processes another entry VM's counts of answers by version. @return whether they were decoded.
    std::function<bool(const std::string &text)> acceptRolloutReports;
    /// Handles a caller's request that another entry VM has forwarded; answers it through the connection.
    RequestHandler acceptForwarded;
    /// Accepts the reports on slow servers that a follower has sent with a request for a proof.
    /// @return a function that returns the reports to send with the proof; null if none are to be sent.
    std::function<std::function<std::string()>(const std::string &follower, const std::string &text)> acceptSlowServers;
};

/// Serves the directory state of this entry VM to the other entry VMs of its availability zone, and accepts crash updates and reports on
/// request limits. It uses JSON over HTTP rather than Thrift, since each follower keeps a long poll open most of the time and Thrift's
/// server needs a thread for each connection.
class RelayServer
{
public:
    /// @param memory for the messages of all connections; may be null.
    RelayServer(const std::string &address, RelaySource source, std::shared_ptr<MemoryBudget> memory = nullptr);
    ~RelayServer();

    /// @return the port that the server listens on.
    std::uint16_t port() const;
    /// @return what became of the requests of other entry VMs.
    ConnectionCounts connectionCounts() const;
    /// @return number of connections that are not finished: with an answer that the peer has not read completely, or with input to process.
    std::size_t unfinishedConnections() const;
    /// Answers waiting followers for which there are changes or a proof. Call after each change.
    void answerWaitingFollowers();
    /// Answers followers whose wait has ended and those that wait for a list, and closes connections of slow followers.
    void checkTimeouts(TimePoint now);
    /// Stops listening. Its connections, and other threads, may use the object until it is destroyed.
    void stop();

private:
    struct WaitingFollower {
        std::shared_ptr<CallerConnection> connection;
        Collection collection = Collection::Routing;
        std::int64_t since = 0;
        TimePoint until;
    };

    /// A follower that asked for a proof before one was available.
    struct WaitingProofRequest {
        std::shared_ptr<CallerConnection> connection;
        ProofRequest request;
        TimePoint until;
        std::function<std::string()> slowServers; ///< Returns what to send with the proof; may be null.
    };

    void accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request);
    /// @return the answer to a request for which there is no memory.
    HttpAnswer refuseForMemory(const HttpRequest &head, const MemoryCounts &counts) const;
    void acceptProofRequest(const std::shared_ptr<CallerConnection> &connection, const ProofRequest &request, const std::string &body);
    /// Answers followers that wait for a proof, if one is available or their wait has ended.
    void answerProofs(TimePoint now);
    /// The last answer with changes of a collection. Followers mostly ask for the same changes, and compression costs processor time.
    struct CachedChanges {
        std::int64_t since = -1;
        std::int64_t revision = -1;
        HttpAnswer answer;
    };
    using ReadyAnswers = std::vector<std::pair<std::shared_ptr<CallerConnection>, HttpAnswer>>;

    /// @return the answer; nothing if the follower has to wait. The mutex must be held.
    std::optional<HttpAnswer> answerFor(const WaitingFollower &waiting, TimePoint now);
    std::optional<HttpAnswer> listFor(const WaitingFollower &waiting, TimePoint now);
    std::optional<HttpAnswer> changesFor(const WaitingFollower &waiting, TimePoint now);
    /// Answers the waiting followers for which @p isDue returns true and an answer is available.
    void answerDue(TimePoint now, const std::function<bool(const WaitingFollower &)> &isDue);
    /// Passes answers to their connections. The mutex must not be held.
    void sendAnswers(const ReadyAnswers &ready);

    RelaySource source_;
    Log log_;
    std::mutex mutex_;
    std::vector<WaitingFollower> waiting_;
    std::vector<WaitingProofRequest> waitingProofRequests_;
    std::array<CachedChanges, CollectionCount> cachedChanges_; ///< By collection.
    RelayListCache lists_;
    std::unique_ptr<CallerServer> server_;
};

} // namespace Cloverbarrow
