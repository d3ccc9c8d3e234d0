/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/overloadpolicy.h"
#include "core/requests/retryafter.h"
#include "core/requests/serviceshard.h"
#include "core/support/httpstatus.h"

#include <algorithm>
#include <array>
#include <optional>
#include <span>
#include <utility>

// The part of ServiceShard that chooses servers by probes and hedges slow reads.

namespace Cloverbarrow
{

namespace
{

// A server is probed when its answer takes longer than this fraction of the latency objective.
constexpr double CheckAfterObjectives = 0.5;
// Retries that hedges must leave in the budget for failed requests.
constexpr int HedgeReserve = 1;

/// @return whether the pool has servers that may get requests and all of them are among @p down, which is sorted.
bool areAllDown(const BackendPool &pool, std::span<const std::string> down)
{
    const auto servers = pool.backends();
    const auto isDown = [down](const Backend &backend) { return std::binary_search(down.begin(), down.end(), backend.server.name); };
    return !down.empty() && std::all_of(servers.begin(), servers.end(), [&isDown](const Backend &backend) {
        return backend.isLeaving || backend.isEvacuated || isDown(backend);
    });
}

} // namespace

bool ServiceShard::probesBeforeChoice() const
{
    return service_->choiceProbes.probesPerSecond > 0;
}

void ServiceShard::beginChoice(TimePoint now, Request &request, bool isHedge, ServiceActions &actions)
{
    request.choice.emplace();
    request.choice->isHedge = isHedge;
    const bool isLimited = retryAfterIfAllLimited(now, request.arrival.latencyObjective).has_value();
    request.choiceDeadline = isLimited ? now : std::min(now + holdTime(now, request), request.arrival.deadline);
    if (areAllDown(pool_, unresponsive_.servers(now, UnresponsiveEvidence::RepeatedFailure))) {
        // One of them may be back; it answers the probes of this request by then.
        request.choiceDeadline = std::min(request.choiceDeadline, now + UnresponsiveServers::ProbeAnswerTime);
    }
    continueChoice(now, request, actions);
}

std::optional<Duration> ServiceShard::retryAfterIfAllLimited(TimePoint now, Duration objective) const
{
    const auto until = probesBeforeChoice() ? pool_.rateLimitedUntil(now) : std::nullopt;
    if (!until || *until <= now + maxQueueTime(objective)) {
        return std::nullopt;
    }
    // An entry VM whose quotas are 0 cannot tell when capacity becomes free; its peers may have free capacity.
    return std::min(*until == TimePoint::max() ? Duration::max() : *until - now, retryAfterShortage(objective));
}

void ServiceShard::continueChoice(TimePoint now, Request &request, ServiceActions &actions)
{
    if (now >= request.arrival.deadline) {
        // The next tick ends the choice.
        return;
    }
    if (const auto limitCheck = request.choice->isHedge || silence_.isActive(now) ? std::nullopt : pool_.takeForLimitCheck(now, filterOf(request))) {
        startChosen(now, limitCheck, request, actions);
        return;
    }
    const ChoiceStep step = chooser_.evaluate(now, pool_, filterOf(request), requirementsOf(now, request), *request.choice);
    if (step.state == ChoiceState::Chosen) {
        startChosen(now, pool_.takeNamed(now, step.backend), request, actions);
    } else if (step.state == ChoiceState::NeedsProbes) {
        probeServers(now, request, actions);
    }
}

void ServiceShard::dispatch(TimePoint now, ServiceActions &actions)
{
    for (const RequestId id : choosingRequestsInOrder(now)) {
        Request &request = requests_.at(id);
        const ChoiceStep step = chooser_.evaluate(now, pool_, filterOf(request), requirementsOf(now, request), *request.choice);
        if (step.state == ChoiceState::Chosen) {
            startChosen(now, pool_.takeNamed(now, step.backend), request, actions);
        }
    }
}

std::vector<RequestId> ServiceShard::choosingRequestsInOrder(TimePoint now) const
{
    std::vector<WaitingRequest> waiting;
    for (const auto &[id, request] : requests_) {
        if (request.choice && now < request.arrival.deadline) {
            const ChoiceRequirements requirements = requirementsOf(now, request);
            waiting.push_back({id, requirements.hasPriority, requirements.missesObjective});
        }
    }
    return inServingOrder(std::move(waiting));
}

ChoiceRequirements ServiceShard::requirementsOf(TimePoint now, const Request &request) const
{
    ChoiceRequirements requirements;
    requirements.objective = request.arrival.latencyObjective;
    const Duration left = objectiveLeft(now, request);
    requirements.timeLeft = std::max(left, maxQueueTime(requirements.objective));
    requirements.missesObjective = isTooLate(left, chooser_.model().unloadedLatencyMs(requirements.objective));
    requirements.hasPriority = request.arrival.priority < lowestPriority_;
    if (request.choice->isHedge || requirements.missesObjective) {
        // A late answer is still better than none, so these requests may wait until the deadline.
        requirements.timeLeft = request.arrival.deadline - now;
    }
    requirements.serversDropRequests = silence_.isActive(now);
    requirements.mustBeAccepted = requirements.serversDropRequests && kindClass(request) != KindClass::Read;
    requirements.acceptsAny = !request.choice->isHedge && now >= request.choiceDeadline;
    return requirements;
}

Duration ServiceShard::objectiveLeft(TimePoint now, const Request &request) const
{
    return request.arrival.arrivedAt - request.arrival.priorWait + request.arrival.latencyObjective - now;
}

void ServiceShard::probeServers(TimePoint now, Request &request, ServiceActions &actions)
{
    const auto probed = chooser_.nextRound(now, pool_, filterOf(request), *request.choice, random_);
    if (probed.empty()) {
        chooseByEarlierReports(now, request, actions);
        return;
    }
    request.serversProbed += static_cast<int>(probed.size());
    for (const std::size_t index : probed) {
        const BackendServer &server = pool_.backends()[index].server;
        unresponsive_.probeStarted(now, server.name);
        actions.emplace_back(StartProbe{0, server.name, server.address, service_->choiceProbes.path, request.arrival.request});
    }
}

void ServiceShard::chooseByEarlierReports(TimePoint now, Request &request, ServiceActions &actions)
{
    ChoiceRequirements requirements = requirementsOf(now, request);
    requirements.acceptsOldReports = true;
    // A server that has stopped answering still looks idle by its last report, and a request that is sent there ends at its deadline. So the servers with the
    // least evidence against them come first, and those that are known to be down get no request.
    constexpr std::array Ascending = {UnresponsiveEvidence::SlowProbe, UnresponsiveEvidence::Failure, UnresponsiveEvidence::RepeatedFailure};
    ServerFilter filter = filterOf(request);
    std::optional<std::size_t> lastCount;
    for (const auto evidence : Ascending) {
        const std::vector<std::string> unresponsive = unresponsive_.servers(now, evidence);
        if (std::exchange(lastCount, unresponsive.size()) == unresponsive.size()) {
            // Each kind of evidence includes the next one, so these are the same servers.
            continue;
        }
        filter.unusable = unresponsive;
        const ChoiceStep step = chooser_.evaluate(now, pool_, filter, requirements, *request.choice);
        if (step.state == ChoiceState::Chosen) {
            startChosen(now, pool_.takeNamed(now, step.backend), request, actions);
            return;
        }
    }
    const std::vector<std::string> failed = unresponsive_.servers(now, UnresponsiveEvidence::Failure);
    filter.unusable = failed;
    if (requirements.serversDropRequests || ServerChooser::hasRecentReport(now, pool_, filter)) {
        return;
    }
    // When no server answers probes, requests are still sent, to servers without a report.
    for (const auto evidence : Ascending) {
        const std::vector<std::string> unresponsive = unresponsive_.servers(now, evidence);
        filter.unusable = unresponsive;
        if (const auto index = pool_.takeUnreported(now, random_, filter)) {
            startChosen(now, index, request, actions);
            return;
        }
    }
}

void ServiceShard::startChosen(TimePoint now, std::optional<std::size_t> index, Request &request, ServiceActions &actions)
{
    if (!index) {
        return;
    }
    if (request.choice->isHedge && !retryBudget_.take(now)) {
        pool_.release(pool_.backends()[*index].server.name, AttemptQuality::Neutral, Duration(0), now);
        request.choice.reset();
        return;
    }
    request.choice.reset();
    startAt(now, pool_.backends()[*index], request, actions);
}

bool ServiceShard::abandonChoice(TimePoint now, Request &request, ServiceActions &actions)
{
    if (request.choice->isHedge) {
        request.choice.reset();
        return false;
    }
    if (now < request.arrival.deadline) {
        chooseByEarlierReports(now, request, actions);
    }
    if (!request.choice) {
        return false;
    }
    const ExecutionStatus status = request.mayHaveExecuted ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted;
    const Duration objective = request.arrival.latencyObjective;
    const auto untilUnlimited = retryAfterIfAllLimited(now, objective);
    std::optional<Duration> retryAfter = pool_.hasCandidate() ? untilUnlimited.value_or(retryAfterShortage(objective)) : RetryAfterWithoutServer;
    if (pool_.hasCandidate() && !untilUnlimited && sharesScarceCapacity()) {
        retryAfter = retryAfterScarcity(now, request.arrival);
    }
    const auto cause = sharesScarceCapacity() && pool_.hasCandidate() ? RefusalCause::Capacity : RefusalCause::Other;
    refuse(
        request, {HttpStatus::ServiceUnavailable, status, "choose backend server", name_, noCapacityDetail(now, request), retryAfter, false, cause}, actions);
    return true;
}

std::string ServiceShard::noCapacityDetail(TimePoint now, const Request &request) const
{
    const bool isLate = requirementsOf(now, request).missesObjective;
    const auto servers = pool_.backends();
    const auto hasReported = [now](const Backend &backend) { return backend.reportedAt && now - *backend.reportedAt < seconds(1); };
    const auto reported = std::count_if(servers.begin(), servers.end(), hasReported);
    const auto withCapacity = std::count_if(
        servers.begin(), servers.end(), [&](const Backend &backend) { return hasReported(backend) && chooser_.model().hasFreeCapacity(backend); });
    return "no backend server has room to answer in time: of " + std::to_string(servers.size()) + ", " + std::to_string(reported)
        + " told of themselves within 1 s, " + std::to_string(withCapacity) + " with room"
        + (isLate ? ", which is left to requests that can still meet their objective" : "");
}

void ServiceShard::tickChoices(TimePoint now, ServiceActions &actions)
{
    for (auto entry = requests_.begin(); entry != requests_.end();) {
        Request &request = entry->second;
        bool isOver = false;
        // Without any usable server, waiting is useless: the last zone was evacuated, or the last server left.
        if (request.choice && (now >= request.choiceDeadline || !pool_.hasCandidate())) {
            isOver = abandonChoice(now, request, actions);
        } else if (request.choice && now >= request.choice->probeDeadline) {
            continueChoice(now, request, actions);
        }
        entry = isOver ? requests_.erase(entry) : std::next(entry);
    }
}

void ServiceShard::hedgeUnresponsive(TimePoint now, ServiceActions &actions)
{
    // A slow answer alone does not cause a hedge. Servers report how slow they are, so requests already go where they finish soonest, and
    // hedging at half of the objective cost more slots than it gained: 0 to 0.008 of the score was lost on days of three deployments.
    for (auto &[id, request] : requests_) {
        if (!mayHedge(now, request)) {
            checkWrite(now, request, actions);
            continue;
        }
        probeSlowServer(now, request, actions);
        const bool isLost = isServerUnresponsive(now, request) || isDropped(now, request.running.front());
        if (isLost && retryBudget_.isAvailable(now, 0) && !forwardHedge(now, request, actions)) {
            beginChoice(now, request, true, actions);
        }
    }
}

void ServiceShard::hedgeSlow(TimePoint now, ServiceActions &actions)
{
    const double latencyMs = pool_.meanLatencyMs();
    for (auto &[id, request] : requests_) {
        if (!mayHedge(now, request) || !isSlow(now, request, latencyMs) || !takeHedgeFromBudget(now)) {
            continue;
        }
        if (const auto index = pool_.takeUntried(now, random_, filterOf(request))) {
            startAt(now, pool_.backends()[*index], request, actions);
        }
    }
}

bool ServiceShard::takeHedgeFromBudget(TimePoint now)
{
    return service_->retry.hedgesFromBudget ? retryBudget_.take(now, HedgeReserve) : hedgeBudget_.take(now);
}

void ServiceShard::probeSlowServer(TimePoint now, Request &request, ServiceActions &actions)
{
    Attempt &attempt = request.running.front();
    // A full server shows whether it has dropped the request only when its queue has become shorter.
    const bool isCheckedRepeatedly = silence_.isActive(now) || attempt.wasServerFull;
    const TimePoint since = isCheckedRepeatedly ? attempt.checkedAt.value_or(attempt.startedAt) : attempt.startedAt;
    const bool isOverdue = toMilliseconds(now - since) >= CheckAfterObjectives * toMilliseconds(request.arrival.latencyObjective);
    const bool isChecked = attempt.checkedAt && !isCheckedRepeatedly;
    if (!isOverdue || isChecked || !chooser_.takeProbe(now)) {
        return;
    }
    attempt.checkedAt = now;
    actions.emplace_back(StartProbe{0, attempt.backend, attempt.address, service_->choiceProbes.path, request.arrival.request});
}

bool ServiceShard::isServerUnresponsive(TimePoint now, const Request &request) const
{
    const Attempt &attempt = request.running.front();
    if (!attempt.checkedAt || now - *attempt.checkedAt < UnresponsiveServers::ProbeAnswerTime) {
        return false;
    }
    const Backend *backend = pool_.find(attempt.backend);
    return !backend || !backend->reportedAt || *backend->reportedAt < *attempt.checkedAt;
}

bool ServiceShard::mayHedge(TimePoint now, const Request &request) const
{
    const bool isRead = kindClass(request) == KindClass::Read && !request.arrival.isPartOfRetry;
    const bool isInTime = now < request.arrival.deadline;
    const bool isTolerated = !mayCrashTooManyServers(now, request) && canFinishBeforeExit(now, request.arrival);
    const bool isAtServer = request.running.size() == 1 && !request.running.front().isForward;
    return isRead && isInTime && isTolerated && !request.choice && isAtServer && request.attempts < maxAttempts(request);
}

bool ServiceShard::isSlow(TimePoint now, const Request &request, double latencyMs)
{
    // Few answers take this many mean latencies, so a hedge is seldom wasted.
    constexpr double LatenciesToWait = 2;
    return latencyMs > 0 && toMilliseconds(now - request.running.front().startedAt) > LatenciesToWait * latencyMs;
}

} // namespace Cloverbarrow
