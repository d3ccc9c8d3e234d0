/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/callerserver.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Cloverbarrow::Standins
{

/// How the backend stand-in behaves. Set through `/control/behaviour`.
struct BackendBehaviour {
    int serviceUs = 2000; ///< Time for which a request occupies a slot, in microseconds.
    int queueLimit = 200; ///< Maximum number of queued requests; further ones are rejected.
    bool isLeaving = false; ///< Announces it in each answer and rejects new requests.
    bool reportsNoLoad = false; ///< The load endpoint reports neither load nor leaving.
    int failStatus = 0; ///< Answers all requests with this status at once, without a slot; 0 for none.
    int truncateNext = 0; ///< Number of next answers that end in the middle of the body.
    int truncateHeadNext = 0; ///< Number of next answers that end after the last header, before the end of the head.
    int dropNext = 0; ///< Number of next requests that are executed and whose connection is closed without an answer.
    int stallNextMs = 0; ///< Additional time for which the next request occupies its slot.
    int warmUp = 0; ///< Number of next requests that take ten times as long.
    int strayNext = 0; ///< Number of next answers that are followed by an unsolicited one.
    int strayBeforeNext = 0; ///< Number of next answers that are preceded by an unsolicited one.
    int unframedNext = 0; ///< Number of next answers without a length, which end with their connection.
    int interimNext = 0; ///< Number of next answers that are preceded by an interim one (103).
    bool echoesTag = true; ///< Returns the `Cloverbarrow-Exchange` header of the request.
};

/// Stand-in for a backend server that executes a few requests at a time.
class BackendStandin
{
public:
    BackendStandin(const std::string &address, std::string name, int slots);
    ~BackendStandin();

    std::uint16_t port() const;
    /// Checks the timeouts of connections. Call many times per second.
    void tick();

private:
    struct Job {
        std::shared_ptr<CallerConnection> connection;
        HttpRequest request;
    };

    void accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request);
    void runWorker();
    void executeJob(const Job &job);
    HttpAnswer answerTo(const HttpRequest &request, int load) const;
    HttpAnswer handleControl(const HttpRequest &request);
    HttpAnswer loadAnswer() const;
    HttpAnswer rejection() const;

    std::string name_;
    int slots_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    BackendBehaviour behaviour_;
    std::deque<Job> queue_;
    int running_ = 0;
    std::int64_t executed_ = 0;
    std::int64_t probes_ = 0;
    std::vector<std::string> log_; ///< One line for each executed request.
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
    std::unique_ptr<CallerServer> server_;
};

} // namespace Cloverbarrow::Standins
