/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "crashingservers.h"

#include <utility>

namespace Cloverbarrow::Standins
{

namespace
{

constexpr auto PollInterval = std::chrono::milliseconds(2);
// Time from a crash until the server's entry is removed. A lease that is renewed every 1.5 s expires after three of these intervals.
constexpr auto LeaseExpiryDelay = std::chrono::milliseconds(1500);

} // namespace

CrashingServers::CrashingServers(DirectoryStore &store, std::string service, int count, std::chrono::milliseconds restartDelay)
    : store_(store)
    , service_(std::move(service))
    , restartDelay_(restartDelay)
    , servers_(static_cast<std::size_t>(count))
{
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        startServer(servers_[index], index);
    }
    thread_ = std::thread([this] {
        while (!isStopping_) {
            pollServers();
            std::this_thread::sleep_for(PollInterval);
        }
    });
}

CrashingServers::~CrashingServers()
{
    isStopping_ = true;
    thread_.join();
}

void CrashingServers::crash(std::size_t index)
{
    const std::lock_guard lock(mutex_);
    Server &server = servers_[index];
    if (!server.isDown) {
        server.isDown = true;
        server.crashedAt = Clock::now();
        server.backend->stopAfterCrash();
    }
}

std::size_t CrashingServers::count() const
{
    return servers_.size();
}

std::vector<std::string> CrashingServers::executedRequestIds() const
{
    std::vector<std::string> all;
    for (const Server &server : servers_) {
        const auto executed = server.backend->executedRequestIds();
        all.insert(all.end(), executed.begin(), executed.end());
    }
    return all;
}

int CrashingServers::crashCount() const
{
    return crashCount_;
}

void CrashingServers::pollServers()
{
    const std::lock_guard lock(mutex_);
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        updateServer(servers_[index], index);
    }
}

void CrashingServers::updateServer(Server &server, std::size_t index)
{
    const auto now = Clock::now();
    if (!server.isDown && server.backend->hasCrashed()) {
        ++crashCount_;
        server.isDown = true;
        server.crashedAt = now;
        server.backend->stopAfterCrash();
    }
    if (server.isDown && server.isRegistered && now - server.crashedAt >= LeaseExpiryDelay) {
        store_.remove("servers", server.id);
        server.isRegistered = false;
    }
    if (server.isDown && now - server.crashedAt >= restartDelay_) {
        if (std::exchange(server.isRegistered, true)) {
            store_.remove("servers", server.id);
        }
        startServer(server, index);
        server.isDown = false;
    }
}

void CrashingServers::startServer(Server &server, std::size_t index)
{
    ++server.incarnation;
    server.id = "i-" + std::to_string(index) + "-" + std::to_string(server.incarnation);
    if (server.backend) {
        server.backend->restartAfterCrash(server.id);
    } else {
        server.backend = std::make_unique<RegisteredBackend>(server.id);
    }
    store_.put("servers", server.id, server.backend->registration(service_));
}

} // namespace Cloverbarrow::Standins
