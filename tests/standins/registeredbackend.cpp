/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "registeredbackend.h"

#include "names.h"
#include "net/bootclock.h"

#include <algorithm>

namespace Cloverbarrow::Standins
{

namespace
{

// Requests that were sent before entry VMs could receive that the server is cold do not count.
constexpr Duration ColdPropagationTime = milliseconds(150);

} // namespace

RegisteredBackend::RegisteredBackend(std::string id)
    : id_(std::move(id))
{
    listen();
}

RegisteredBackend::~RegisteredBackend() = default;

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
            {"slots", 3},
            {"state", state},
            {"warmup_remaining_s", 0},
            {"sequence", 1}};
}

void RegisteredBackend::conduct(Conduct mode)
{
    const std::lock_guard lock(mutex_);
    conduct_ = mode;
}

void RegisteredBackend::chill(Duration duration)
{
    const std::lock_guard lock(mutex_);
    chilledAt_ = bootNow();
    warmAt_ = chilledAt_ + duration;
}

int RegisteredBackend::mostWhileCold() const
{
    const std::lock_guard lock(mutex_);
    return mostWhileCold_;
}

void RegisteredBackend::nameLimit(const std::string &text, LimitBearers scope)
{
    const std::lock_guard lock(mutex_);
    limit_ = text;
    limitBearers_ = scope;
}

int RegisteredBackend::mostRuns(Duration window, TimePoint from) const
{
    const std::lock_guard lock(mutex_);
    std::ptrdiff_t maximum = 0;
    for (auto first = std::lower_bound(runTimes_.begin(), runTimes_.end(), from); first != runTimes_.end(); ++first) {
        maximum = std::max(maximum, std::lower_bound(first, runTimes_.end(), *first + window) - first);
    }
    return static_cast<int>(maximum);
}

Duration RegisteredBackend::coldLeftLocked() const
{
    return std::max(Duration(0), warmAt_ - bootNow());
}

void RegisteredBackend::countColdRunLocked()
{
    const TimePoint now = bootNow();
    if (now >= warmAt_ || now - chilledAt_ < ColdPropagationTime) {
        return;
    }
    coldRuns_.push_back(now);
    while (now - coldRuns_.front() > seconds(1)) {
        coldRuns_.pop_front();
    }
    mostWhileCold_ = std::max(mostWhileCold_, static_cast<int>(coldRuns_.size()));
}

void RegisteredBackend::becomeInstance(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    id_ = id;
}

std::vector<std::string> RegisteredBackend::runs() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

int RegisteredBackend::abandoned() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(hanging_.begin(), hanging_.end(), [](const auto &connection) { return connection->isGone(); }));
}

bool RegisteredBackend::hasCrashed() const
{
    const std::lock_guard lock(mutex_);
    return hasCrashed_;
}

void RegisteredBackend::endAfterCrash()
{
    // Without the mutex: the destructor waits for the server's threads, which may wait for the mutex.
    server_.reset();
    const std::lock_guard lock(mutex_);
    crashLocked();
}

void RegisteredBackend::startAfterCrash(const std::string &id)
{
    {
        const std::lock_guard lock(mutex_);
        id_ = id;
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
    answer.headers = {{Platform::ServerLoadHeader, "0,0,3,100"}, {Platform::InstanceHeader, id_}};
    if (const Duration remaining = coldLeftLocked(); remaining > Duration(0)) {
        answer.headers.push_back({Platform::WarmUpMsHeader, std::to_string(std::chrono::ceil<milliseconds>(remaining).count())});
    }
    const bool isProbe = request.target == "/health";
    if (!limit_.empty() && (!isProbe || limitBearers_ == LimitBearers::RequestsAndProbes)) {
        answer.headers.push_back({Platform::ServerLimitHeader, limit_});
    }
    if (isProbe) {
        lock.unlock();
        connection->answer(answer, false);
        return;
    }
    const std::string requestId(findHeader(request.headers, Platform::RequestIdHeader).value_or(""));
    answer.headers.push_back({Platform::RequestIdHeader, requestId});
    if (findHeader(request.headers, Platform::ExpectInstanceHeader).value_or(id_) != id_) {
        answer.status = 421;
    } else if (conduct_ == Conduct::Shed) {
        answer.status = 503;
        answer.headers.push_back({Platform::NotExecutedHeader, "1"});
    } else {
        runs_.push_back(requestId);
        runTimes_.push_back(bootNow());
        countColdRunLocked();
        answer.body = id_ + " ran " + request.method + " " + request.target + " " + request.body;
        if (conduct_ != Conduct::Unsigned) {
            answer.headers.push_back({Platform::StampHeader, id_ + ".stamp"});
        }
    }
    const bool isExecuted = answer.status == 200;
    if (isExecuted && request.target.find(FatalMark) != std::string::npos) {
        crashLocked();
        return;
    }
    if (isExecuted && conduct_ == Conduct::Hang) {
        hanging_.push_back(connection);
        return;
    }
    const Conduct mode = conduct_;
    lock.unlock();
    if (isExecuted && mode == Conduct::Reset) {
        connection->abort();
    } else if (isExecuted && mode == Conduct::Unframed) {
        connection->answerBytes(std::string("HTTP/1.1 200 OK\r\n") + Platform::RequestIdHeader + ": " + requestId + "\r\n" + Platform::StampHeader
                                    + ": s\r\n\r\n" + answer.body,
                                true);
    } else {
        connection->answer(answer, request.method == "HEAD");
    }
}

} // namespace Cloverbarrow::Standins
