/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/workspaces/workspacetable.h"
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
#include <utility>
#include <vector>

namespace Cloverbarrow::Soak
{

using Standins::FaultProxy;
using Standins::LinkFault;

struct SiteSize {
    int entryVms = 6;
    int backends = 6;
    bool hasWorkspaces = false; ///< Whether there are workspaces with quotas, and requests are held at the start and refused by rule.
};

/// Workspaces of a site that has them; each name is also the API key. The quota of the first one is set by SoakSite::setQuota(), that of the second one is
/// larger than the demand of its callers.
constexpr const char *LimitedWorkspace = "limited";
constexpr const char *AmpleWorkspace = "ample";
constexpr WorkspaceQuota InitialQuota{10, 5}; ///< Of LimitedWorkspace.
/// Idle limit of callers' connections, unless SoakSite::setIdleTimeout() sets another one.
constexpr std::chrono::milliseconds DefaultIdleTimeout(15'000);
constexpr WorkspaceQuota AmpleQuota{1000, 200};

/// Identifies one process of an entry VM.
struct ProcessStart {
    std::size_t entryVm = 0;
    int number = 0; ///< How often this entry VM has been started, including this start.

    auto operator<=>(const ProcessStart &) const = default;
};

/// Listen addresses of an entry VM's current process.
struct EntryAddress {
    ProcessStart start;
    std::string callers;
    std::string operations;
};

/// Site under test: entry VMs as separate processes, stand-ins for the store and the backend servers in this process, and a fault proxy for each
/// link to the store and to a backend server. Its functions inject faults and apply changes.
class SoakSite
{
public:
    /// @param program path of cloverbarrowd. @param folder for settings and logs; it is not removed.
    SoakSite(const SiteSize &size, std::string program, std::string folder);
    ~SoakSite();
    SoakSite(const SoakSite &) = delete;
    SoakSite &operator=(const SoakSite &) = delete;

    std::size_t entryVms() const;
    std::size_t backends() const;
    EntryAddress entryAddress(std::size_t entryVm) const;
    /// @return whether the process was killed; requests in flight at that time may be lost.
    bool wasKilled(const ProcessStart &start) const;

    /// Sends SIGSTOP, SIGCONT or SIGHUP to the current process.
    void signal(std::size_t entryVm, int number);
    /// Kills the process and starts it again.
    void killAndRestart(std::size_t entryVm);
    /// Kills all processes, waits for @p pause and starts them together.
    void killAndRestartAll(std::chrono::milliseconds pause);
    /// Starts a new process, sends SIGTERM to the former one and waits for its exit. @return exit code of the former one.
    int stopAndRestart(std::size_t entryVm);
    /// Stops all processes. @return their exit codes.
    std::vector<int> stopAll();

    /// Partitions the current processes of these entry VMs from all backend servers, until endPartition(). Processes that start later are not affected.
    void partition(const std::vector<std::size_t> &entryVms, Standins::PartitionMode mode);
    void endPartition();
    /// @return the entry VMs of the availability zone of @p entryVm.
    std::vector<std::size_t> zoneMembers(std::size_t entryVm) const;
    FaultProxy &storeLink(std::size_t entryVm);
    FaultProxy &backendLink(std::size_t backend);
    Standins::DirectoryStore &store();
    void setAnswerMode(std::size_t backend, Standins::AnswerMode mode);
    /// Replaces the backend server by a new incarnation at the same address; the former one is removed from the store.
    void replaceBackend(std::size_t backend);
    /// Crashes the backend server without a request. As after a crash by a request, a new incarnation starts after a pause.
    void crashBackend(std::size_t backend);
    /// Announces in the answers of the backend server that it is leaving. Its entry in the store stays as it is.
    void announceLeaving(std::size_t backend);
    /// Lets the backend server reject all requests. @param retryAfter value of the Retry-After header of its rejections.
    void rejectWithRetryAfter(std::size_t backend, const std::string &retryAfter);
    /// Ends rejectWithRetryAfter().
    void stopRejecting(std::size_t backend);
    /// @return requests that arrived at the backend server, in order.
    std::vector<Standins::Arrival> arrivalsAt(std::size_t backend) const;
    /// @return whether, at some time from @p from until @p to, the process was paused or the link to the backend server had a fault.
    bool wasDisturbed(const ProcessStart &start, std::size_t backend, TimePoint from, TimePoint to) const;
    /// @return whether the link to the backend server had a fault at some time from @p from until @p to.
    bool hadLinkFault(std::size_t backend, TimePoint from, TimePoint to) const;
    /// @return whether the backend server was restarted under its id at some time from @p from until @p to.
    bool wasRestarted(std::size_t backend, TimePoint from, TimePoint to) const;
    void setDraining(std::size_t backend, bool isDraining);
    /// Registers the backend server as restarted under the same id.
    void restartBackend(std::size_t backend);
    /// Sets @p field of the server's entry in the store to @p value, as a faulty writer does.
    void corruptEntry(std::size_t backend, const std::string &field, const nlohmann::json &value);
    /// Restores the backend server's entry after corruptEntry().
    void restoreEntry(std::size_t backend);
    /// Evacuates the availability zone of @p backend or ends its evacuation.
    void setZoneEvacuated(std::size_t backend, bool isEvacuated);
    static std::string zoneOfBackend(std::size_t backend);
    /// Makes the backend server cold for two seconds.
    void makeCold(std::size_t backend);
    /// @return the highest number of requests that any backend server began to execute within one second while it was cold.
    int maxPerSecondWhileCold() const;
    /// Lets the backend server announce a request limit. @param text value of the header; empty for no limit.
    void announceLimit(std::size_t backend, const std::string &text);
    /// @return the highest number of requests that the backend server began to execute within any @p window that starts at @p from or later.
    int maxExecutionsAt(std::size_t backend, Duration window, TimePoint from) const;
    /// Stores the next version of the configuration. Each version has a route for a host that no other version has.
    /// @return the version.
    int applyNextConfiguration();
    int newestVersion() const;
    /// Sets the idle limit of callers' connections in the next version of the configuration.
    void setIdleTimeout(std::chrono::milliseconds timeout);
    std::chrono::milliseconds idleTimeout() const;
    bool hasWorkspaces() const;
    /// Sets the quota of LimitedWorkspace in the next version of the configuration.
    void setQuota(const WorkspaceQuota &quota);
    WorkspaceQuota quota() const;
    /// @return the largest quota that LimitedWorkspace has had until @p end.
    WorkspaceQuota largestQuota(TimePoint end) const;
    /// @return entry VMs that grant requests of workspaces: the relays of all zones.
    std::vector<std::size_t> granters() const;
    /// Lets the backend server need @p work for each request and never answer those that exceed its slots and its queue. Without @p work
    /// this ends.
    void setSilentWhenFull(std::size_t backend, std::optional<Duration> work);
    /// @return number of requests that full servers have dropped.
    int droppedRequests() const;

    /// @return ids of all requests that backend servers have executed, once for each execution.
    std::vector<std::string> executedRequestIds() const;
    std::size_t executionCountAt(std::size_t backend) const;

private:
    struct EntryVm {
        std::unique_ptr<FaultProxy> storeLink;
        std::unique_ptr<Tests::Process> process;
        ProcessStart start;
        std::string listenAddresses; ///< First output line of the current process: its listen addresses as JSON.
    };

    struct BackendServer {
        std::unique_ptr<Standins::RegisteredBackend> server;
        std::unique_ptr<FaultProxy> link;
        std::string id;
        int incarnation = 1;
        std::vector<TimePoint> restarts; ///< When it was restarted under its id.
        std::int64_t startTime = 1; ///< Registered as its start time; only has to differ between two starts.
        std::optional<std::chrono::steady_clock::time_point> crashedAt; ///< Time of its crash, while it is down.
    };

    struct Pause {
        ProcessStart process;
        TimePoint from;
        TimePoint to = TimePoint::max();
    };

    /// Starts a process. The caller holds the mutex, except in the constructor.
    void startLocked(EntryVm &entry);
    void endPausesLocked(const ProcessStart &process);
    /// Stops the listeners of crashed servers and restarts servers whose pause is over.
    void handleCrashes();
    void registerBackend(BackendServer &backend, const std::string &state);

    std::string program_;
    std::string folder_;
    Standins::DirectoryStore store_;
    mutable std::mutex mutex_;
    std::vector<EntryVm> entryVms_;
    std::vector<BackendServer> backends_;
    std::set<ProcessStart> killedProcesses_;
    std::vector<Pause> pauses_;
    int version_ = 0;
    std::chrono::milliseconds idleTimeout_ = DefaultIdleTimeout;
    bool hasWorkspaces_ = false;
    std::vector<std::pair<TimePoint, WorkspaceQuota>> quotas_ = {{TimePoint(), InitialQuota}}; ///< Of LimitedWorkspace, by the start of each.
    std::atomic<bool> isStopping_{false};
    std::thread crashThread_;
};

/// @return the host for which only @p version of the configuration has a route.
std::string hostOfVersion(int version);

} // namespace Cloverbarrow::Soak
