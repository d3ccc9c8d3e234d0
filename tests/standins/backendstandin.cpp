/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "backendstandin.h"

#include "net/bootclock.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Cloverbarrow::Standins
{

namespace
{

using Json = nlohmann::json;

constexpr int WarmUpFactor = 10;
const std::string StrayAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
// Bounds the memory that the log takes in a benchmark; only tests read it.
constexpr std::size_t MaxLogLines = 200'000;

/// Decrements @p remaining unless it is 0. @return whether it was decremented.
bool takeOneIfAny(int &remaining)
{
    if (remaining == 0) {
        return false;
    }
    --remaining;
    return true;
}

std::string header(const HttpRequest &request, const char *name)
{
    return std::string(findHeader(request.headers, name).value_or("-"));
}

} // namespace

BackendStandin::BackendStandin(const std::string &address, std::string name, int slots)
    : name_(std::move(name))
    , slots_(slots)
{
    for (int slot = 0; slot < slots; ++slot) {
        threads_.emplace_back([this] { runWorker(); });
    }
    CallerServerOptions options;
    options.address = address;
    server_ = std::make_unique<CallerServer>(
        options, [this](const std::shared_ptr<CallerConnection> &connection, HttpRequest request) { accept(connection, std::move(request)); });
}

BackendStandin::~BackendStandin()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_all();
    for (std::thread &thread : threads_) {
        thread.join();
    }
}

std::uint16_t BackendStandin::port() const
{
    return server_->port();
}

void BackendStandin::tick()
{
    server_->checkTimeouts(bootNow());
}

void BackendStandin::accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request)
{
    std::unique_lock lock(mutex_);
    if (request.target.starts_with("/control/")) {
        const HttpAnswer answer = handleControl(request);
        lock.unlock();
        connection->answer(answer, false);
        return;
    }
    if (request.target == "/load") {
        ++probes_;
        const HttpAnswer answer = loadAnswer();
        lock.unlock();
        connection->answer(answer, false);
        return;
    }
    if (behaviour_.failStatus != 0) {
        HttpAnswer answer;
        answer.status = behaviour_.failStatus;
        if (behaviour_.echoesTag) {
            answer.headers.push_back({"Cloverbarrow-Exchange", header(request, "Cloverbarrow-Exchange")});
        }
        lock.unlock();
        connection->answer(answer, request.method == "HEAD");
        return;
    }
    const bool isFull = static_cast<int>(queue_.size()) >= behaviour_.queueLimit;
    if (behaviour_.isLeaving || isFull) {
        HttpAnswer answer = rejection();
        if (behaviour_.echoesTag) {
            answer.headers.push_back({"Cloverbarrow-Exchange", header(request, "Cloverbarrow-Exchange")});
        }
        lock.unlock();
        connection->answer(answer, request.method == "HEAD");
        return;
    }
    queue_.push_back({connection, std::move(request)});
    changed_.notify_one();
}

void BackendStandin::runWorker()
{
    while (true) {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return isStopping_ || !queue_.empty(); });
        if (isStopping_) {
            return;
        }
        const Job job = std::move(queue_.front());
        queue_.pop_front();
        ++running_;
        lock.unlock();
        executeJob(job);
    }
}

void BackendStandin::executeJob(const Job &job)
{
    bool isTruncated = false;
    bool isHeadTruncated = false;
    bool isDropped = false;
    bool isStray = false;
    bool isStrayFirst = false;
    bool isUnframed = false;
    bool isInterim = false;
    std::chrono::microseconds time{};
    {
        const std::lock_guard lock(mutex_);
        ++executed_;
        if (log_.size() < MaxLogLines) {
            log_.push_back(job.request.method + " " + job.request.target + " key=" + header(job.request, "Idempotency-Key")
                           + " attempt=" + header(job.request, "Cloverbarrow-Attempt") + " id=" + header(job.request, "X-Id"));
        }
        time = std::chrono::microseconds(behaviour_.serviceUs);
        if (behaviour_.warmUp > 0) {
            --behaviour_.warmUp;
            time *= WarmUpFactor;
        }
        time += std::chrono::milliseconds(std::exchange(behaviour_.stallNextMs, 0));
        isTruncated = takeOneIfAny(behaviour_.truncateNext);
        isHeadTruncated = takeOneIfAny(behaviour_.truncateHeadNext);
        isDropped = takeOneIfAny(behaviour_.dropNext);
        isStray = takeOneIfAny(behaviour_.strayNext);
        isStrayFirst = takeOneIfAny(behaviour_.strayBeforeNext);
        isUnframed = takeOneIfAny(behaviour_.unframedNext);
        isInterim = takeOneIfAny(behaviour_.interimNext);
    }
    std::this_thread::sleep_for(time);
    HttpAnswer answer;
    {
        const std::lock_guard lock(mutex_);
        --running_;
        answer = answerTo(job.request, running_ + static_cast<int>(queue_.size()));
    }
    if (isDropped) {
        job.connection->abort();
    } else if (isTruncated) {
        const std::string length = std::to_string(answer.body.size() + 1);
        job.connection->answerBytes("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + std::string(answer.body), true);
    } else if (isHeadTruncated) {
        const std::string tag = header(job.request, "Cloverbarrow-Exchange");
        job.connection->answerBytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCloverbarrow-Exchange: " + tag + "\r\n", true);
    } else if (isUnframed) {
        const std::string tag = header(job.request, "Cloverbarrow-Exchange");
        job.connection->answerBytes("HTTP/1.1 200 OK\r\nCloverbarrow-Exchange: " + tag + "\r\n\r\n" + std::string(answer.body), true);
    } else if (isInterim) {
        job.connection->answerBytes("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + serialize(answer, false, false), false);
    } else if (isStrayFirst) {
        job.connection->answerBytes(StrayAnswer + serialize(answer, false, false), false);
    } else if (isStray) {
        job.connection->answerBytes(serialize(answer, false, false) + StrayAnswer, false);
    } else {
        job.connection->answer(answer, job.request.method == "HEAD");
    }
}

HttpAnswer BackendStandin::answerTo(const HttpRequest &request, int load) const
{
    HttpAnswer answer;
    answer.headers.push_back({"Content-Type", "text/plain"});
    if (behaviour_.echoesTag) {
        answer.headers.push_back({"Cloverbarrow-Exchange", header(request, "Cloverbarrow-Exchange")});
    }
    answer.headers.push_back({"Cloverbarrow-Load", std::to_string(load)});
    if (behaviour_.isLeaving) {
        answer.headers.push_back({"Cloverbarrow-Leaving", "true"});
    }
    answer.headers.push_back({"X-Seen-Deadline", header(request, "Cloverbarrow-Deadline-Ms")});
    answer.headers.push_back({"X-Seen-Attempt", header(request, "Cloverbarrow-Attempt")});
    for (const Header &sent : request.headers) {
        if (isSameName(sent.name, "X-Repeat")) {
            answer.headers.push_back(sent);
        }
    }
    answer.body = "server=" + name_ + " target=" + request.target + " id=" + header(request, "X-Id") + " body=" + std::string(request.body) + "\n";
    return answer;
}

HttpAnswer BackendStandin::loadAnswer() const
{
    HttpAnswer answer;
    if (!behaviour_.reportsNoLoad) {
        answer.headers.push_back({"Cloverbarrow-Load", std::to_string(running_ + static_cast<int>(queue_.size()))});
        if (behaviour_.isLeaving) {
            answer.headers.push_back({"Cloverbarrow-Leaving", "true"});
        }
    }
    answer.body = "ok\n";
    return answer;
}

HttpAnswer BackendStandin::rejection() const
{
    HttpAnswer answer;
    answer.status = 503;
    answer.headers.push_back({"Cloverbarrow-Outcome", "not-run"});
    answer.headers.push_back({"Cloverbarrow-Load", std::to_string(running_ + static_cast<int>(queue_.size()))});
    if (behaviour_.isLeaving) {
        answer.headers.push_back({"Cloverbarrow-Leaving", "true"});
    }
    return answer;
}

HttpAnswer BackendStandin::handleControl(const HttpRequest &request)
{
    HttpAnswer answer;
    if (request.target == "/control/behaviour") {
        const Json json = Json::parse(request.body, nullptr, false);
        behaviour_.serviceUs = json.value("service_us", behaviour_.serviceUs);
        behaviour_.queueLimit = json.value("queue_limit", behaviour_.queueLimit);
        behaviour_.isLeaving = json.value("leaving", behaviour_.isLeaving);
        behaviour_.reportsNoLoad = json.value("health_lags", behaviour_.reportsNoLoad);
        behaviour_.failStatus = json.value("fail_status", behaviour_.failStatus);
        behaviour_.truncateNext = json.value("cut_next", behaviour_.truncateNext);
        behaviour_.truncateHeadNext = json.value("cut_head_next", behaviour_.truncateHeadNext);
        behaviour_.dropNext = json.value("drop_next", behaviour_.dropNext);
        behaviour_.stallNextMs = json.value("stall_next_ms", behaviour_.stallNextMs);
        behaviour_.warmUp = json.value("warm_up", behaviour_.warmUp);
        behaviour_.strayNext = json.value("stray_next", behaviour_.strayNext);
        behaviour_.strayBeforeNext = json.value("stray_before_next", behaviour_.strayBeforeNext);
        behaviour_.unframedNext = json.value("unframed_next", behaviour_.unframedNext);
        behaviour_.interimNext = json.value("interim_next", behaviour_.interimNext);
        behaviour_.echoesTag = json.value("echoes_tag", behaviour_.echoesTag);
    } else if (request.target == "/control/log") {
        std::string text;
        for (const std::string &line : log_) {
            text += line + "\n";
        }
        answer.body = std::move(text);
    } else if (request.target == "/control/counts") {
        answer.body = Json{{"executed", executed_}, {"probes", probes_}, {"running", running_}, {"queued", queue_.size()}}.dump();
    } else {
        answer.status = 404;
    }
    return answer;
}

} // namespace Cloverbarrow::Standins
