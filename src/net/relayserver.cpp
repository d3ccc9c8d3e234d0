/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/relayserver.h"

#include "net/bootclock.h"
#include "net/gzip.h"
#include "net/relaymessages.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

constexpr int NotFound = 404;
constexpr int Gone = 410;
constexpr int NoRelay = 503;
// Links of 10 Mbit/s have to carry a configuration of 100 KB to each of some 30 followers.
constexpr std::size_t WorthPacking = 2000;
// A relay that has just begun has read the directory by then.
constexpr Duration ListPatience = seconds(1);

HttpAnswer answerOf(int status, std::string body)
{
    HttpAnswer answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = std::move(body);
    return answer;
}

} // namespace

RelayServer::RelayServer(const std::string &address, RelaySource source)
    : source_(std::move(source))
{
    CallerServerOptions options;
    options.address = address;
    options.threads = 1;
    options.halfCloseIsGone = true;
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
        const auto proof = source_.proof(*follower);
        connection->answer(proof ? answerOf(200, encodeProof(*proof)) : answerOf(NoRelay, "{}"), false);
        return;
    }
    const auto asked = parseNewsTarget(request.target);
    if (!asked) {
        connection->answer(answerOf(NotFound, "{}"), false);
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
        connection->answer(*answer, false);
    }
}

std::optional<HttpAnswer> RelayServer::answerFor(const Waiting &waiting, TimePoint now)
{
    const auto news = source_.news(waiting.collection, waiting.since);
    const bool isOver = now >= waiting.until;
    if (!news) {
        const bool mayCome = waiting.since == 0 && !isOver;
        return mayCome ? std::nullopt : std::optional(answerOf(Gone, "{}"));
    }
    const bool isWorthTelling = waiting.since == 0 || !news->entries.empty() || isOver;
    return isWorthTelling ? std::optional(encoded(waiting, *news)) : std::nullopt;
}

HttpAnswer RelayServer::encoded(const Waiting &waiting, const DirectoryNews &news)
{
    Told &told = told_[waiting.collection == Collection::Routing ? 0 : 1];
    if (told.since != waiting.since || told.revision != news.revision) {
        const std::string text = encodeNews(news);
        const bool isLong = text.size() > WorthPacking;
        told = {waiting.since, news.revision, answerOf(200, isLong ? gzip(text) : text)};
        if (isLong) {
            told.answer.headers.push_back({"Content-Encoding", "gzip"});
        }
    }
    return told.answer;
}

void RelayServer::answerWaiting()
{
    const TimePoint now = bootNow();
    std::vector<std::pair<std::shared_ptr<CallerConnection>, HttpAnswer>> ready;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(waiting_, [this, now, &ready](const Waiting &item) {
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
    for (const auto &[connection, answer] : ready) {
        connection->answer(answer, false);
    }
}

void RelayServer::sweep(TimePoint now)
{
    server_->sweep(now);
    bool isAnyOver = false;
    {
        const std::lock_guard lock(mutex_);
        isAnyOver = std::any_of(waiting_.begin(), waiting_.end(), [now](const Waiting &item) { return now >= item.until; });
    }
    if (isAnyOver) {
        answerWaiting();
    }
}

} // namespace Cloverbarrow
