/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/workspaces/quotagate.h"
#include "core/workspaces/quotagranter.h"
#include "net/httpclient.h"
#include "net/log.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// Entry VMs that take part in granting requests of workspaces, as known to this one.
struct QuotaPeers {
    std::string localAddress; ///< Empty if this entry VM serves no peers.
    std::vector<std::string> relays; ///< Addresses of the entry VMs that grant requests; may include this one.
    int entryVms = 1; ///< Number of entry VMs in the fleet.
    bool hasQuotas = false; ///< Whether any workspace has a quota.
};

/// Enforces the quotas of workspaces: asks granters on behalf of this entry VM, and grants requests to others if this one is a granter.
class QuotaRunner
{
public:
    using Callback = std::function<void(const QuotaVerdict &)>;

    /// @param http for calls to granters. @param incarnation random number that identifies this process. @param peers returns the current peers; called from
    /// any thread.
    QuotaRunner(HttpClient &http, const QuotaTolerance &tolerance, std::uint64_t incarnation, std::function<QuotaPeers()> peers);

    /// @param version of the configuration that contains @p workspace. @param done is called once, now or later, from any thread.
    void admit(RequestId request, const Workspace &workspace, std::int64_t version, Callback done);
    /// Decides requests that have waited too long. Call many times a second.
    void tick();
    /// Handles claims of another entry VM. @return the encoded grants; nothing if @p text cannot be decoded.
    std::optional<std::string> acceptClaims(std::string_view text);
    QuotaCounts counts();

private:
    /// Grants claims, and logs one that is refused because reports are missing. Call with mutex_ held.
    QuotaAnswer grant(const QuotaRequest &request, int entryVms);
    /// Sends the claims that are due and delivers the decisions that have been made.
    void proceed(const QuotaPeers &peers);
    void send(const QuotaGate::Message &message);
    void deliver(const std::vector<QuotaDecision> &decisions);
    void handleOutcome(const QuotaGate::Message &sent, const HttpOutcome &outcome);

    HttpClient &http_;
    std::function<QuotaPeers()> peers_;
    Log log_;
    std::atomic<HttpCallId> nextCall_;
    std::mutex mutex_;
    std::optional<QuotaGate> gate_; ///< Guarded by mutex_; created when the local address is known.
    TimePoint nextIdleTick_; ///< Guarded by mutex_; when to look for due messages although no request waits.
    QuotaTolerance tolerance_;
    QuotaGranter granter_; ///< Guarded by mutex_.
    std::map<RequestId, Callback> callbacks_; ///< Guarded by mutex_.
};

} // namespace Cloverbarrow
