/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/controlevents.h"
#include "core/directory/directorymanager.h"
#include "daemon/crashupdaterunner.h"
#include "daemon/eventhandler.h"
#include "daemon/quotarunner.h"
#include "daemon/settings.h"
#include "daemon/slowserverrunner.h"
#include "net/directoryclient.h"
#include "net/httpclient.h"
#include "net/log.h"
#include "net/relayclient.h"
#include "net/relayserver.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace Cloverbarrow
{

/// Follows the directory: performs the actions of DirectoryManager, passes published states to the core, and serves followers as relay.
class DirectoryRunner
{
public:
    /// @param name of this entry VM. @param zone of this entry VM. @param client for the store. @param http for relays.
    /// @param events receives published states. @throws std::exception if the process cannot listen on the relay address.
    DirectoryRunner(const DirectorySettings &settings,
                    std::string name,
                    std::string zone,
                    std::uint64_t seed,
                    std::unique_ptr<DirectoryClient> client,
                    HttpClient &http,
                    std::shared_ptr<MemoryBudget> memory,
                    EventHandler &events);

    /// Call several times a second.
    void tick();
    /// Applies budgets that changed while the process runs.
    void setBudgets(const FleetBudgets &budgets);
    /// Asks the source for changes that this entry VM lacks, after a stall of this process.
    void requestConfirmation();
    /// @return whether the directory has been confirmed since requestConfirmation(), and what was received is in force.
    bool isConfirmed();
    /// Publishes this entry VM's report on server crashes to the store.
    void publishCrashes(const PublishCrashReport &action);
    /// Sends crash updates directly to other entry VMs, in addition to the report in the store.
    void publishCrashes(const BroadcastCrashUpdates &action);
    void publishCrashes(const SendAllCrashUpdates &action);
    /// Publishes a request limit that a server announced to this entry VM.
    void reportLimit(const LimitReport &report);
    /// Counts the outcome of an attempt at a server of @p service while a rollout is running.
    void reportVersionOutcome(const std::string &service, const VersionOutcome &outcome);
    /// @return whether the store does not hold the latest crash report yet.
    bool hasUnwrittenCrashReport();
    /// Stops relaying and ignores all later answers. End all threads that may be inside this object or answer connections to it before it is destroyed.
    void stop();
    /// @return number of calls made to the store.
    std::uint64_t storeCallCount() const;
    /// Sets what handles requests that other entry VMs have forwarded. Call once the event handler accepts events; until then messages of other entry VMs
    /// are rejected.
    void setForwardedRequestHandler(RequestHandler handler);
    /// @return number of connections to the relay server that are not finished: with an answer that the peer has not read completely, or with input to process.
    std::size_t unfinishedConnections() const;
    /// @return what became of the requests of other entry VMs.
    ConnectionCounts connectionCounts() const;
    /// Holds back requests of workspaces until their quotas allow them.
    QuotaRunner &quotas();
    CrashUpdateRunner &crashUpdates();
    SlowServerRunner &slowServers();

private:
    /// @return whether the event handler accepts events.
    bool isOpen();
    /// Handles crash updates of another entry VM. @return the response; nothing if this process is still starting.
    std::optional<CrashUpdatesResponse> acceptCrashUpdates(const std::string &text, bool isUrgent);
    /// Records that one entry VM requested crash updates or that another one replied with its updates. Either may be empty.
    void recordCrashUpdatePeer(const std::string &requester, const std::string &replier);
    /// Handles a request-limit update of another entry VM. @return the encoded local one; nothing if @p text cannot be decoded.
    std::optional<std::string> acceptLimitUpdate(const std::string &text);
    /// Handles another entry VM's counts of answers by version. @return whether they could be decoded.
    bool acceptRolloutReports(const std::string &text);
    /// Records the version of a relay's request-limit reports that its proof shows.
    void recordLimitVersion(const DirectoryEvent &event);
    void exchangeLimits();
    /// Passes request limits learned from peers to the core.
    void forwardLearnedLimits();
    QuotaPeers quotaPeers();
    void acceptForwarded(const std::shared_ptr<CallerConnection> &connection, HttpRequest request);
    void startRelayServer(const std::string &address, std::shared_ptr<MemoryBudget> memory);
    void handleAnswer(const DirectoryAnswer &answer);
    /// @return the callback for a request for the proof of @p relay that was sent with @p request.
    DirectoryCallback proofCallback(std::string relay, SlowServerRunner::Request request);
    void perform(const DirectoryActions &actions);

    std::string name_;
    std::string zone_;
    EventHandler &events_;
    Log log_;
    std::unique_ptr<DirectoryClient> store_;
    RelayClient relayClient_;
    CrashUpdateRunner crashUpdates_;
    std::atomic<bool> isStopped_{false};
    std::atomic<int> answersInProgress_{0}; ///< Answers of the source whose actions have not all been performed. Raised with mutex_ held.
    std::mutex mutex_;
    std::optional<DirectoryManager> manager_; ///< Guarded by mutex_.
    std::mutex limitsMutex_;
    LimitExchange limitExchange_; ///< Guarded by limitsMutex_.
    QuotaRunner quotas_;
    SlowServerRunner slowServers_;
    std::mutex forwardHandlerMutex_;
    RequestHandler forwardHandler_; ///< Guarded by forwardHandlerMutex_.
    std::unique_ptr<RelayServer> relayServer_; ///< Null if the settings name no relay address. Not replaced after the construction; several threads use it.
};

} // namespace Cloverbarrow
