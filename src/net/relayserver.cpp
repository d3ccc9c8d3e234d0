/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/relayserver.h"

#include "core/support/httpstatus.h"
#include "net/bootclock.h"
#include "net/crashjson.h"
#include "net/forwarding.h"
#include "net/problemjson.h"
#include "net/quotamessages.h"
#include "net/relaymessages.h"
#include "net/rolloutmessages.h"

#include <utility>

namespace Cloverbarrow
{

namespace
{

// Long enough for a new relay to read the directory.
constexpr Duration MaxListWait = seconds(1);
// Shorter than the timeout of a follower's relay check.
constexpr Duration MaxProofWait = milliseconds(300);
constexpr std::size_t MaxLoggedText = 64;

HttpAnswer answerOf(int status, std::string body)
{
    HttpAnswer answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = std::move(body);
    return answer;
}

/// @param slowServers returns the reports on slow servers to send with it; may be null.
HttpAnswer proofAnswer(ProofAnswer answer, const std::function<std::string()> &slowServers)
{
    if (answer.proof && slowServers) {
        answer.proof->slowServers = slowServers();
    }
    return answerOf(answer.proof ? HttpStatus::Ok : HttpStatus::ServiceUnavailable, encodeProofAnswer(answer.proof, answer.referral));
}

} // namespace

RelayServer::RelayServer(const std::string &address, RelaySource source, std::shared_ptr<MemoryBudget> memory)
    : source_(std::move(source))
    , log_("relay")
{
    CallerServerOptions options;
    options.address = address;
    options.threads = 1;
    options.logPart = "peer connections";
    options.connectionOptions.treatsHalfCloseAsClosed = true;
    options.connectionOptions.memory = std::move(memory);
    options.connectionOptions.refusal = [this](const HttpRequest &head, const MemoryCounts &counts) { return refuseForMemory(head, counts); };
    server_ = std::make_unique<CallerServer>(
        options, [this](const std::shared_ptr<CallerConnection> &connection, HttpRequest request) { accept(connection, std::move(request)); });
}

RelayServer::~RelayServer() = default;

std::uint16_t RelayServer::port() const
{
    return server_->port();
}

ConnectionCounts RelayServer::connectionCounts() const
{
    return server_->connectionCounts();
}

std::size_t RelayServer::unfinishedConnections() const
{
    return server_->unfinishedConnections();
}

void RelayServer::stop()
{
    server_->stop();
}

void RelayServer::accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request)
{
    if (source_.acceptForwarded && findHeader(request.headers, ForwardHeader)) {
        source_.acceptForwarded(connection, std::move(request));
        return;
    }
    if (const auto follower = parseProofTarget(request.target)) {
        const bool reportsStore = findHeader(request.headers, StoreReportHeader).has_value();
        acceptProofRequest(connection, {*follower, reportsStore}, std::string(request.body));
        return;
    }
    if (request.target == CrashUpdatesTarget) {
        const bool isUrgent = findHeader(request.headers, UrgentHeader).has_value();
        const auto response = source_.acceptCrashUpdates ? source_.acceptCrashUpdates(std::string(request.body), isUrgent) : std::nullopt;
        const int status = !response ? HttpStatus::NotFound : response->isAccepted ? HttpStatus::Ok : HttpStatus::TooManyRequests;
        connection->answer(answerOf(status, response ? encodeCrashUpdatesAnswer(response->isReplySent) : "{}"), false);
        return;
    }
    if (request.target == RolloutReportsTarget) {
        const bool isAccepted = source_.acceptRolloutReports && source_.acceptRolloutReports(std::string(request.body));
        connection->answer(answerOf(isAccepted ? HttpStatus::Ok : HttpStatus::NotFound, "{}"), false);
        return;
    }
    if (request.target == LimitsTarget) {
        const auto localReports = source_.exchangeLimits ? source_.exchangeLimits(std::string(request.body)) : std::nullopt;
        connection->answer(answerOf(localReports ? HttpStatus::Ok : HttpStatus::NotFound, localReports.value_or("{}")), false);
        return;
    }
    if (request.target == QuotaTarget) {
        const auto grants = source_.grantQuota ? source_.grantQuota(std::string(request.body)) : std::nullopt;
        connection->answer(answerOf(grants ? HttpStatus::Ok : HttpStatus::NotFound, grants.value_or("{}")), false);
        return;
    }
    const auto updateRequest = parseCollectionUpdateTarget(request.target);
    if (!updateRequest) {
        connection->answer(answerOf(HttpStatus::NotFound, "{}"), false);
        return;
    }
    const TimePoint now = bootNow();
    const WaitingFollower waiting{
        connection, updateRequest->collection, updateRequest->since, now + (updateRequest->since == 0 ? MaxListWait : updateRequest->wait)};
    std::optional<HttpAnswer> answer;
    {
        const std::lock_guard lock(mutex_);
        answer = answerFor(waiting, now);
        if (!answer) {
            waiting_.push_back(waiting);
        }
    }
    if (answer) {
        sendAnswers({{connection, std::move(*answer)}});
    }
}

HttpAnswer RelayServer::refuseForMemory(const HttpRequest &head, const MemoryCounts &counts) const
{
    Problem problem = memoryProblem(counts);
    log_.warn("message refused", {{"detail", problem.detail}, {"target", std::string_view(head.target).substr(0, MaxLoggedText)}});
    const auto tag = findHeader(head.headers, ForwardTagHeader);
    if (!tag) {
        return problemAnswer(problem);
    }
    // The entry VM that has forwarded the request may try another one.
    problem.isLocalFault = true;
    return forwardedRefusal(problem, std::string(*tag));
}

void RelayServer::acceptProofRequest(const std::shared_ptr<CallerConnection> &connection, const ProofRequest &request, const std::string &body)
{
    const auto slowServers = source_.acceptSlowServers && !body.empty() ? source_.acceptSlowServers(request.follower, body) : nullptr;
    const ProofAnswer answer = source_.proof(request);
    if (!answer.proof && source_.isStarting()) {
        // After all entry VMs were killed, the whole zone asks at the same time. Followers that are answered as soon as the first proof
        // is available need not ask again.
        const std::lock_guard lock(mutex_);
        waitingProofRequests_.push_back({connection, request, bootNow() + MaxProofWait, slowServers});
        return;
    }
    connection->answer(proofAnswer(answer, slowServers), false);
}

void RelayServer::answerProofs(TimePoint now)
{
    ReadyAnswers ready;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(waitingProofRequests_, [this, now, &ready](const WaitingProofRequest &item) {
            if (item.connection->isGone()) {
                item.connection->callerGone();
                return true;
            }
            const ProofAnswer answer = source_.proof(item.request);
            if (!answer.proof && now < item.until) {
                return false;
            }
            ready.emplace_back(item.connection, proofAnswer(answer, item.slowServers));
            return true;
        });
    }
    sendAnswers(ready);
}

std::optional<HttpAnswer> RelayServer::answerFor(const WaitingFollower &waiting, TimePoint now)
{
    return waiting.since == 0 ? listFor(waiting, now) : changesFor(waiting, now);
}

std::optional<HttpAnswer> RelayServer::listFor(const WaitingFollower &waiting, TimePoint now)
{
    if (!lists_.maySend(waiting.collection)) {
        return std::nullopt;
    }
    std::int64_t since = 0;
    const HttpAnswer *list = lists_.cachedList(waiting.collection, now, since);
    // The cached list is usable only while the changes since its revision are still available.
    const auto changes = list ? source_.collectionUpdate(waiting.collection, since) : std::nullopt;
    std::int64_t latest = changes ? changes->revision : 0;
    if (!changes) {
        const auto update = source_.collectionUpdate(waiting.collection, 0);
        if (!update) {
            return now >= waiting.until ? std::optional(answerOf(HttpStatus::Gone, "{}")) : std::nullopt;
        }
        list = &lists_.storeList(waiting.collection, now, *update);
        latest = update->revision;
    }
    HttpAnswer answer = *list;
    answer.headers.push_back({LatestRevisionHeader, std::to_string(latest)});
    lists_.addInFlight(waiting.collection, waiting.connection);
    return answer;
}

std::optional<HttpAnswer> RelayServer::changesFor(const WaitingFollower &waiting, TimePoint now)
{
    const auto update = source_.collectionUpdate(waiting.collection, waiting.since);
    if (!update) {
        return answerOf(HttpStatus::Gone, "{}");
    }
    if (update->entries.empty() && now < waiting.until) {
        return std::nullopt;
    }
    CachedChanges &cached = cachedChanges_[indexOf(waiting.collection)];
    if (cached.since != waiting.since || cached.revision != update->revision) {
        cached = {waiting.since, update->revision, collectionUpdateAnswer(*update)};
    }
    return cached.answer;
}

void RelayServer::sendAnswers(const ReadyAnswers &ready)
{
    for (const auto &[connection, answer] : ready) {
        connection->answer(answer, false);
    }
    const std::lock_guard lock(mutex_);
    for (const auto &[connection, answer] : ready) {
        lists_.markQueued(connection);
    }
}

void RelayServer::answerWaitingFollowers()
{
    const TimePoint now = bootNow();
    answerProofs(now);
    answerDue(now, [](const WaitingFollower &) { return true; });
}

void RelayServer::answerDue(TimePoint now, const std::function<bool(const WaitingFollower &)> &isDue)
{
    ReadyAnswers ready;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(waiting_, [this, now, &isDue, &ready](const WaitingFollower &item) {
            if (!isDue(item)) {
                return false;
            }
            if (item.connection->isGone()) {
                item.connection->callerGone();
                return true;
            }
            auto answer = answerFor(item, now);
            if (answer) {
                ready.emplace_back(item.connection, std::move(*answer));
            }
            return answer.has_value();
        });
    }
    sendAnswers(ready);
}

void RelayServer::checkTimeouts(TimePoint now)
{
    server_->checkTimeouts(now);
    answerProofs(now);
    // Deferred lists may be sendable now. Looking for changes costs more, so answerWaitingFollowers() does it, after a change.
    answerDue(now, [now](const WaitingFollower &item) { return item.since == 0 || now >= item.until; });
}

} // namespace Cloverbarrow
