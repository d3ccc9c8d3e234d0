/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/random.h"
#include "heavyload.h"
#include "soaksite.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <string>
#include <vector>

namespace Cloverbarrow::Soak
{

/// Injects pseudo-random faults into a site, several at a time. The seed determines the sequence; each fault ends after a random time.
class FaultInjector
{
public:
    static constexpr std::chrono::milliseconds InitialIdleLimit{300};

    FaultInjector(SoakSite &site, std::uint64_t seed);

    /// Injects these faults as well. @param callers must outlive the last fault.
    void addHeavyLoad(const std::vector<HeavyLoadFault> &faults, WorkspaceCallers &callers);

    /// Changes the idle limit of callers' connections as well, from InitialIdleLimit on, and pauses more often.
    void addIdleLimits();

    /// Ends the faults that are due and injects new ones. @return the time until the next call.
    std::chrono::milliseconds injectNext();
    /// Ends all faults and waits for the processes that are stopping.
    void endAllFaults();

    /// @return one line for each injected fault, with the time since the start.
    const std::vector<std::string> &journal() const;
    /// @return one line for each process that exited with a code other than 0 after SIGTERM.
    const std::vector<std::string> &failedExits() const;

private:
    using Clock = std::chrono::steady_clock;

    /// Injects a signal, a store fault, a server fault or a configuration change.
    void injectCommonFault();
    void injectSignal();
    void injectStoreFault();
    void injectServerFault();
    void applyChange();
    // Each of the following groups has its own random stream, so that adding a group does not change the other faults of a recorded seed.
    /// Restarts a backend server under its id or corrupts its entry in the store.
    void injectEntryFault();
    void injectCrash();
    /// Makes a backend server cold or evacuates an availability zone.
    void injectColdServerOrEvacuation();
    /// Lets a backend server announce a request limit, valid or not.
    void injectRequestLimit();
    /// Lets a backend server announce that it is leaving until it is replaced.
    void injectLeaving();
    /// Lets a backend server reject requests with Retry-After, valid or not.
    void injectBackoff();
    /// Partitions an entry VM, or all of an availability zone, from all backend servers.
    void injectPartition();
    void injectIdleLimit();
    void injectHeavyLoad();
    /// Lets servers be silent when full until the returned function is called.
    std::function<void()> injectSilentServers();
    /// Changes a quota while its granters are paused, until the returned function is called.
    std::function<void()> injectLoweredQuota();
    void recordEvent(const std::string &what);
    /// Calls @p end after a random time.
    void endLater(std::function<void()> end);
    void endLater(Random &random, std::function<void()> end);
    void injectLinkFault(FaultProxy &link, const std::string &name);
    std::size_t randomEntryVm();
    std::size_t randomBackend();

    SoakSite &site_;
    Random random_;
    Random entryRandom_;
    Random crashRandom_;
    Random evacuationRandom_;
    Random limitRandom_;
    Random leavingRandom_;
    Random backoffRandom_;
    Random partitionRandom_;
    Random loadRandom_;
    Random idleRandom_;
    std::vector<HeavyLoadFault> heavyLoadFaults_;
    bool hasIdleLimits_ = false;
    WorkspaceCallers *workspaceCallers_ = nullptr; ///< Set if there are faults of heavy load.
    Clock::time_point start_ = Clock::now();
    Clock::time_point nextFleetRestart_ = start_; ///< Not before.
    std::size_t leavingServers_ = 0; ///< Backend servers that announce that they are leaving.
    bool isEvacuated_ = false; ///< Whether any availability zone is evacuated.
    bool isPartitioned_ = false; ///< Whether any entry VM is partitioned from all backend servers.
    std::multimap<Clock::time_point, std::function<void()>> pendingEnds_; ///< Ends of active faults by due time.
    std::vector<std::future<int>> pendingExits_;
    std::vector<std::string> journal_;
    std::vector<std::string> failedExits_;
};

} // namespace Cloverbarrow::Soak
