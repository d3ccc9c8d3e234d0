/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/relayserver.h"

#include "core/support/httpstatus.h"
#include "net/bootclock.h"
#include "net/relaymessages.h"

#include <utility>

namespace Cloverbarrow
{

namespace
{

// Long enough for a new relay to read the directory.
constexpr Duration MaxListWait = seconds(1);
// Shorter than the timeout of a follower's relay check.
constexpr Duration MaxProofWait = milliseconds(300);

HttpAnswer answerOf(int status, std::string body)
{
    HttpAnswer answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = std::move(body);
    return answer;
}

HttpAnswer proofAnswer(const std::optional<RelayProof> &proof)
{
    return proof ? answerOf(HttpStatus::Ok, encodeProof(*proof)) : answerOf(HttpStatus::Unavailable, "{}");
}

} // namespace

RelayServer::RelayServer(const std::string &address, RelaySource source)
    : source_(std::move(source))
{
    CallerServerOptions options;
    options.address = address;
    options.threads = 1;
    options.use.halfCloseIsGone = true;
    server_ = std::make_unique<CallerServer>(
        options, [this](const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request) { accept(connection, request); });
}

RelayServer::~RelayServer() = default;

std::uint16_t RelayServer::port() const
{
    return server_->port();
}

void RelayServer::accept(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request)
{
    if (const auto follower = parseProofTarget(request.target)) {
        acceptProofRequest(connection, *follower);
        return;
    }
    if (request.target == CrashNewsTarget) {
        const bool isAccepted = source_.crashNews && source_.crashNews(request.body);
        connection->answer(answerOf(isAccepted ? HttpStatus::Ok : HttpStatus::NotFound, "{}"), false);
        return;
    }
    if (request.target == LimitsTarget) {
        const auto localReports = source_.limits ? source_.limits(request.body) : std::nullopt;
        connection->answer(answerOf(localReports ? HttpStatus::Ok : HttpStatus::NotFound, localReports.value_or("{}")), false);
        return;
    }
    const auto updateRequest = parseNewsTarget(request.target);
    if (!updateRequest) {
        connection->answer(answerOf(HttpStatus::NotFound, "{}"), false);
        return;
    }
    const TimePoint now = bootNow();
    const Waiting waiting{connection, updateRequest->collection, updateRequest->since, now + (updateRequest->since == 0 ? MaxListWait : updateRequest->wait)};
    std::optional<HttpAnswer> answer;
    {
        const std::lock_guard lock(mutex_);
        answer = answerFor(waiting, now);
        if (!answer) {
            waiting_.push_back(waiting);
        }
    }
    if (answer) {
        give({{connection, std::move(*answer)}});
    }
}

void RelayServer::acceptProofRequest(const std::shared_ptr<CallerConnection> &connection, const std::string &follower)
{
    const auto proof = source_.proof(follower);
    if (!proof && source_.isStarting()) {
        // After all entry VMs were killed, the whole zone asks at the same time. Followers that are answered as soon as the first proof
        // is available need not ask again.
        const std::lock_guard lock(mutex_);
        awaitProof_.push_back({connection, follower, bootNow() + MaxProofWait});
        return;
    }
    connection->answer(proofAnswer(proof), false);
}

void RelayServer::answerProofs(TimePoint now)
{
    Ready ready;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(awaitProof_, [this, now, &ready](const AwaitsProof &item) {
            if (item.connection->isGone()) {
                return true;
            }
            const auto proof = source_.proof(item.follower);
            if (!proof && now < item.until) {
                return false;
            }
            ready.emplace_back(item.connection, proofAnswer(proof));
            return true;
        });
    }
    give(ready);
}

std::optional<HttpAnswer> RelayServer::answerFor(const Waiting &waiting, TimePoint now)
{
    return waiting.since == 0 ? listFor(waiting, now) : changesFor(waiting, now);
}

std::optional<HttpAnswer> RelayServer::listFor(const Waiting &waiting, TimePoint now)
{
    if (!lists_.hasTurn(waiting.collection)) {
        return std::nullopt;
    }
    std::int64_t since = 0;
    const HttpAnswer *list = lists_.recent(waiting.collection, now, since);
    // The cached list is usable only while the changes since its revision are still available.
    const auto changes = list ? source_.news(waiting.collection, since) : std::nullopt;
    std::int64_t latest = changes ? changes->revision : 0;
    if (!changes) {
        const auto update = source_.news(waiting.collection, 0);
        if (!update) {
            return now >= waiting.until ? std::optional(answerOf(HttpStatus::Gone, "{}")) : std::nullopt;
        }
        list = &lists_.pack(waiting.collection, now, *update);
        latest = update->revision;
    }
    HttpAnswer answer = *list;
    answer.headers.push_back({LatestHeader, std::to_string(latest)});
    lists_.willSend(waiting.collection, waiting.connection);
    return answer;
}

std::optional<HttpAnswer> RelayServer::changesFor(const Waiting &waiting, TimePoint now)
{
    const auto update = source_.news(waiting.collection, waiting.since);
    if (!update) {
        return answerOf(HttpStatus::Gone, "{}");
    }
    if (update->entries.empty() && now < waiting.until) {
        return std::nullopt;
    }
    Told &cached = told_[indexOf(waiting.collection)];
    if (cached.since != waiting.since || cached.revision != update->revision) {
        cached = {waiting.since, update->revision, newsAnswer(*update)};
    }
    return cached.answer;
}

void RelayServer::give(const Ready &ready)
{
    for (const auto &[connection, answer] : ready) {
        connection->answer(answer, false);
    }
    const std::lock_guard lock(mutex_);
    for (const auto &[connection, answer] : ready) {
        lists_.handedOver(connection);
    }
}

void RelayServer::answerWaiting()
{
    const TimePoint now = bootNow();
    answerProofs(now);
    answerThose(now, [](const Waiting &) { return true; });
}

void RelayServer::answerThose(TimePoint now, const std::function<bool(const Waiting &)> &isDue)
{
    Ready ready;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(waiting_, [this, now, &isDue, &ready](const Waiting &item) {
            if (!isDue(item)) {
                return false;
            }
            if (item.connection->isGone()) {
                return true;
            }
            auto answer = answerFor(item, now);
            if (answer) {
                ready.emplace_back(item.connection, std::move(*answer));
            }
            return answer.has_value();
        });
    }
    give(ready);
}

void RelayServer::sweep(TimePoint now)
{
    server_->sweep(now);
    answerProofs(now);
    // Deferred lists may be sendable now. Looking for changes costs more, so answerWaitingFollowers() does it, after a change.
    answerThose(now, [now](const Waiting &item) { return item.since == 0 || now >= item.until; });
}

} // namespace Cloverbarrow
