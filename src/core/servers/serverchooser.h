/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/backendpool.h"
#include "core/servers/responsetimemodel.h"
#include "core/servers/serverhints.h"
#include "core/support/random.h"
#include "core/support/time.h"
#include "core/support/tokenbucket.h"

#include <cstddef>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Cloverbarrow
{

/// State of the selection of a server for one attempt.
struct Choice {
    bool isHedge = false; ///< For a second attempt, because the server of the first one is unresponsive.
    int round = 0; ///< Rounds of probes begun so far.
    std::size_t pendingProbes = 0; ///< Probes of the current round without a result.
    std::vector<std::string> probedServers; ///< Names of servers probed so far.
    TimePoint probeDeadline; ///< Probes without a result by then are no longer waited for.
};

/// Requirements of the request for which a server is chosen.
struct ChoiceRequirements {
    Duration objective{0}; ///< Latency objective.
    Duration timeLeft{0}; ///< Time within which the answer is needed.
    bool hasPriority = false; ///< Has priority over other requests of the service and may use slots that these must leave free.
    bool missesObjective = false; ///< Can no longer meet its objective; yields to requests that can.
    bool acceptsAny = false; ///< Last chance to choose: any server with free capacity is accepted.
    bool serversDropRequests = false; ///< Servers drop requests silently when full, so old reports are never accepted.
    bool mustBeAccepted = false; ///< Accepts only servers that will certainly execute the request.
    bool acceptsOldReports = false; ///< Accepts older load reports because no probe can be made.
};

/// Result of evaluating a choice.
enum class ChoiceState {
    Wait, ///< For results of probes or for the start of the next round.
    Chosen,
    NeedsProbes, ///< Another round of probes is due.
};

/// The next step of a choice.
struct ChoiceStep {
    ChoiceState state = ChoiceState::Wait;
    std::string backend; ///< Name of the server if one was chosen.
};

/// Chooses a server by the load reports of a few servers that are probed immediately before. Load shifts within milliseconds, so older reports say
/// little. A server that does not answer a probe gets no request.
class ServerChooser
{
public:
    /// @param self name of this entry VM.
    explicit ServerChooser(std::string self);

    /// @param self name of this entry VM. @param pool already configured with @p service.
    void configure(const Service &service, const BackendPool &pool, const std::string &self);

    /// Begins the next round. @return indices of the servers to probe; empty if no server is available or the probe budget is exhausted.
    std::vector<std::size_t> nextRound(TimePoint now, const BackendPool &pool, const ServerFilter &filter, Choice &choice, Random &random);
    /// @return whether the budget allows a probe outside the rounds; if so, it is counted.
    bool takeProbe(TimePoint now);
    /// Evaluates the reports received so far.
    ChoiceStep evaluate(TimePoint now, const BackendPool &pool, const ServerFilter &filter, const ChoiceRequirements &requirements, const Choice &choice) const;

    /// @return whether any server that is not unusable has a report recent enough to choose by.
    static bool hasRecentReport(TimePoint now, const BackendPool &pool, const ServerFilter &filter);

    ResponseTimeModel &model();
    const ResponseTimeModel &model() const;
    ServerHints &hints();
    const ServerHints &hints() const;

private:
    /// @param indices of servers. @param isAvoided whether to consider those that hints name as slow, or the others.
    /// @return the usable server with the shortest expected response time, and that time in milliseconds; nullptr if none is usable.
    std::pair<const Backend *, double> fastest(
        TimePoint now, const BackendPool &pool, std::span<const std::size_t> indices, const ChoiceRequirements &requirements, bool isAvoided) const;
    /// @return whether a request may be sent to @p backend on the basis of its last report.
    bool isUsable(const Backend &backend, const ChoiceRequirements &requirements, TimePoint now) const;

    /// @return whether @p backend has the free capacity that such a request requires.
    bool hasRequiredCapacity(const Backend &backend, const ChoiceRequirements &requirements) const;
    bool isPreferred(const Backend &backend) const;

    /// Moves servers that hints name as slow to the end of @p available; the last of @p wanted probes goes to one of them if @p includesAvoided.
    void moveAvoidedToBack(TimePoint now, const BackendPool &pool, std::vector<std::size_t> &available, std::size_t wanted, bool includesAvoided) const;

    ResponseTimeModel model_;
    ServerHints hints_;
    /// Probe budget. The rate is fixed per entry VM, so the total of all entry VMs is bounded without coordination.
    TokenBucket probeTokens_{0, 0};
    double reservedProbes_ = 0; ///< Tokens that rounds of probes leave to takeProbe().
    std::set<std::string, std::less<>> preferred_; ///< Names of the servers that are probed first.
};

} // namespace Cloverbarrow
