/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"
#include "net/callerserver.h"
#include "net/relaylists.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Where a relay's answers come from.
struct RelaySource {
    /// @return what has changed in a collection since a revision; nothing when that cannot be told.
    std::function<std::optional<DirectoryNews>(Collection collection, std::int64_t since)> news;
    /// @param follower that asks. @return nothing when this entry VM is no relay.
    std::function<std::optional<RelayProof>(const std::string &follower)> proof;
    /// @return whether this entry VM has just started and may have its first proof soon.
    std::function<bool()> isStarting;
    /// Takes the crash news that an entry VM tells. @return whether they can be read.
    std::function<bool(const std::string &text)> crashNews;
    /// Takes an entry VM's reports on request limits. @return the own ones; nothing when they cannot be read.
    std::function<std::optional<std::string>(const std::string &text)> limits;
};

/// Tells other entry VMs of the availability zone what this one knows of the directory. JSON over HTTP rather than
/// Thrift: each follower waits for news most of the time, and Thrift's server needs a thread for each.
class RelayServer
{
public:
    RelayServer(const std::string &address, RelaySource source);
    ~RelayServer();

    /// @return the port that is listened on.
    std::uint16_t port() const;
    /// Answers those that wait for news, as far as there are some. Call after each change.
    void answerWaiting();
    /// Answers those whose wait is over.
    void sweep(TimePoint now);

private:
    struct Waiting {
        std::shared_ptr<CallerConnection> connection;
        Collection collection = Collection::Routing;
        std::int64_t since = 0;
        TimePoint until;
    };

    /// A follower that asked for a proof before there was one.
    struct AwaitsProof {
        std::shared_ptr<CallerConnection> connection;
        std::string follower;
        TimePoint until;
    };

    void accept(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request);
    void acceptProofRequest(const std::shared_ptr<CallerConnection> &connection, const std::string &follower);
    /// Answers those that await a proof, if there is one now or their wait is over.
    void answerProofs(TimePoint now);
    /// Changes as they were last told of a collection. Followers mostly ask for the same, and packing costs processor time.
    struct Told {
        std::int64_t since = -1;
        std::int64_t revision = -1;
        HttpAnswer answer;
    };
    using Ready = std::vector<std::pair<std::shared_ptr<CallerConnection>, HttpAnswer>>;

    /// @return the answer; nothing when the follower should wait. Call under the mutex.
    std::optional<HttpAnswer> answerFor(const Waiting &waiting, TimePoint now);
    std::optional<HttpAnswer> listFor(const Waiting &waiting, TimePoint now);
    std::optional<HttpAnswer> changesFor(const Waiting &waiting, TimePoint now);
    /// Answers those of the waiting that are due, as far as there is something to tell.
    void answerThose(TimePoint now, const std::function<bool(const Waiting &)> &isDue);
    /// Hands answers to their connections. Call without the mutex.
    void give(const Ready &ready);

    RelaySource source_;
    std::mutex mutex_;
    std::vector<Waiting> waiting_;
    std::vector<AwaitsProof> awaitProof_;
    std::array<Told, Collections> told_; ///< By collection.
    RelayLists lists_;
    std::unique_ptr<CallerServer> server_;
};

} // namespace Cloverbarrow
