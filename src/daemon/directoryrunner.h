/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/controlevents.h"
#include "core/directory/directorykeeper.h"
#include "daemon/eventhandler.h"
#include "daemon/settings.h"
#include "net/directoryclient.h"
#include "net/httpclient.h"
#include "net/log.h"
#include "net/relayclient.h"
#include "net/relayserver.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace Cloverbarrow
{

/// Follows the directory: carries out the keeper's actions, hands published states to the core, and relays to others.
class DirectoryRunner
{
public:
    /// @param name of this entry VM, @param zone where it stands. @param client for the store. @param http for relays. @param events receives published states.
    /// @throws std::exception when the relay's address cannot be listened on.
    DirectoryRunner(const DirectorySettings &settings,
                    std::string name,
                    std::string zone,
                    std::uint64_t seed,
                    std::unique_ptr<DirectoryClient> client,
                    HttpClient &http,
                    EventHandler &events);

    /// Call several times a second.
    void tick();
    /// Budgets have changed while the process runs.
    void setBudgets(const FleetBudgets &budgets);
    /// What this entry VM tells of servers that ended under requests.
    void tellCrashes(const PublishCrashReport &action);
    /// What is told of them to others beside the store.
    void tellCrashes(const BroadcastCrashUpdates &action);
    void tellCrashes(const SendAllCrashUpdates &action);
    /// A server has told this entry VM of its limit on requests.
    void reportLimit(const LimitReport &report);
    /// @return whether the store does not hold that yet.
    bool hasUntoldCrashes();
    /// Answers that come later are left aside.
    void stop();
    /// @return calls made to the store.
    std::uint64_t calls() const;

private:
    /// Takes what another entry VM tells of servers that ended. @return whether it can be read.
    bool takeCrashNews(const std::string &text);
    /// Another entry VM has asked for crash news, or has answered with its own.
    void takeNewsPeer(const std::string &asker, const std::string &answerer);
    void logNews(const CrashUpdate &news);
    /// Takes an entry VM's reports on request limits. @return the own ones; nothing when they cannot be read.
    std::optional<std::string> takeLimits(const std::string &text);
    /// Takes what a relay's proof shows of its reports on request limits.
    void takeLimitVersion(const DirectoryEvent &event);
    void exchangeLimits();
    /// Hands reports of peers to the core.
    void passOnLimits();
    void startRelay(const std::string &address);
    void answered(const DirectoryAnswer &answer);
    void perform(const DirectoryActions &actions);

    std::string name_;
    std::string zone_;
    EventHandler &events_;
    Log log_;
    std::unique_ptr<DirectoryClient> store_;
    RelayClient relay_;
    std::atomic<bool> isStopped_{false};
    std::mutex mutex_;
    std::optional<DirectoryManager> keeper_; ///< Guarded by the mutex.
    std::mutex limitsMutex_;
    LimitExchange limits_; ///< Guarded by its mutex.
    std::unique_ptr<RelayServer> server_; ///< Null where nobody relays.
};

} // namespace Cloverbarrow
