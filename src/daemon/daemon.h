/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/node.h"
#include "core/support/latest.h"
#include "daemon/adminservice.h"
#include "daemon/directoryrunner.h"
#include "daemon/eventhandler.h"
#include "daemon/gateway.h"
#include "daemon/operationsserver.h"
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

/// Addresses that one process listens on, with the ports that the kernel chose.
struct ListenAddresses {
    std::string callers;
    std::string peers;
    std::string admin;
    std::string operations;

    /// @return one line of JSON, printed once the process listens.
    std::string toJson() const;
};

/// What a deployment with a directory brings; nothing is set without one.
struct DirectoryParts {
    /// @param client to make the calls with.
    std::function<std::unique_ptr<DirectoryClient>(HttpClient &client)> makeClient;
    std::shared_ptr<const ExchangeProtocol> protocol;
};

/// One entry VM: the core and its adapters, put together.
class Daemon : public EventHandler
{
public:
    /// Starts to listen. @param file that the settings were read from. @param parts used when the settings name a directory.
    /// @throws std::exception when an address cannot be listened on.
    Daemon(Settings settings, SettingsFile file, const DirectoryParts &parts);
    ~Daemon() override;

    const ListenAddresses &addresses() const;
    /// Runs until the shutdown has ended. @return what was left undone.
    RemainingWork run();
    /// Asks for a graceful shutdown; a second time for an immediate one. Safe in a signal handler.
    void requestStop();
    /// Asks for the settings file to be read again. Safe in a signal handler.
    void requestReload();

    void handle(NodeEvent event) override;

private:
    void startOwnFleet();
    void startDirectory(const DirectoryParts &parts);
    ControlSettings controlSettings() const;
    void perform(const ControlAction &action);
    /// Tells peers when a server has told this entry VM of its limit.
    void reportLimit(const ActionOfService &action);
    void askStore(const CallStore &action);
    void watch(const WatchIntent &action);
    void listVms();
    void setReady(const SetReady &action);
    void install(const ActiveIntent &intent);
    /// @return what the settings allow callers.
    CallerBounds ownBounds() const;
    /// @return the same, with what operators allow.
    CallerBounds boundsFor(const CallerLimits &limits) const;
    void resize(const UpdateFleetSize &action);
    /// Call with newestMutex_ held.
    void applyConnectionCap();
    /// @param isControl whether everything is to be looked at, or only the services.
    void tick(bool isControl);
    void tellGauges();
    void sweep();
    void takeStopRequests();
    void takeReloadRequests();
    void reload();
    /// Puts in force what a running process can take from new settings.
    void apply(const Settings &next);
    std::string unreadyReason() const;

    Settings settings_;
    SettingsFile settingsFile_;
    std::string nonce_;
    Log log_;
    Telemetry telemetry_;
    ListenAddresses addresses_;
    HttpClient backends_;
    std::unique_ptr<HttpClient> directoryCalls_; ///< To the store and to relays; null without a directory.
    std::shared_ptr<const ExchangeProtocol> protocol_;
    // Where entry VMs run the project's own fleet protocols.
    std::shared_ptr<PeerService> peerService_;
    std::shared_ptr<AdminService> adminService_;
    std::unique_ptr<HttpPlatformClient> platform_;
    std::unique_ptr<ThriftServer> peerServer_;
    std::unique_ptr<ThriftServer> adminServer_;
    // Where a directory tells routes and backend servers.
    std::unique_ptr<DirectoryRunner> directory_;
    std::unique_ptr<Node> node_;
    std::unique_ptr<Gateway> gateway_;
    std::unique_ptr<PeerClient> peerClient_;
    std::unique_ptr<CallerServer> callerServer_;
    std::unique_ptr<OperationsServer> operationsServer_;
    std::unique_ptr<OperationsServer> metricsServer_; ///< Where the settings name an address for metrics.
    std::atomic<int> stopRequests_{0};
    int stopsTaken_ = 0;
    std::atomic<bool> isReloadRequested_{false};
    std::atomic<bool> hasEnded_{false};
    // Threads carry out what they were told in any order, so the newest of each is kept.
    mutable std::mutex newestMutex_;
    Latest<int> entryVms_{1};
    Latest<int> connectionsPerServer_{1};
    Latest<std::string> unreadyReason_{"starting"}; ///< Empty when ready.
    std::mutex exitMutex_;
    std::optional<RemainingWork> exit_;
};

} // namespace Cloverbarrow
