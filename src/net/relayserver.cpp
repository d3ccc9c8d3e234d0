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

// A relay that has just begun has read the directory by then.
constexpr Duration ListPatience = seconds(1);
// Below the time for which a follower waits for the answer.
constexpr Duration ProofPatience = milliseconds(300);

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
        const bool isTaken = source_.crashNews && source_.crashNews(request.body);
        connection->answer(answerOf(isTaken ? HttpStatus::Ok : HttpStatus::NotFound, "{}"), false);
        return;
    }
    if (request.target == LimitsTarget) {
        const auto own = source_.limits ? source_.limits(request.body) : std::nullopt;
        connection->answer(answerOf(own ? HttpStatus::Ok : HttpStatus::NotFound, own.value_or("{}")), false);
        return;
    }
    const auto asked = parseNewsTarget(request.target);
    if (!asked) {
        connection->answer(answerOf(HttpStatus::NotFound, "{}"), false);
        return;
    }
    const TimePoint now = bootNow();
    const Waiting waiting{connection, asked->collection, asked->since, now + (asked->since == 0 ? ListPatience : asked->wait)};
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
        // After all entry VMs were killed the whole zone asks at once. Told at the moment of the first proof, followers need not ask again.
        const std::lock_guard lock(mutex_);
        awaitProof_.push_back({connection, follower, bootNow() + ProofPatience});
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
    // What has changed since the list can be told only while it is remembered.
    const auto later = list ? source_.news(waiting.collection, since) : std::nullopt;
    std::int64_t latest = later ? later->revision : 0;
    if (!later) {
        const auto news = source_.news(waiting.collection, 0);
        if (!news) {
            return now >= waiting.until ? std::optional(answerOf(HttpStatus::Gone, "{}")) : std::nullopt;
        }
        list = &lists_.pack(waiting.collection, now, *news);
        latest = news->revision;
    }
    HttpAnswer answer = *list;
    answer.headers.push_back({LatestHeader, std::to_string(latest)});
    lists_.willSend(waiting.collection, waiting.connection);
    return answer;
}

std::optional<HttpAnswer> RelayServer::changesFor(const Waiting &waiting, TimePoint now)
{
    const auto news = source_.news(waiting.collection, waiting.since);
    if (!news) {
        return answerOf(HttpStatus::Gone, "{}");
    }
    if (news->entries.empty() && now < waiting.until) {
        return std::nullopt;
    }
    Told &told = told_[indexOf(waiting.collection)];
    if (told.since != waiting.since || told.revision != news->revision) {
        told = {waiting.since, news->revision, newsAnswer(*news)};
    }
    return told.answer;
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
    // Lists may have got their turn; looking for changes costs more, and is done when there are some.
    answerThose(now, [now](const Waiting &item) { return item.since == 0 || now >= item.until; });
}

} // namespace Cloverbarrow
