/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/slowserverrunner.h"

#include "core/requests/serviceevents.h"
#include "net/bootclock.h"
#include "net/slowservermessages.h"

#include <utility>

namespace Cloverbarrow
{

SlowServerRunner::SlowServerRunner(std::uint64_t process, EventHandler &events, std::function<bool()> isOpen)
    : events_(events)
    , isOpen_(std::move(isOpen))
    , log_("slow servers")
    , exchange_(process)
{
}

void SlowServerRunner::setEnabled(bool isEnabled)
{
    isEnabled_ = isEnabled;
    if (!isEnabled) {
        const std::lock_guard lock(mutex_);
        exchange_.clear();
    }
}

void SlowServerRunner::observed(const SlowServerReport &report)
{
    if (isEnabled_) {
        const std::lock_guard lock(mutex_);
        exchange_.observed(bootNow(), report);
    }
}

SlowServerRunner::Request SlowServerRunner::requestTo(const std::string &relay)
{
    if (!isEnabled_) {
        return {};
    }
    const TimePoint now = bootNow();
    const std::lock_guard lock(mutex_);
    Request request{exchange_.requestTo(now, relay), {}};
    request.text = encodeSlowServers(now, request.message);
    counts_.sent += request.message.reports.size();
    return request;
}

void SlowServerRunner::onAnswer(const std::string &relay, const Request &request, std::string_view text)
{
    const auto answer = isEnabled_ && !text.empty() ? decode(relay, text) : std::nullopt;
    if (!answer) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        exchange_.onAnswer(bootNow(), relay, request.message, *answer);
    }
    forwardLearned();
}

std::function<std::string()> SlowServerRunner::accept(const std::string &follower, std::string_view text)
{
    const auto request = isEnabled_ && !text.empty() ? decode(follower, text) : std::nullopt;
    if (!request) {
        return nullptr;
    }
    {
        const std::lock_guard lock(mutex_);
        exchange_.onRequest(bootNow(), follower, *request);
    }
    forwardLearned();
    // The proof may be available only later, and the reports that are sent with it should be the latest.
    return [this, follower, request = *request] { return answerTo(follower, request); };
}

std::string SlowServerRunner::answerTo(const std::string &follower, const SlowServerMessage &request)
{
    const TimePoint now = bootNow();
    const std::lock_guard lock(mutex_);
    const SlowServerMessage answer = exchange_.answerTo(now, follower, request);
    counts_.sent += answer.reports.size();
    return encodeSlowServers(now, answer);
}

SlowServerCounts SlowServerRunner::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

std::optional<SlowServerMessage> SlowServerRunner::decode(const std::string &peer, std::string_view text)
{
    try {
        auto message = decodeSlowServers(bootNow(), text);
        const std::lock_guard lock(mutex_);
        counts_.received += message.reports.size();
        return message;
    } catch (const std::exception &exception) {
        log_.warn("slow server reports rejected", {{"peer", peer}, {"reason", exception.what()}});
        const std::lock_guard lock(mutex_);
        ++counts_.rejected;
        return std::nullopt;
    }
}

void SlowServerRunner::forwardLearned()
{
    if (!isOpen_()) {
        return;
    }
    std::vector<SlowServerReport> learned;
    {
        const std::lock_guard lock(mutex_);
        learned = exchange_.takeLearned();
    }
    if (!learned.empty()) {
        events_.handle(SlowServersReported{std::move(learned)});
    }
}

} // namespace Cloverbarrow
