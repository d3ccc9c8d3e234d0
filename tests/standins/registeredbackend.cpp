/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "registeredbackend.h"

#include "core/support/text.h"
#include "names.h"
#include "net/bootclock.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Cloverbarrow::Standins
{

namespace
{

// Requests that were sent before the cold state could reach the entry VMs do not count.
constexpr Duration ColdPropagationTime = milliseconds(150);
constexpr double MaxBackoffSeconds = 3600;
// As registered.
constexpr std::size_t RegisteredSlots = 3;
constexpr Duration IdleWait = seconds(1);

} // namespace

RegisteredBackend::RegisteredBackend(std::string id)
    : id_(std::move(id))
{
    listen();
}

RegisteredBackend::~RegisteredBackend()
{
    {
        const std::lock_guard lock(mutex_);
        isEnding_ = true;
    }
    changed_.notify_all();
    if (answerThread_.joinable()) {
        answerThread_.join();
    }
}

std::string RegisteredBackend::address() const
{
    const std::lock_guard lock(mutex_);
    return address_;
}

nlohmann::json RegisteredBackend::registration(const std::string &service, const std::string &state) const
{
    return {{"service", service},
            {"address", address()},
            {"zone", "bog-a"},
            {"version", "v1"},
            {"slots", RegisteredSlots},
            {"state", state},
            {"warmup_remaining_s", 0},
            {"sequence", 1}};
}

void RegisteredBackend::setAnswerMode(AnswerMode mode)
{
    const std::lock_guard lock(mutex_);
    answerMode_ = mode;
}

void RegisteredBackend::setCapacity(const std::optional<SilentCapacity> &capacity)
{
    const std::lock_guard lock(mutex_);
    capacity_ = capacity;
    if (capacity_ && !answerThread_.joinable()) {
        answerThread_ = std::thread([this] { answerCompleted(); });
    }
}

int RegisteredBackend::droppedRequests() const
{
    const std::lock_guard lock(mutex_);
    return droppedRequests_;
}

bool RegisteredBackend::isFullLocked() const
{
    return capacity_ && running_.size() >= RegisteredSlots + capacity_->queueLength;
}

std::string RegisteredBackend::loadLocked() const
{
    const std::size_t running = std::min(running_.size(), RegisteredSlots);
    return std::to_string(running) + "," + std::to_string(running_.size() - running) + "," + std::to_string(RegisteredSlots) + ",100";
}

void RegisteredBackend::runLocked(RunningRequest request)
{
    TimePoint start = bootNow();
    if (running_.size() >= RegisteredSlots) {
        // It gets the slot of the request after whose answer all but one of the slots are taken.
        start = std::next(running_.begin(), static_cast<std::ptrdiff_t>(running_.size() - RegisteredSlots))->first;
    }
    running_.emplace(start + capacity_->work, std::move(request));
    changed_.notify_all();
}

void RegisteredBackend::answerCompleted()
{
    std::unique_lock lock(mutex_);
    while (!isEnding_) {
        const Duration wait = running_.empty() ? IdleWait : running_.begin()->first - bootNow();
        if (wait > Duration(0)) {
            changed_.wait_for(lock, wait);
            continue;
        }
        const RunningRequest request = std::move(running_.extract(running_.begin()).mapped());
        HttpAnswer answer = request.answer;
        answer.headers.push_back({Platform::ServerLoadHeader, loadLocked()});
        lock.unlock();
        request.connection->answer(answer, request.isHead);
        lock.lock();
    }
}

void RegisteredBackend::makeCold(Duration duration)
{
    const std::lock_guard lock(mutex_);
    coldSince_ = bootNow();
    warmAt_ = coldSince_ + duration;
}

int RegisteredBackend::maxColdRequestsPerSecond() const
{
    const std::lock_guard lock(mutex_);
    return maxColdRequestsPerSecond_;
}

void RegisteredBackend::announceLimit(const std::string &text, LimitScope scope)
{
    const std::lock_guard lock(mutex_);
    limit_ = text;
    limitScope_ = scope;
}

void RegisteredBackend::announceLeaving()
{
    const std::lock_guard lock(mutex_);
    isLeaving_ = true;
}

void RegisteredBackend::setRetryAfter(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    retryAfter_ = text;
}

std::vector<Arrival> RegisteredBackend::arrivals() const
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

void RegisteredBackend::recordArrivalLocked(const std::string &requestId)
{
    Arrival arrival{id_, requestId, bootNow(), isLeaving_};
    if (const auto wait = parseDecimal(retryAfter_, MaxBackoffSeconds); wait && answerMode_ == AnswerMode::Shed) {
        arrival.backoff = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*wait));
    }
    arrivals_.push_back(std::move(arrival));
}

int RegisteredBackend::maxExecutions(Duration window, TimePoint from) const
{
    const std::lock_guard lock(mutex_);
    std::ptrdiff_t maximum = 0;
    for (auto first = std::lower_bound(executionTimes_.begin(), executionTimes_.end(), from); first != executionTimes_.end(); ++first) {
        maximum = std::max(maximum, std::lower_bound(first, executionTimes_.end(), *first + window) - first);
    }
    return static_cast<int>(maximum);
}

Duration RegisteredBackend::remainingWarmUpLocked() const
{
    return std::max(Duration(0), warmAt_ - bootNow());
}

void RegisteredBackend::recordColdExecutionLocked()
{
    const TimePoint now = bootNow();
    if (now >= warmAt_ || now - coldSince_ < ColdPropagationTime) {
        return;
    }
    coldExecutions_.push_back(now);
    while (now - coldExecutions_.front() > seconds(1)) {
        coldExecutions_.pop_front();
    }
    maxColdRequestsPerSecond_ = std::max(maxColdRequestsPerSecond_, static_cast<int>(coldExecutions_.size()));
}

void RegisteredBackend::replaceInstance(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    id_ = id;
    isLeaving_ = false;
}

std::vector<std::string> RegisteredBackend::executedRequestIds() const
{
    const std::lock_guard lock(mutex_);
    return executedRequestIds_;
}

int RegisteredBackend::cancelledRequests() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(hangingConnections_.begin(), hangingConnections_.end(), [](const auto &connection) { return connection->isGone(); }));
}

bool RegisteredBackend::hasCrashed() const
{
    const std::lock_guard lock(mutex_);
    return hasCrashed_;
}

void RegisteredBackend::stopAfterCrash()
{
    // Without the mutex: the destructor waits for the server's threads, which may wait for the mutex.
    server_.reset();
    const std::lock_guard lock(mutex_);
    crashLocked();
}

void RegisteredBackend::restartAfterCrash(const std::string &id)
{
    {
        const std::lock_guard lock(mutex_);
        id_ = id;
        isLeaving_ = false;
        hasCrashed_ = false;
    }
    listen();
}

void RegisteredBackend::listen()
{
    CallerServerOptions options;
    options.address = "127.0.0.1:0";
    options.connectionOptions.treatsHalfCloseAsClosed = true;
    server_ = std::make_unique<CallerServer>(
        options, [this](const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request) { accept(connection, request); });
    const std::lock_guard lock(mutex_);
    address_ = "127.0.0.1:" + std::to_string(server_->port());
}

void RegisteredBackend::crashLocked()
{
    hasCrashed_ = true;
    for (const auto &entry : connections_) {
        if (const auto connection = entry.lock()) {
            connection->abort();
        }
    }
    connections_.clear();
    running_.clear();
}

void RegisteredBackend::accept(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request)
{
    std::unique_lock lock(mutex_);
    if (hasCrashed_) {
        lock.unlock();
        connection->abort();
        return;
    }
    std::erase_if(connections_, [](const auto &entry) { return entry.expired(); });
    connections_.push_back(connection);
    HttpAnswer answer;
    answer.headers = {{Platform::InstanceHeader, id_}};
    if (const Duration remaining = remainingWarmUpLocked(); remaining > Duration(0)) {
        answer.headers.push_back({Platform::WarmUpMsHeader, std::to_string(std::chrono::ceil<milliseconds>(remaining).count())});
    }
    if (isLeaving_) {
        answer.headers.push_back({Platform::ServerLeavingHeader, "1"});
    }
    const bool isProbe = request.target == "/health";
    if (!limit_.empty() && (!isProbe || limitScope_ == LimitScope::RequestsAndProbes)) {
        answer.headers.push_back({Platform::ServerLimitHeader, limit_});
    }
    if (isProbe) {
        answer.headers.push_back({Platform::ServerLoadHeader, loadLocked()});
        lock.unlock();
        connection->answer(answer, false);
        return;
    }
    const std::string requestId(findHeader(request.headers, Platform::RequestIdHeader).value_or(""));
    answer.headers.push_back({Platform::RequestIdHeader, requestId});
    if (findHeader(request.headers, Platform::ExpectInstanceHeader).value_or(id_) != id_) {
        answer.status = 421;
    } else if (answerMode_ == AnswerMode::Shed) {
        recordArrivalLocked(requestId);
        answer.status = 503;
        answer.headers.push_back({Platform::NotExecutedHeader, "1"});
        if (!retryAfter_.empty()) {
            answer.headers.push_back({Platform::RetryAfterHeader, retryAfter_});
        }
    } else if (isFullLocked()) {
        recordArrivalLocked(requestId);
        ++droppedRequests_;
        hangingConnections_.push_back(connection);
        return;
    } else {
        recordArrivalLocked(requestId);
        executedRequestIds_.push_back(requestId);
        executionTimes_.push_back(bootNow());
        recordColdExecutionLocked();
        answer.body = id_ + " ran " + request.method + " " + request.target + " " + std::string(request.body);
        if (answerMode_ != AnswerMode::Unsigned) {
            answer.headers.push_back({Platform::StampHeader, id_ + ".stamp"});
        }
    }
    const bool isExecuted = answer.status == 200;
    if (isExecuted && request.target.find(PoisonRequestMark) != std::string::npos) {
        crashLocked();
        return;
    }
    if (isExecuted && answerMode_ == AnswerMode::Hang) {
        hangingConnections_.push_back(connection);
        return;
    }
    const AnswerMode mode = answerMode_;
    const bool isRaw = mode == AnswerMode::Unframed || mode == AnswerMode::UnknownStatus || mode == AnswerMode::Switching;
    if (isExecuted && capacity_ && mode != AnswerMode::Reset && !isRaw) {
        runLocked({connection, std::move(answer), request.method == "HEAD"});
        return;
    }
    answer.headers.push_back({Platform::ServerLoadHeader, loadLocked()});
    const std::string leavingLine = isLeaving_ ? std::string(Platform::ServerLeavingHeader) + ": 1\r\n" : std::string();
    lock.unlock();
    if (isExecuted && mode == AnswerMode::Reset) {
        connection->abort();
    } else if (isExecuted && isRaw) {
        const char *status = mode == AnswerMode::Unframed ? "200 OK" : mode == AnswerMode::Switching ? "101 Switching Protocols" : "600 Unknown";
        connection->answerBytes(std::string("HTTP/1.1 ") + status + "\r\n" + Platform::RequestIdHeader + ": " + requestId + "\r\n" + leavingLine
                                    + Platform::StampHeader + ": s\r\n\r\n" + std::string(answer.body),
                                mode == AnswerMode::Unframed);
    } else {
        connection->answer(answer, request.method == "HEAD");
    }
}

} // namespace Cloverbarrow::Standins
