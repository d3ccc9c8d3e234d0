/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/comeback.h"
#include "core/requests/overloadpolicy.h"
#include "core/requests/serviceshard.h"
#include "core/support/httpstatus.h"

#include <algorithm>
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
// A responsive server answers a probe within this time.
constexpr Duration ProbeAnswerTime = milliseconds(50);

} // namespace

bool ServiceShard::probesFirst() const
{
    return service_.choiceProbes.probesPerSecond > 0;
}

void ServiceShard::beginChoice(TimePoint now, Request &request, bool isRescue, ServiceActions &actions)
{
    request.choice.emplace();
    request.choice->isRescue = isRescue;
    const bool isLimited = boundedFor(now, request.arrival.latencyObjective).has_value();
    request.giveUpAt = isLimited ? now : std::min(now + holdFor(request.arrival.latencyObjective), request.arrival.deadline);
    proceedWithChoice(now, request, actions);
}

std::optional<Duration> ServiceShard::boundedFor(TimePoint now, Duration objective) const
{
    const auto until = probesFirst() ? pool_.boundedUntil(now) : std::nullopt;
    if (!until || *until <= now + holdFor(objective)) {
        return std::nullopt;
    }
    // An entry VM whose quotas are 0 cannot tell when capacity becomes free; its peers may have free capacity.
    return std::min(*until == TimePoint::max() ? Duration::max() : *until - now, comeBackAfterShortage(objective));
}

void ServiceShard::proceedWithChoice(TimePoint now, Request &request, ServiceActions &actions)
{
    if (const auto trial = request.choice->isRescue ? std::nullopt : pool_.takeLimitTrial(now, request.tried)) {
        startChosen(now, trial, request, actions);
        return;
    }
    const ChoiceStep step = chooser_.look(now, pool_, request.tried, needOf(now, request), *request.choice);
    if (step.state == ChoiceState::Chosen) {
        startChosen(now, pool_.takeNamed(now, step.backend), request, actions);
    } else if (step.state == ChoiceState::NeedsProbes) {
        askServers(now, request, actions);
    }
}

void ServiceShard::dispatch(TimePoint now, ServiceActions &actions)
{
    for (const RequestId id : choosingInOrder(now)) {
        Request &request = requests_.at(id);
        const ChoiceStep step = chooser_.look(now, pool_, request.tried, needOf(now, request), *request.choice);
        if (step.state == ChoiceState::Chosen) {
            startChosen(now, pool_.takeNamed(now, step.backend), request, actions);
        }
    }
}

std::vector<RequestId> ServiceShard::choosingInOrder(TimePoint now) const
{
    std::vector<WaitingRequest> waiting;
    for (const auto &[id, request] : requests_) {
        if (request.choice) {
            const ChoiceNeed need = needOf(now, request);
            waiting.push_back({id, need.isUrgent, need.isLate});
        }
    }
    return inServingOrder(std::move(waiting));
}

ChoiceNeed ServiceShard::needOf(TimePoint now, const Request &request) const
{
    ChoiceNeed need;
    need.objective = request.arrival.latencyObjective;
    const Duration left = objectiveLeft(now, request);
    need.timeLeft = std::max(left, holdFor(need.objective));
    need.isLate = isTooLate(left, chooser_.model().workMs(need.objective));
    need.isUrgent = request.arrival.priority < lowestPriority_;
    if (request.choice->isRescue || need.isLate) {
        // A late answer is still better than none, so these requests may wait until the deadline.
        need.timeLeft = request.arrival.deadline - now;
    }
    need.isLastCall = !request.choice->isRescue && now >= request.giveUpAt;
    return need;
}

Duration ServiceShard::objectiveLeft(TimePoint now, const Request &request) const
{
    return request.arrival.arrivedAt - request.arrival.waitedBefore + request.arrival.latencyObjective - now;
}

void ServiceShard::askServers(TimePoint now, Request &request, ServiceActions &actions)
{
    const auto probed = chooser_.nextRound(now, pool_, request.tried, *request.choice, random_);
    if (probed.empty()) {
        chooseByOldReports(now, request, actions);
        return;
    }
    request.probes += static_cast<int>(probed.size());
    for (const std::size_t index : probed) {
        const BackendServer &server = pool_.backends()[index].server;
        actions.emplace_back(StartProbe{0, server.name, server.address, service_.choiceProbes.path, request.arrival.request});
    }
}

void ServiceShard::chooseByOldReports(TimePoint now, Request &request, ServiceActions &actions)
{
    ChoiceNeed need = needOf(now, request);
    need.takesOldReports = true;
    const ChoiceStep step = chooser_.look(now, pool_, request.tried, need, *request.choice);
    if (step.state == ChoiceState::Chosen) {
        startChosen(now, pool_.takeNamed(now, step.backend), request, actions);
    } else if (!ServerChooser::knowsAny(now, pool_)) {
        // When no server answers probes, requests are still sent, to servers without a report.
        startChosen(now, pool_.takeUnheard(now, random_, request.tried), request, actions);
    }
}

void ServiceShard::startChosen(TimePoint now, std::optional<std::size_t> index, Request &request, ServiceActions &actions)
{
    if (!index) {
        return;
    }
    if (request.choice->isRescue && !retryBudget_.take(now)) {
        pool_.release(pool_.backends()[*index].server.name, AttemptQuality::Neutral, Duration(0), now);
        request.choice.reset();
        return;
    }
    request.choice.reset();
    startAt(now, pool_.backends()[*index], request, actions);
}

bool ServiceShard::giveUpChoice(TimePoint now, Request &request, ServiceActions &actions)
{
    if (request.choice->isRescue) {
        request.choice.reset();
        return false;
    }
    chooseByOldReports(now, request, actions);
    if (!request.choice) {
        return false;
    }
    const Fate fate = request.mayHaveRun ? Fate::Unknown : Fate::NotRun;
    const Duration objective = request.arrival.latencyObjective;
    const Duration retryAfter = pool_.hasCandidate() ? boundedFor(now, objective).value_or(comeBackAfterShortage(objective)) : ComeBackWithoutServer;
    refuse(request, {HttpStatus::Unavailable, fate, "choose backend server", name_, noRoomDetail(now, request), retryAfter}, actions);
    return true;
}

std::string ServiceShard::noRoomDetail(TimePoint now, const Request &request) const
{
    const bool isLate = needOf(now, request).isLate;
    const auto servers = pool_.backends();
    const auto hasReported = [now](const Backend &backend) { return backend.reportedAt && now - *backend.reportedAt < seconds(1); };
    const auto reported = std::count_if(servers.begin(), servers.end(), hasReported);
    const auto withCapacity =
        std::count_if(servers.begin(), servers.end(), [&](const Backend &backend) { return hasReported(backend) && chooser_.model().hasRoom(backend); });
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
        if (request.choice && (now >= request.giveUpAt || !pool_.hasCandidate())) {
            isOver = giveUpChoice(now, request, actions);
        } else if (request.choice && now >= request.choice->decideAt) {
            proceedWithChoice(now, request, actions);
        }
        entry = isOver ? requests_.erase(entry) : std::next(entry);
    }
}

void ServiceShard::rescue(TimePoint now, ServiceActions &actions)
{
    // A slow answer alone does not cause a hedge. Servers report how slow they are, so requests already go where they finish soonest, and
    // hedging at half of the objective cost more slots than it gained: 0 to 0.008 of the score was lost on days of three deployments.
    for (auto &[id, request] : requests_) {
        if (!mayHedge(now, request)) {
            continue;
        }
        checkServer(now, request, actions);
        if (isServerSilent(now, request) && retryBudget_.has(now, 0)) {
            beginChoice(now, request, true, actions);
        }
    }
}

void ServiceShard::hedge(TimePoint now, ServiceActions &actions)
{
    const double latencyMs = pool_.meanLatencyMs();
    for (auto &[id, request] : requests_) {
        if (!mayHedge(now, request) || !isSlow(now, request, latencyMs) || !takeHedge(now)) {
            continue;
        }
        if (const auto index = pool_.takeFresh(now, random_, request.tried)) {
            startAt(now, pool_.backends()[*index], request, actions);
        }
    }
}

bool ServiceShard::takeHedge(TimePoint now)
{
    return service_.retry.hedgesFromBudget ? retryBudget_.take(now, HedgeReserve) : hedgeBudget_.take(now);
}

void ServiceShard::checkServer(TimePoint now, Request &request, ServiceActions &actions)
{
    Attempt &attempt = request.running.front();
    const bool isLong = toMilliseconds(now - attempt.startedAt) >= CheckAfterObjectives * toMilliseconds(request.arrival.latencyObjective);
    if (!isLong || attempt.checkedAt || !chooser_.takeProbe(now)) {
        return;
    }
    attempt.checkedAt = now;
    actions.emplace_back(StartProbe{0, attempt.backend, attempt.address, service_.choiceProbes.path, request.arrival.request});
}

bool ServiceShard::isServerSilent(TimePoint now, const Request &request) const
{
    const Attempt &attempt = request.running.front();
    if (!attempt.checkedAt || now - *attempt.checkedAt < ProbeAnswerTime) {
        return false;
    }
    const Backend *backend = pool_.find(attempt.backend);
    return !backend || !backend->reportedAt || *backend->reportedAt < *attempt.checkedAt;
}

bool ServiceShard::mayHedge(TimePoint now, const Request &request) const
{
    const bool isRead = kindClass(request) == KindClass::Read && !request.arrival.isRetryAbove;
    const bool isInTime = now < request.arrival.deadline;
    const bool isTolerated = !mayEndTooMany(now, request);
    return isRead && isInTime && isTolerated && !request.choice && request.running.size() == 1 && request.attempts < maxAttempts(request);
}

bool ServiceShard::isSlow(TimePoint now, const Request &request, double latencyMs)
{
    // Few answers take this many mean latencies, so a hedge is seldom wasted.
    constexpr double LatenciesToWait = 2;
    return latencyMs > 0 && toMilliseconds(now - request.running.front().startedAt) > LatenciesToWait * latencyMs;
}

} // namespace Cloverbarrow
