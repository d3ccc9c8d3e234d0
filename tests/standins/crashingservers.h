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

/// Backend servers of one service that crash under some requests, or when told to. A crashed one is back after a pause,
/// as another start with an id and an address of its own. The entry of a crashed one stays in the store until its lease has run out.
class CrashingServers
{
public:
    /// @param pause from a crash until the server is back.
    CrashingServers(DirectoryStore &store, std::string service, int count, std::chrono::milliseconds pause);
    ~CrashingServers();
    CrashingServers(const CrashingServers &) = delete;
    CrashingServers &operator=(const CrashingServers &) = delete;

    /// One server ends by itself.
    void crash(std::size_t number);
    std::size_t count() const;
    /// @return ids of all requests that were run, with repetitions.
    std::vector<std::string> runs() const;
    /// @return servers that have crashed so far.
    int crashes() const;

private:
    using Clock = std::chrono::steady_clock;

    struct Server {
        std::unique_ptr<RegisteredBackend> backend;
        std::string id;
        int start = 0;
        bool isDown = false;
        bool isTold = true; ///< Whether the store still has the entry of the present start.
        Clock::time_point crashedAt;
    };

    void look();
    void lookAt(Server &server, std::size_t number);
    /// Starts the server and enters it at the store.
    void begin(Server &server, std::size_t number);

    DirectoryStore &store_;
    std::string service_;
    std::chrono::milliseconds pause_;
    mutable std::mutex mutex_;
    std::vector<Server> servers_;
    std::atomic<int> crashes_{0};
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

} // namespace Cloverbarrow::Standins
