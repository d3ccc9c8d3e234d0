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

/// How the backend stand-in behaves.
struct BackendBehaviour {
    int serviceUs = 2000; ///< Time a request holds a slot.
    int queueLimit = 200; ///< Requests beyond slots and queue are shed.
    bool isLeaving = false; ///< Says so in each answer and sheds new requests.
    bool isHealthLagging = false; ///< The load endpoint tells nothing of leaving or load.
    int failStatus = 0; ///< Answers this status at once, without a slot.
    int cutNext = 0; ///< Next answers end in mid-body.
    int dropNext = 0; ///< Next requests are run, and their connection is dropped without an answer.
    int stallNextMs = 0; ///< The next request holds its slot for this long.
    int warmUp = 0; ///< First requests take ten times as long.
    int strayNext = 0; ///< Next answers are followed by a second one that nobody asked for.
    int strayBeforeNext = 0; ///< Next answers come after one that nobody asked for.
    int unframedNext = 0; ///< Next answers tell no length and end with their connection.
    int interimNext = 0; ///< Next answers come after an interim one.
    bool echoesTag = true;
};

/// Small stand-in for a backend server with a few slots.
class BackendStandin
{
public:
    BackendStandin(const std::string &address, std::string name, int slots);
    ~BackendStandin();

    std::uint16_t port() const;
    /// Sweeps connections. Call many times a second.
    void tick();

private:
    struct Job {
        std::shared_ptr<CallerConnection> connection;
        HttpRequest request;
    };

    void accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request);
    void work();
    void run(const Job &job);
    HttpAnswer answerTo(const HttpRequest &request, int load) const;
    HttpAnswer control(const HttpRequest &request);
    HttpAnswer loadAnswer() const;
    HttpAnswer shed() const;

    std::string name_;
    int slots_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    BackendBehaviour behaviour_;
    std::deque<Job> queue_;
    int running_ = 0;
    std::int64_t executed_ = 0;
    std::int64_t probes_ = 0;
    std::vector<std::string> log_; ///< One line for each request that was run.
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
    std::unique_ptr<CallerServer> server_;
};

} // namespace Cloverbarrow::Standins
