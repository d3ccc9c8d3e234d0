/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/daemon.h"

#include "core/support/address.h"
#include "daemon/ownprotocol.h"
#include "net/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// The part of Daemon that puts it together from its settings, and takes it apart.

namespace Cloverbarrow
{

namespace
{

constexpr std::size_t NonceBytes = 8;
// Reads of one connection that are worked on at a time. Behind a slow answer the next requests would else begin late: with one at a
// time, 300 of 11,488 requests of a day with a burst took over half of their objective to reach a server. Answers that wait for
// earlier ones stand in memory, so there are not many.
constexpr std::size_t PipelinedRequests = 8;

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

Daemon::Daemon(Settings settings, SettingsFile file, const DirectoryParts &parts)
    : settings_(std::move(settings))
    , settingsFile_(std::move(file))
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
    CallerServerOptions options{settings_.callersAddress, static_cast<std::size_t>(settings_.callerThreads), ownBounds(), {}};
    options.connectionOptions = {settings_.directory.has_value(), PipelinedRequests};
    callerServer_ = std::make_unique<CallerServer>(
        options, [this](const std::shared_ptr<CallerConnection> &connection, HttpRequest request) { gateway_->accept(connection, std::move(request)); });
    addresses_.callers = withPort(settings_.callersAddress, callerServer_->port());
    const OperationsSource source{[this] { return telemetry_.exposition(); }, [this] { return unreadyReason(); }};
    operationsServer_ = std::make_unique<OperationsServer>(settings_.operationsAddress, source);
    if (!settings_.metricsAddress.empty()) {
        metricsServer_ = std::make_unique<OperationsServer>(settings_.metricsAddress, source);
    }
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
    // A client of its own: the other one keeps to the connections that one backend server may get from this entry VM, 5 where 142 entry VMs share 1,040.
    // Four watches and a check used them up at the store, later calls waited for an answer to a watch, and configurations came up to 13 s late.
    directoryCalls_ = std::make_unique<HttpClient>(1);
    directory_ = std::make_unique<DirectoryRunner>(
        *settings_.directory, settings_.name, settings_.zone, seedOf(nonce_), parts.makeClient(*directoryCalls_), *directoryCalls_, *this);
}

Daemon::~Daemon()
{
    hasEnded_ = true;
    operationsServer_->stop();
    metricsServer_.reset();
    if (directory_) {
        directory_->stop();
        directoryCalls_->stop();
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

ControlSettings Daemon::controlSettings() const
{
    ControlSettings control;
    control.self.id = {settings_.name, nonce_};
    control.self.peerAddress = addresses_.peers;
    control.self.adminAddress = addresses_.admin;
    control.self.zone = settings_.zone;
    control.self.region = settings_.region;
    control.seedPeers = settings_.firstPeers;
    control.shutdownNotice = settings_.shutdownNotice;
    control.shutdownLimit = settings_.shutdownLimit;
    control.seed = seedOf(nonce_);
    control.hasDirectory = settings_.directory.has_value();
    return control;
}

CallerBounds Daemon::ownBounds() const
{
    CallerBounds bounds;
    bounds.limits.body = static_cast<std::size_t>(settings_.maxBodyBytes);
    bounds.headTimeout = settings_.slowCallerBound;
    bounds.transferTimeout = settings_.slowCallerBound;
    return bounds;
}

CallerBounds Daemon::boundsFor(const CallerLimits &limits) const
{
    CallerBounds bounds = ownBounds();
    bounds.limits.head = limits.headerBytes;
    bounds.limits.target = limits.headerBytes;
    // This VM's own memory sets a bound too.
    bounds.limits.body = std::min(limits.bodyBytes, bounds.limits.body);
    bounds.headTimeout = limits.headerTime;
    bounds.transferTimeout = std::max(limits.headerTime, bounds.transferTimeout);
    bounds.idleTimeout = limits.idleTime;
    return bounds;
}

} // namespace Cloverbarrow
