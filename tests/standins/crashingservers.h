/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "directorystore.h"
#include "registeredbackend.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Cloverbarrow::Standins
{

/// Backend servers of one service that crash under some requests, or on crash(). A crashed server restarts after a delay, with a new id and a new address.
/// The entry of the crashed server stays in the store until its lease expires or the server restarts.
class CrashingServers
{
public:
    /// @param restartDelay time from a crash until the server is back.
    CrashingServers(DirectoryStore &store, std::string service, int count, std::chrono::milliseconds restartDelay);
    ~CrashingServers();
    CrashingServers(const CrashingServers &) = delete;
    CrashingServers &operator=(const CrashingServers &) = delete;

    /// Crashes one server without a request.
    void crash(std::size_t index);
    std::size_t count() const;
    /// @return ids of all executed requests, with repetitions.
    std::vector<std::string> executedRequestIds() const;
    /// @return number of crashes that requests have caused so far.
    int crashCount() const;

private:
    using Clock = std::chrono::steady_clock;

    struct Server {
        std::unique_ptr<RegisteredBackend> backend;
        std::string id;
        int incarnation = 0;
        bool isDown = false;
        bool isRegistered = true; ///< Whether the store has the entry of the current incarnation.
        Clock::time_point crashedAt;
    };

    void pollServers();
    void updateServer(Server &server, std::size_t index);
    /// Starts the server and registers it with the store.
    void startServer(Server &server, std::size_t index);

    DirectoryStore &store_;
    std::string service_;
    std::chrono::milliseconds restartDelay_;
    mutable std::mutex mutex_;
    std::vector<Server> servers_;
    std::atomic<int> crashCount_{0};
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

} // namespace Cloverbarrow::Standins
