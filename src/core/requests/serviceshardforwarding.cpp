/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/retryafter.h"
#include "core/requests/serviceshard.h"
#include "core/support/httpstatus.h"

#include <algorithm>
#include <iterator>
#include <utility>

// The part of ServiceShard that forwards requests to other entry VMs while this one is partitioned from all backend servers.

namespace Cloverbarrow
{

namespace
{

// The first peer may be partitioned as well, and the second one restarting.
constexpr int MaxForwards = 3;
// Forwarded requests that are accepted in any case, and for each request of this entry VM's own callers. They bound what the callers of partitioned
// entry VMs take from those of this one.
constexpr std::size_t MinForwardedRequests = 8;
constexpr std::size_t ForwardedPerOwnRequest = 2;
// Servers that a forwarded request tells the peer to avoid. Bounds the size of its header.
constexpr std::size_t MaxAvoidedServers = 16;
// Servers are checked when an attempt over a new connection has had no answer for this part of its time. Checks take 0.3 s, so they end before attempts do.
constexpr int SilentTimeDivisor = 4;

bool isKnownNotExecuted(const ForwardOutcome &outcome)
{
    const auto *refused = std::get_if<ForwardRefused>(&outcome);
    return std::holds_alternative<NotSent>(outcome) || (refused && refused->problem.executionStatus == ExecutionStatus::NotExecuted);
}

/// @return whether the peer could not serve the request for a reason of its own.
bool isPeerUnable(const ForwardOutcome &outcome)
{
    const auto *refused = std::get_if<ForwardRefused>(&outcome);
    return refused ? refused->problem.isLocalFault : !std::holds_alternative<ForwardAnswered>(outcome);
}

/// Visitor that builds the refusal for a forwarded request without an answer.
struct ForwardProblemBuilder {
    const std::string &peer;

    Problem operator()(const ForwardAnswered &) const
    {
        return {};
    }
    Problem operator()(const ForwardRefused &refused) const
    {
        return refused.problem;
    }
    Problem operator()(const NotSent &failure) const
    {
        return {HttpStatus::ServiceUnavailable, ExecutionStatus::NotExecuted, "forward", peer, failure.reason, RetryAfterAtOtherEntryVm};
    }
    Problem operator()(const LostAnswer &failure) const
    {
        const int status = failure.isTimeout ? HttpStatus::GatewayTimeout : HttpStatus::BadGateway;
        return {status, ExecutionStatus::Unknown, "forward", peer, failure.reason, std::nullopt};
    }
};

} // namespace

void ServiceShard::on(TimePoint, const ForwardingPeersChanged &event, ServiceActions &)
{
    if (event.order > forwardingPeersOrder_) {
        forwardingPeersOrder_ = event.order;
        forwardingPeers_.setAddresses(event.peers);
    }
}

void ServiceShard::on(TimePoint now, const ForwardEnded &event, ServiceActions &actions)
{
    const bool isLost = std::holds_alternative<LostAnswer>(event.outcome);
    if (isExiting_ && (isLost || std::holds_alternative<NotSent>(event.outcome))) {
        endAborted(event.request, event.attempt, isLost, actions);
        return;
    }
    // The servers have rejected a request of this entry VM. Otherwise one that had rejected a forwarded request got 58 requests after the partition had ended.
    for (const ServerBackoff &backoff : event.backoffs) {
        applyBackoffNotice(now, backoff.server, BackoffRequest{backoff.remaining}, actions);
    }
    const auto attempt = takeRunning(event.request, event.attempt);
    if (!attempt) {
        return;
    }
    Request &request = requests_.at(event.request);
    if (isPeerUnable(event.outcome)) {
        forwardingPeers_.markUnable(now, attempt->address);
    } else {
        forwardingPeers_.markAble(attempt->address);
    }
    if (std::holds_alternative<ForwardAnswered>(event.outcome)) {
        cancelRunning(now, request, actions);
        actions.emplace_back(ReturnAnswer{event.request, event.attempt});
        requests_.erase(event.request);
        return;
    }
    const bool isNotExecuted = isKnownNotExecuted(event.outcome);
    request.mayHaveExecuted = request.mayHaveExecuted || !isNotExecuted;
    if (isNotExecuted) {
        request.isHandedOver = false;
        ++request.unsentAttempts;
    }
    const bool isAnotherPeerTried = isNotExecuted && isPeerUnable(event.outcome) && !request.isCallerGone && tryForward(now, request, actions);
    // An attempt in flight may still get an answer.
    if (isAnotherPeerTried || !request.running.empty()) {
        return;
    }
    Problem problem = std::visit(ForwardProblemBuilder{attempt->address}, event.outcome);
    if (request.mayHaveExecuted) {
        problem.executionStatus = ExecutionStatus::Unknown;
    }
    problem.isLocalFault = false;
    refuse(request, std::move(problem), actions);
    requests_.erase(event.request);
}

void ServiceShard::recordReachability(TimePoint now, const Attempt &attempt, const Request &request, const AttemptEnded &event)
{
    // A request that was not sent failed to open its connection.
    const bool isUnsent = std::holds_alternative<NotSent>(event.outcome);
    const bool usedNewConnection = isUnsent || event.usedNewConnection || needsNewConnection(kindClass(request));
    if (std::holds_alternative<CompleteAnswer>(event.outcome)) {
        reachability_.contactSucceeded(now, usedNewConnection);
        unresponsive_.answered(now, attempt.backend, false);
        return;
    }
    unresponsive_.failed(now, attempt.backend, attempt.startedAt, false);
    const auto *lost = std::get_if<LostAnswer>(&event.outcome);
    const auto failure = !lost ? ContactFailure::NotConnected : lost->isTimeout ? ContactFailure::Silent : ContactFailure::Reset;
    reachability_.contactFailed(now, {attempt.backend, failure, usedNewConnection, false, attempt.startedAt});
}

void ServiceShard::recordReachability(TimePoint now, const ProbeEnded &event)
{
    const bool usedNewConnection = event.isStatusCheck || event.usedNewConnection;
    if (event.liveness == ServerLiveness::Answered) {
        reachability_.contactSucceeded(now, usedNewConnection);
        unresponsive_.answered(now, event.backend, true);
        return;
    }
    unresponsive_.failed(now, event.backend, event.sentAt, true);
    const bool isReset = event.liveness == ServerLiveness::Rejected;
    const auto failure = !event.isConnected ? ContactFailure::NotConnected : isReset ? ContactFailure::Reset : ContactFailure::Silent;
    reachability_.contactFailed(now, {event.backend, failure, usedNewConnection, true, event.sentAt});
}

bool ServiceShard::needsNewConnection(KindClass kindClass) const
{
    return !service_->echoesExchangeTag || kindClass != KindClass::Read;
}

bool ServiceShard::isPartitionedFor(TimePoint now, KindClass kindClass) const
{
    if (!reachability_.hasFailures(now)) {
        return false;
    }
    const std::size_t servers = pool_.servingCount();
    return reachability_.isPartitioned(now, servers) || (needsNewConnection(kindClass) && reachability_.rejectsNewConnections(now, servers));
}

bool ServiceShard::mayAcceptForwarded(TimePoint now, KindClass kindClass) const
{
    const auto forwarded =
        static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [](const auto &entry) { return entry.second.arrival.isForwarded; }));
    const std::size_t own = requests_.size() - forwarded;
    return pool_.hasCandidate() && !isPartitionedFor(now, kindClass) && forwarded < MinForwardedRequests + ForwardedPerOwnRequest * own;
}

int ServiceShard::sentAttempts(const Request &request)
{
    return request.attempts - request.unsentAttempts;
}

bool ServiceShard::tryForward(TimePoint now, Request &request, ServiceActions &actions)
{
    // A read that was not sent had found no open connection.
    const KindClass effectiveClass = request.unsentAttempts > 0 ? KindClass::Write : kindClass(request);
    // A forwarded request is not forwarded again, so there are no loops.
    const bool isForwardable = !request.arrival.isForwarded && !isPayout(request) && request.forwards < MaxForwards && now < request.arrival.deadline;
    if (isExiting_ || !isForwardable || !isPartitionedFor(now, effectiveClass)) {
        return false;
    }
    const int attemptsLeft = request.arrival.maxAttempts - sentAttempts(request);
    const auto peer = attemptsLeft > 0 ? forwardingPeers_.choose(now, request.forwards > 0, random_) : std::nullopt;
    if (!peer) {
        return false;
    }
    ++request.forwards;
    ++request.attempts;
    request.isHandedOver = true;
    request.choice.reset();
    request.running.push_back({request.attempts, {}, *peer, now, {}, std::nullopt, std::nullopt, true});
    const Duration priorWait = request.arrival.priorWait + (now - request.arrival.arrivedAt);
    actions.emplace_back(StartForward{request.arrival.request,
                                      request.attempts,
                                      *peer,
                                      request.arrival.deadline,
                                      attemptsLeft,
                                      priorWait,
                                      !needsNewConnection(kindClass(request)),
                                      serversInBackoff(now)});
    return true;
}

std::vector<std::string> ServiceShard::serversInBackoff(TimePoint now) const
{
    std::vector<std::string> names;
    for (const Backend &backend : pool_.backends()) {
        if (now < backend.backoffUntil && names.size() < MaxAvoidedServers) {
            names.push_back(backend.server.name);
        }
    }
    return names;
}

void ServiceShard::forwardWaiting(TimePoint now, ServiceActions &actions)
{
    if (!isPartitionedFor(now, KindClass::Write)) {
        return;
    }
    for (auto &[id, request] : requests_) {
        const bool isWaiting = request.choice && request.running.empty();
        if (isWaiting) {
            tryForward(now, request, actions);
        }
    }
}

bool ServiceShard::forwardHedge(TimePoint now, Request &request, ServiceActions &actions)
{
    // The first attempt may reach its server when the partition ends.
    if (!tryForward(now, request, actions)) {
        return false;
    }
    retryBudget_.take(now);
    return true;
}

void ServiceShard::checkReachability(TimePoint now, ServiceActions &actions)
{
    const auto silentSince = probesBeforeChoice() ? silentNewConnectionSince(now) : std::nullopt;
    if (!silentSince && !reachability_.hasFailures(now)) {
        return;
    }
    const std::size_t wanted = reachability_.takeChecks(now, pool_.servingCount(), silentSince);
    const std::vector<std::size_t> order = wanted > 0 ? checkOrder(now) : std::vector<std::size_t>();
    for (std::size_t number = 0; number < std::min(wanted, order.size()) && chooser_.takeProbe(now); ++number) {
        const BackendServer &server = pool_.backends()[order[number]].server;
        reachability_.checkStarted(server.name);
        actions.emplace_back(StartProbe{0, server.name, server.address, service_->choiceProbes.path, std::nullopt, true});
    }
}

std::optional<TimePoint> ServiceShard::silentNewConnectionSince(TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto &[id, request] : requests_) {
        if (!needsNewConnection(kindClass(request))) {
            continue;
        }
        for (const Attempt &attempt : request.running) {
            const bool isSilent = !attempt.isForward && SilentTimeDivisor * (now - attempt.startedAt) >= request.arrival.deadline - attempt.startedAt;
            if (isSilent && (!first || attempt.startedAt < *first)) {
                first = attempt.startedAt;
            }
        }
    }
    return first;
}

std::vector<std::size_t> ServiceShard::checkOrder(TimePoint now)
{
    // Known failures say nothing new, and a full server may reset new connections, so servers without failures and with free slots come first.
    std::vector<std::pair<int, std::size_t>> ranked;
    const auto servers = pool_.backends();
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const Backend &backend = servers[index];
        if (!backend.isLeaving && !backend.isEvacuated) {
            const bool isFull = outstandingRequests(backend) >= slotsOf(backend);
            ranked.emplace_back((reachability_.isUnchecked(now, backend.server.name) ? 0 : 2) + (isFull ? 1 : 0), index);
        }
    }
    for (std::size_t left = ranked.size(); left > 1; --left) {
        std::swap(ranked[left - 1], ranked[random_.below(left)]);
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<std::size_t> order;
    std::transform(ranked.begin(), ranked.end(), std::back_inserter(order), [](const auto &entry) { return entry.second; });
    return order;
}

void ServiceShard::reportReachability(TimePoint now, ServiceActions &actions)
{
    ServerReachabilityChanged current;
    if (reachability_.hasFailures(now)) {
        const std::size_t servers = pool_.servingCount();
        current = {reachability_.isPartitioned(now, servers), reachability_.rejectsNewConnections(now, servers)};
    }
    if (current != reportedReachability_) {
        reportedReachability_ = current;
        actions.emplace_back(current);
    }
}

} // namespace Cloverbarrow
