/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/daemon.h"

#include "core/support/address.h"
#include "daemon/ownprotocol.h"
#include "net/bootclock.h"
#include "net/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <thread>

namespace Cloverbarrow
{

namespace
{

constexpr std::size_t NonceBytes = 8;
// Choices and hedges are looked at this often while requests are open; each wake-up costs processor time.
constexpr auto TickInterval = std::chrono::milliseconds(10);
constexpr int TicksPerControl = 3;
constexpr int TicksPerSweep = 6;
constexpr int TicksPerGauges = 100;
constexpr std::size_t MaxLoggedVersion = 32;

std::uint64_t seedOf(const std::string &nonce)
{
    constexpr int HexBase = 16;
    return std::stoull(nonce, nullptr, HexBase);
}

} // namespace

std::string ListenAddresses::toJson() const
{
    return nlohmann::ordered_json{{"callers", callers}, {"peers", peers}, {"admin", admin}, {"operations", operations}}.dump();
}

Daemon::Daemon(Settings settings, ReadSettings readSettings, const DirectoryParts &parts)
    : settings_(std::move(settings))
    , readSettings_(std::move(readSettings))
    , nonce_(randomHex(NonceBytes))
    , log_("daemon")
    , backends_(static_cast<std::size_t>(settings_.backendThreads))
{
    if (settings_.directory) {
        startDirectory(parts);
    } else {
        startOwnFleet();
    }
    node_ = std::make_unique<Node>(controlSettings(), LoadReportPick{});
    gateway_ = std::make_unique<Gateway>(*node_, *this, backends_, platform_.get(), *protocol_, telemetry_, nonce_);
    CallerServerOptions options{settings_.callersAddress, static_cast<std::size_t>(settings_.callerThreads), ownBounds(), false};
    options.halfCloseIsGone = settings_.directory.has_value();
    callerServer_ = std::make_unique<CallerServer>(
        options, [this](const std::shared_ptr<CallerConnection> &connection, HttpRequest request) { gateway_->accept(connection, std::move(request)); });
    addresses_.callers = withPort(settings_.callersAddress, callerServer_->port());
    operationsServer_ = std::make_unique<OperationsServer>(settings_.operationsAddress,
                                                           OperationsSource{[this] { return telemetry_.exposition(); }, [this] { return unreadyReason(); }});
    addresses_.operations = withPort(settings_.operationsAddress, operationsServer_->port());
    if (!settings_.directory) {
        peerClient_ = std::make_unique<PeerClient>(*this);
        peerService_->open({node_.get(), this});
        adminService_->open({node_.get(), this});
    }
}

void Daemon::startOwnFleet()
{
    protocol_ = std::make_shared<OwnProtocol>();
    platform_ = std::make_unique<HttpPlatformClient>(settings_.platformAddress);
    peerService_ = std::make_shared<PeerService>();
    adminService_ = std::make_shared<AdminService>(*platform_, telemetry_);
    peerServer_ = std::make_unique<ThriftServer>(settings_.peersAddress, std::make_shared<Wire::PeerProcessor>(peerService_));
    adminServer_ = std::make_unique<ThriftServer>(settings_.adminAddress, std::make_shared<Wire::AdminProcessor>(adminService_));
    addresses_.peers = peerServer_->address();
    addresses_.admin = adminServer_->address();
}

void Daemon::startDirectory(const DirectoryParts &parts)
{
    protocol_ = parts.protocol;
    directory_ = std::make_unique<DirectoryRunner>(*settings_.directory, settings_.zone, seedOf(nonce_), parts.makeClient(backends_), backends_, *this);
}

Daemon::~Daemon()
{
    hasEnded_ = true;
    operationsServer_->stop();
    if (directory_) {
        directory_->stop();
    }
    if (!settings_.directory) {
        adminServer_->stop();
        peerServer_->stop();
        peerClient_->stop();
        platform_->stop();
    }
    backends_.stop();
    callerServer_.reset();
}

const ListenAddresses &Daemon::addresses() const
{
    return addresses_;
}

WorkLeft Daemon::run()
{
    int ticks = 0;
    while (true) {
        takeStopRequests();
        takeReloadRequests();
        tick(ticks % TicksPerControl == 0);
        if (ticks % TicksPerControl == 0) {
            flushLog();
        }
        if (ticks % TicksPerSweep == 0) {
            sweep();
        }
        if (ticks % TicksPerGauges == 0) {
            tellGauges();
        }
        ++ticks;
        {
            const std::lock_guard lock(exitMutex_);
            if (exit_) {
                return *exit_;
            }
        }
        std::this_thread::sleep_for(TickInterval);
    }
}

void Daemon::requestStop()
{
    ++stopRequests_;
}

void Daemon::requestReload()
{
    isReloadRequested_ = true;
}

void Daemon::handle(NodeEvent event)
{
    if (hasEnded_) {
        return;
    }
    NodeActions actions;
    node_->handle(bootNow(), event, actions);
    for (const NodeAction &action : actions) {
        if (const auto *service = std::get_if<OfService>(&action)) {
            gateway_->perform(*service);
        } else {
            perform(std::get<ControlAction>(action));
        }
    }
}

ControlSettings Daemon::controlSettings() const
{
    ControlSettings control;
    control.self.id = {settings_.name, nonce_};
    control.self.peerAddress = addresses_.peers;
    control.self.adminAddress = addresses_.admin;
    control.self.zone = settings_.zone;
    control.self.region = settings_.region;
    control.firstPeers = settings_.firstPeers;
    control.shutdownNotice = settings_.shutdownNotice;
    control.shutdownLimit = settings_.shutdownLimit;
    control.seed = seedOf(nonce_);
    control.hasDirectory = settings_.directory.has_value();
    return control;
}

void Daemon::perform(const ControlAction &action)
{
    struct Performer {
        Daemon &daemon;

        void operator()(const SendHeartbeat &typed) const
        {
            daemon.peerClient_->add(typed);
        }
        void operator()(const AskPeer &typed) const
        {
            daemon.peerClient_->add(typed);
        }
        void operator()(const FetchIntent &typed) const
        {
            daemon.peerClient_->add(typed);
        }
        void operator()(const AskStore &typed) const
        {
            daemon.askStore(typed);
        }
        void operator()(const WatchIntent &typed) const
        {
            daemon.watch(typed);
        }
        void operator()(const ListVms &) const
        {
            daemon.listVms();
        }
        void operator()(const InstallIntent &typed) const
        {
            daemon.install(*typed.intent);
        }
        void operator()(const ReportBadIntent &typed) const
        {
            daemon.log_.error("configuration cannot be read", {{"version", typed.version}, {"peer", typed.source}, {"reason", typed.reason}});
        }
        void operator()(const PermitProbe &) const
        {
            // Handled inside the core.
        }
        void operator()(const LeavingUpdated &) const
        {
            // Handled inside the core.
        }
        void operator()(const FleetResized &typed) const
        {
            daemon.setFleetSize(typed.entryVms);
        }
        void operator()(const SetReady &typed) const
        {
            daemon.setReady(typed);
        }
        void operator()(const StopAccepting &) const
        {
            daemon.gateway_->stopAccepting();
            daemon.callerServer_->closeConnections();
        }
        void operator()(const Exit &typed) const
        {
            const std::lock_guard lock(daemon.exitMutex_);
            daemon.exit_ = typed.left;
        }
    };
    std::visit(Performer{*this}, action);
}

void Daemon::askStore(const AskStore &action)
{
    platform_->call(action.call, [this, object = action.call.object](StoreResult result) { handle(ControlEvent(StoreAnswered{object, std::move(result)})); });
}

void Daemon::watch(const WatchIntent &action)
{
    platform_->watch(IntentObject, action.afterVersion, action.wait, [this](WatchResult result) {
        if (result.hasAnswered) {
            handle(ControlEvent(WatchAnswered{std::move(result.newer)}));
        } else {
            handle(ControlEvent(WatchFailed{}));
        }
    });
}

void Daemon::listVms()
{
    platform_->listVms([this](VmListResult result) {
        if (result.hasAnswered) {
            handle(ControlEvent(VmsListed{std::move(result.vms)}));
        }
    });
}

void Daemon::setReady(const SetReady &action)
{
    // Told only now that the services have been given what is in force; the control shard knows earlier.
    {
        const std::lock_guard lock(readyMutex_);
        unreadyReason_ = action.reason;
    }
    log_.info(action.isReady ? "ready" : "not ready", {{"reason", action.reason}});
}

void Daemon::install(const IntentInForce &intent)
{
    std::int64_t servers = 0;
    for (const Service &service : intent.configuration.services) {
        servers += static_cast<std::int64_t>(service.backendServers.size());
    }
    log_.info("configuration in force",
              {{"version", intent.version},
               {"operators_version", intent.value.substr(0, MaxLoggedVersion)},
               {"routes", static_cast<std::int64_t>(intent.configuration.routes.size())},
               {"servers", servers},
               {"draining", static_cast<std::int64_t>(intent.intent.drains.size())}});
    if (intent.configuration.callerLimits) {
        callerServer_->setBounds(boundsFor(*intent.configuration.callerLimits));
    }
    int fewest = std::numeric_limits<int>::max();
    for (const Service &service : intent.configuration.services) {
        fewest = std::min(fewest, service.limits.connectionsPerServer);
    }
    connectionsPerServer_ = fewest;
    applyConnectionCap();
}

CallerBounds Daemon::ownBounds() const
{
    CallerBounds bounds;
    bounds.limits.body = static_cast<std::size_t>(settings_.maxBodyBytes);
    bounds.headTime = settings_.slowCallerBound;
    bounds.slowTime = settings_.slowCallerBound;
    return bounds;
}

CallerBounds Daemon::boundsFor(const CallerLimits &limits) const
{
    CallerBounds bounds = ownBounds();
    bounds.limits.head = limits.headerBytes;
    bounds.limits.target = limits.headerBytes;
    // This VM's own memory sets a bound too.
    bounds.limits.body = std::min(limits.bodyBytes, bounds.limits.body);
    bounds.headTime = limits.headerTime;
    bounds.slowTime = std::max(limits.headerTime, bounds.slowTime);
    bounds.idleTime = limits.idleTime;
    return bounds;
}

void Daemon::setFleetSize(int entryVms)
{
    entryVms_ = entryVms;
    applyConnectionCap();
}

void Daemon::applyConnectionCap()
{
    backends_.setConnectionsPerAddress(std::max(1, connectionsPerServer_ / entryVms_));
}

void Daemon::tick(bool isControl)
{
    if (isControl) {
        WorkLeft left = node_->workLeft();
        if (stopsTaken_ > 0) {
            // An answer is not given before its last byte has left.
            left.requests += callerServer_->unsentAnswers();
        }
        handle(ControlEvent(ControlTick{left}));
        if (directory_) {
            directory_->tick();
        }
    } else if (gateway_->hasOpenExchanges()) {
        handle(ServicesTick{});
    }
}

void Daemon::tellGauges()
{
    NodeGauges gauges = node_->withControl([](const ControlShard &control) {
        const Membership &membership = control.membership();
        return NodeGauges{membership.liveCount(), membership.clearedSuspicions(), control.intent().version(), control.isReady(), 0};
    });
    gauges.platformCalls = directory_ ? directory_->calls() : platform_->calls();
    telemetry_.setGauges(gauges);
}

void Daemon::sweep()
{
    callerServer_->sweep(bootNow());
    gateway_->sweep();
}

void Daemon::takeStopRequests()
{
    while (stopsTaken_ < stopRequests_) {
        ++stopsTaken_;
        log_.info(stopsTaken_ == 1 ? "stop requested" : "stop at once requested");
        handle(ControlEvent(StopRequested{}));
    }
}

void Daemon::takeReloadRequests()
{
    if (isReloadRequested_.exchange(false)) {
        reload();
    }
}

void Daemon::reload()
{
    const auto read = readSettings_();
    if (const auto *faults = std::get_if<std::vector<DocumentFault>>(&read)) {
        for (const DocumentFault &fault : *faults) {
            log_.error("reload refused, the settings in force stay", {{"fault", fault.toString("settings")}});
        }
        return;
    }
    const auto &next = std::get<Settings>(read);
    setLogLevel(next.logLevel);
    settings_.logLevel = next.logLevel;
    const bool isSame = next == settings_;
    log_.info(isSame ? "reloaded" : "reloaded the log level, other changes need a restart");
}

std::string Daemon::unreadyReason() const
{
    const std::lock_guard lock(readyMutex_);
    return unreadyReason_;
}

} // namespace Cloverbarrow
