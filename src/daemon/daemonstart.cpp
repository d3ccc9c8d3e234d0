/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/daemon.h"

#include "core/support/address.h"
#include "daemon/builtinprotocol.h"
#include "net/bootclock.h"
#include "net/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// Construction and destruction of Daemon.

namespace Cloverbarrow
{

namespace
{

constexpr std::size_t NonceBytes = 8;
// Safe requests of one caller connection that are processed concurrently. With only one, pipelined requests start late behind a slow
// answer: on a day with a burst, 300 of 11,488 requests took over half of their latency objective to reach a server. The number is
// small because answers are buffered until the earlier ones have been sent.
constexpr std::size_t MaxRequestsInFlight = 8;

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

Daemon::Daemon(Settings settings, SettingsFile file, OperatorRequests &requests)
    : settings_(std::move(settings))
    , settingsFile_(std::move(file))
    , requests_(requests)
    , nonce_(randomHex(NonceBytes))
    , log_("daemon")
    , memory_(std::make_shared<MemoryBudget>(MemoryBudget::shareOf(settings_.memoryBytes)))
    , callerBounds_(callerBoundsFromSettings(), [this](const CallerBounds &bounds) { callerServer_->setBounds(bounds); })
    , backendClient_(static_cast<std::size_t>(settings_.backendThreads), memory_)
{
}

void Daemon::start(const DirectoryAdapters &adapters)
{
    warnIfBodiesExceedMemory();
    if (settings_.directory) {
        startDirectory(adapters);
    } else {
        startFleetProtocols();
    }
    node_ = std::make_unique<Node>(controlSettings(), LoadReportPick{});
    gateway_ = std::make_unique<Gateway>(*node_, *this, backendClient_, platform_.get(), *protocol_, telemetry_, nonce_);
    gateway_->setStartupLimits(settings_.startup, bootNow(), seedOf(nonce_));
    gateway_->setQuotas(directory_ ? &directory_->quotas() : nullptr);
    if (directory_) {
        gateway_->enableStallGuard(bootNow(), seedOf(nonce_));
        gateway_->setForwarding(forwardClient_.get(), settings_.region);
        directory_->setForwardedRequestHandler(
            [this](const std::shared_ptr<CallerConnection> &connection, HttpRequest request) { gateway_->acceptForwarded(connection, std::move(request)); });
    }
    CallerServerOptions options{settings_.callersAddress, static_cast<std::size_t>(settings_.callerThreads), callerBoundsFromSettings(), {}};
    options.connectionOptions = {settings_.directory.has_value(), MaxRequestsInFlight, memory_, [this](const HttpRequest &head, const MemoryCounts &counts) {
                                     return gateway_->refuseForMemory(head, counts);
                                 }};
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

void Daemon::startFleetProtocols()
{
    protocol_ = std::make_shared<BuiltInProtocol>();
    platform_ = std::make_unique<HttpPlatformClient>(settings_.platformAddress, memory_);
    peerService_ = std::make_shared<PeerService>();
    adminService_ = std::make_shared<AdminService>(*platform_, telemetry_);
    peerServer_ = std::make_unique<ThriftServer>(settings_.peersAddress, std::make_shared<Wire::PeerProcessor>(peerService_));
    adminServer_ = std::make_unique<ThriftServer>(settings_.adminAddress, std::make_shared<Wire::AdminProcessor>(adminService_));
    addresses_.peers = peerServer_->address();
    addresses_.admin = adminServer_->address();
}

void Daemon::startDirectory(const DirectoryAdapters &adapters)
{
    protocol_ = adapters.protocol;
    // The directory needs a separate client because the backend client limits connections per address to this entry VM's share (5 when 142 entry VMs share
    // 1,040). With a shared client four watches and a check used all connections to the store, so that later calls waited until a watch was answered, and
    // configurations arrived up to 13 s late.
    directoryHttpClient_ = std::make_unique<HttpClient>(1, memory_);
    // A separate client, so that large bodies do not delay calls to the store and to relays.
    forwardClient_ = std::make_unique<HttpClient>(1, memory_);
    directory_ = std::make_unique<DirectoryRunner>(*settings_.directory,
                                                   settings_.name,
                                                   settings_.zone,
                                                   seedOf(nonce_),
                                                   adapters.makeClient(*directoryHttpClient_),
                                                   *directoryHttpClient_,
                                                   memory_,
                                                   *this);
}

Daemon::~Daemon()
{
    // First all threads end, while every object that they may use still exists. After a failed start some parts do not exist.
    const auto stop = [](const auto &part) {
        if (part) {
            part->stop();
        }
    };
    isStopped_ = true;
    stop(operationsServer_);
    stop(metricsServer_);
    stop(directory_);
    stop(directoryHttpClient_);
    stop(forwardClient_);
    stop(adminServer_);
    stop(peerServer_);
    stop(peerClient_);
    stop(platform_);
    backendClient_.stop();
    stop(callerServer_);
}

ControlSettings Daemon::controlSettings() const
{
    ControlSettings control;
    control.self.id = {settings_.name, nonce_};
    control.self.peerAddress = addresses_.peers;
    control.self.adminAddress = addresses_.admin;
    control.self.zone = settings_.zone;
    control.self.region = settings_.region;
    control.seedPeers = settings_.seedPeers;
    control.shutdownNotice = settings_.shutdownNotice;
    control.shutdownLimit = settings_.shutdownLimit;
    control.seed = seedOf(nonce_);
    control.hasDirectory = settings_.directory.has_value();
    return control;
}

void Daemon::warnIfBodiesExceedMemory() const
{
    if (const auto longest = memory_->longestBody(); static_cast<std::size_t>(settings_.maxBodyBytes) > longest) {
        log_.warn("bodies are limited by the memory",
                  {{"max_body_bytes", std::int64_t(settings_.maxBodyBytes)}, {"longest", static_cast<std::int64_t>(longest)}});
    }
}

CallerBounds Daemon::callerBoundsFromSettings() const
{
    CallerBounds bounds;
    // A body that never fits into the memory is refused for good, and not with the advice to come back.
    bounds.limits.body = std::min(static_cast<std::size_t>(settings_.maxBodyBytes), memory_->longestBody());
    bounds.headTimeout = settings_.slowCallerTimeout;
    bounds.transferTimeout = settings_.slowCallerTimeout;
    return bounds;
}

} // namespace Cloverbarrow
