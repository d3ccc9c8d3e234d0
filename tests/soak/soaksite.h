/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "directorystore.h"
#include "faultproxy.h"
#include "process.h"
#include "registeredbackend.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Cloverbarrow::Soak
{

using Standins::FaultProxy;
using Standins::LinkFault;

/// Size of a site.
struct SiteSize {
    int entryVms = 6;
    int backends = 6;
};

/// One start of an entry VM's process.
struct ProcessStart {
    std::size_t entryVm = 0;
    int number = 0; ///< Counts the starts of this entry VM.

    auto operator<=>(const ProcessStart &) const = default;
};

/// Where an entry VM's present process listens.
struct EntryAddress {
    ProcessStart start;
    std::string callers;
    std::string operations;
};

/// Entry VMs as processes of their own, a store and backend servers as stand-ins within this process, and a proxy for
/// each link to the store and to a backend server. Harms them as it is told.
class SoakSite
{
public:
    /// @param program of the entry VMs. @param folder for settings and logs; kept.
    SoakSite(const SiteSize &size, std::string program, std::string folder);
    ~SoakSite();
    SoakSite(const SoakSite &) = delete;
    SoakSite &operator=(const SoakSite &) = delete;

    std::size_t entryVms() const;
    std::size_t backends() const;
    EntryAddress entryAddress(std::size_t entryVm) const;
    /// @return whether the process was ever killed, so that its open requests may be lost.
    bool wasKilled(const ProcessStart &start) const;

    /// Signals the present process: SIGSTOP, SIGCONT or SIGHUP.
    void signal(std::size_t entryVm, int number);
    /// Kills the process and starts it again.
    void killAndRestart(std::size_t entryVm);
    /// Asks the process to stop, waits for its end and starts it again. @return its exit code.
    int stopAndRestart(std::size_t entryVm);
    /// Stops all processes. @return their exit codes.
    std::vector<int> stopAll();

    FaultProxy &storeLink(std::size_t entryVm);
    FaultProxy &backendLink(std::size_t backend);
    Standins::DirectoryStore &store();
    void conduct(std::size_t backend, Standins::Conduct conduct);
    /// A new incarnation takes the backend server's address over; the former one leaves the registry.
    void replaceBackend(std::size_t backend);
    /// The backend server ends by itself. As after a crash under a request, it is back after a pause as another start.
    void crash(std::size_t backend);
    void setDraining(std::size_t backend, bool isDraining);
    /// The backend server has started again under its id.
    void restartBackend(std::size_t backend);
    /// Another writer puts @p field of the server's entry at @p value.
    void spoilEntry(std::size_t backend, const std::string &field, const nlohmann::json &value);
    /// The backend server writes its entry again.
    void mendEntry(std::size_t backend);
    /// Operators empty the availability zone of @p backend, or take it back.
    void setEvacuated(std::size_t backend, bool isEvacuated);
    /// @return the availability zone of @p backend.
    static std::string zoneOfBackend(std::size_t backend);
    /// The backend server is cold for a while from now on.
    void chill(std::size_t backend);
    /// @return most requests that a backend server began to run in any second while it was cold.
    int mostWhileCold() const;
    /// The backend server names a limit on its requests. @param text of the limit; empty for none.
    void nameLimit(std::size_t backend, const std::string &text);
    /// @return most requests that the backend server began to run in any @p window that began at @p from or later.
    int mostRunsAt(std::size_t backend, Duration window, TimePoint from) const;
    /// Puts the next version of the configuration in force. Each has a host of its own, which the next one drops.
    /// @return its number.
    int configure();
    int newestVersion() const;

    /// @return ids of all requests that a backend server has run, with repetitions.
    std::vector<std::string> runs() const;
    /// @return how many requests the backend server has run.
    std::size_t runsAt(std::size_t backend) const;

private:
    struct EntryVm {
        std::unique_ptr<FaultProxy> storeLink;
        std::unique_ptr<Tests::Process> process;
        ProcessStart start;
        std::string listening; ///< First line of the present process.
    };

    struct BackendServer {
        std::unique_ptr<Standins::RegisteredBackend> server;
        std::unique_ptr<FaultProxy> link;
        std::string id;
        int incarnation = 1;
        std::int64_t started = 1; ///< As it tells; only differs between two starts.
        std::optional<std::chrono::steady_clock::time_point> endedAt; ///< While it is down after a crash.
    };

    void startLocked(EntryVm &entry);
    /// Ends servers that have crashed, and starts those again whose pause is over.
    void lookAfterCrashes();
    void registerBackend(BackendServer &backend, const std::string &state);

    std::string program_;
    std::string folder_;
    Standins::DirectoryStore store_;
    mutable std::mutex mutex_;
    std::vector<EntryVm> entryVms_;
    std::vector<BackendServer> backends_;
    std::set<ProcessStart> killed_;
    int version_ = 0;
    std::atomic<bool> isStopping_{false};
    std::thread crashThread_;
};

/// @return the host that only version @p version of the configuration has a route for.
std::string hostOfVersion(int version);

} // namespace Cloverbarrow::Soak
