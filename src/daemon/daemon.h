/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/node.h"
#include "core/support/latest.h"
#include "daemon/adminservice.h"
#include "daemon/callerboundssource.h"
#include "daemon/directoryrunner.h"
#include "daemon/eventhandler.h"
#include "daemon/gateway.h"
#include "daemon/operationsserver.h"
#include "daemon/operatorrequests.h"
#include "daemon/peerclient.h"
#include "daemon/peerservice.h"
#include "daemon/settings.h"
#include "daemon/settingsfile.h"
#include "daemon/telemetry.h"
#include "net/callerserver.h"
#include "net/directoryclient.h"
#include "net/exchangeprotocol.h"
#include "net/httpclient.h"
#include "net/httpplatformclient.h"
#include "net/log.h"
#include "net/thriftserver.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Cloverbarrow
{

/// Addresses on which the process listens, with the ports assigned by the kernel.
struct ListenAddresses {
    std::string callers;
    std::string peers;
    std::string admin;
    std::string operations;

    /// @return one line of JSON, which the process prints once it listens.
    std::string toJson() const;
};

/// Adapters of a deployment that has a directory; empty without one.
struct DirectoryAdapters {
    /// @param client sends the calls to the store.
    std::function<std::unique_ptr<DirectoryClient>(HttpClient &client)> makeClient;
    std::shared_ptr<const ExchangeProtocol> protocol;
};

/// The process of one entry VM: the core with its adapters.
class Daemon : public EventHandler
{
public:
    /// @param file from which @p settings were read. @param requests what signals have requested.
    Daemon(Settings settings, SettingsFile file, OperatorRequests &requests);
    ~Daemon() override;

    /// Starts to listen. Call once, before all other functions. @param adapters used if the settings name a directory.
    /// @throws std::exception if the process cannot listen on an address; then the object can only be destroyed.
    void start(const DirectoryAdapters &adapters);

    const ListenAddresses &addresses() const;
    /// Runs until the shutdown has finished. @return work that was not completed.
    RemainingWork run();

    void handle(NodeEvent event) override;

private:
    void startFleetProtocols();
    void startDirectory(const DirectoryAdapters &adapters);
    ControlSettings controlSettings() const;
    void perform(const ControlAction &action);
    /// Forwards a request limit to peers if a server announced it to this entry VM.
    void reportLimit(const ActionOfService &action);
    /// Counts the outcome of an attempt while a rollout is running.
    void reportVersionOutcome(const ActionOfService &action);
    void reportSlowServer(const ActionOfService &action);
    void callStore(const CallStore &action);
    void watchIntent(const WatchIntent &action);
    void listVms();
    void setReady(const SetReady &action);
    void applyConfiguration(const ActiveIntent &intent);
    /// Logs a warning if the settings allow longer bodies than the memory.
    void warnIfBodiesExceedMemory() const;
    /// @return limits for callers according to the settings only.
    CallerBounds callerBoundsFromSettings() const;
    void updateFleetSize(const UpdateFleetSize &action);
    /// The caller must hold latestStateMutex_.
    void applyConnectionCap();
    /// @param isControl whether to run the control logic and all services, or only the services.
    void tick(bool isControl);
    void updateGauges();
    void checkCallers();
    /// Detects stalls of this process, and has the directory confirmed after one.
    void checkStall();
    void handleStopRequests();
    void handleReloadRequest();
    void reload();
    /// Applies those settings that can change without a restart.
    void applySettings(const Settings &next);
    std::string unreadyReason() const;

    Settings settings_;
    SettingsFile settingsFile_;
    OperatorRequests &requests_;
    std::string nonce_;
    Log log_;
    Telemetry telemetry_;
    ListenAddresses addresses_;
    std::shared_ptr<MemoryBudget> memory_; ///< For requests and answers on all connections.
    CallerBoundsSource callerBounds_;
    HttpClient backendClient_;
    std::unique_ptr<HttpClient> forwardClient_; ///< For requests that are forwarded to other entry VMs; null without a directory.
    std::unique_ptr<HttpClient> directoryHttpClient_; ///< For calls to the store and to relays; null without a directory.
    std::shared_ptr<const ExchangeProtocol> protocol_;
    // Used without a directory, when entry VMs run the built-in fleet protocols.
    std::shared_ptr<PeerService> peerService_;
    std::shared_ptr<AdminService> adminService_;
    std::unique_ptr<HttpPlatformClient> platform_;
    std::unique_ptr<ThriftServer> peerServer_;
    std::unique_ptr<ThriftServer> adminServer_;
    // Used when a directory supplies routes and backend servers.
    std::unique_ptr<DirectoryRunner> directory_;
    std::unique_ptr<Node> node_;
    std::unique_ptr<Gateway> gateway_;
    std::unique_ptr<PeerClient> peerClient_;
    std::unique_ptr<CallerServer> callerServer_;
    std::unique_ptr<OperationsServer> operationsServer_;
    std::unique_ptr<OperationsServer> metricsServer_; ///< Null if the settings name no address for metrics.
    int handledStopRequests_ = 0;
    std::atomic<bool> isStopped_{false};
    // Threads may perform actions out of order, so only the latest value of each kind is kept.
    mutable std::mutex latestStateMutex_;
    Latest<int> entryVmCount_{1};
    Latest<int> connectionsPerServer_{1};
    Latest<std::string> unreadyReason_{"starting"}; ///< Empty when ready.
    std::mutex remainingWorkMutex_;
    std::optional<RemainingWork> remainingWork_;
};

} // namespace Cloverbarrow
