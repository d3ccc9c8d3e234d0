/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/node.h"
#include "daemon/adminservice.h"
#include "daemon/eventhandler.h"
#include "daemon/gateway.h"
#include "daemon/operationsserver.h"
#include "daemon/peerclient.h"
#include "daemon/peerservice.h"
#include "daemon/settings.h"
#include "daemon/telemetry.h"
#include "net/callerserver.h"
#include "net/httpclient.h"
#include "net/httpplatformclient.h"
#include "net/log.h"
#include "net/thriftserver.h"

#include <atomic>
#include <memory>
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

/// One entry VM: the core and its adapters, put together.
class Daemon : public EventHandler
{
public:
    /// Starts to listen. @throws std::exception when an address cannot be listened on.
    explicit Daemon(Settings settings);
    ~Daemon() override;

    const ListenAddresses &addresses() const;
    /// Runs until the shutdown has ended. @return what was left undone.
    WorkLeft run();
    /// Asks for a graceful shutdown; a second time for an immediate one. Safe in a signal handler.
    void requestStop();

    void handle(NodeEvent event) override;

private:
    ControlSettings controlSettings() const;
    void perform(const ControlAction &action);
    void askStore(const AskStore &action);
    void watch(const WatchIntent &action);
    void listVms();
    void setReady(const SetReady &action);
    void install(const IntentInForce &intent);
    void setFleetSize(int entryVms);
    void applyConnectionCap();
    /// @param isControl whether everything is to be looked at, or only the services.
    void tick(bool isControl);
    void tellGauges();
    void sweep();
    void takeStopRequests();
    std::string unreadyReason() const;

    Settings settings_;
    std::string nonce_;
    Log log_;
    std::shared_ptr<PeerService> peerService_;
    std::shared_ptr<AdminService> adminService_;
    HttpPlatformClient platform_;
    Telemetry telemetry_;
    ThriftServer peerServer_;
    ThriftServer adminServer_;
    ListenAddresses addresses_;
    std::unique_ptr<Node> node_;
    HttpClient backends_;
    std::unique_ptr<Gateway> gateway_;
    std::unique_ptr<PeerClient> peerClient_;
    std::unique_ptr<CallerServer> callerServer_;
    std::unique_ptr<OperationsServer> operationsServer_;
    std::atomic<int> stopRequests_{0};
    int stopsTaken_ = 0;
    std::atomic<bool> hasEnded_{false};
    std::atomic<int> entryVms_{1};
    std::atomic<int> connectionsPerServer_{1};
    std::mutex exitMutex_;
    std::optional<WorkLeft> exit_;
};

} // namespace Cloverbarrow
