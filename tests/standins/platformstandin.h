/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/callerserver.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace Cloverbarrow::Standins
{

/// Faults that the platform stand-in injects. Set through `/control/faults`.
struct PlatformFaults {
    bool isDown = false; ///< Closes each connection without an answer; the call has no effect.
    bool isRejecting = false; ///< Answers 503; the call has no effect.
    int slowMs = 0; ///< Delay of each call.
    int lostAnswers = 0; ///< Number of next writes that take effect and whose connection is closed without an answer.
    std::string lostAnswerKind; ///< Only answers to writes of this kind of object are lost; empty for all kinds.
    int writesPerSecond = 0; ///< Further writes in the same second are answered with 429; 0 for no limit.
    int readsPerSecond = 0; ///< The same for reads.
};

/// Stand-in for the platform's object API, as described in docs/PLATFORM.md.
class PlatformStandin
{
public:
    explicit PlatformStandin(const std::string &address);
    ~PlatformStandin();

    std::uint16_t port() const;
    /// Answers watches whose wait is over and delayed calls that are due, and checks the timeouts of connections. Call many times per second.
    void tick();

private:
    struct Object {
        std::int64_t version = 0;
        std::string value;
    };

    struct PendingWatch {
        std::shared_ptr<CallerConnection> connection;
        std::string key;
        std::int64_t after = 0;
        TimePoint until;
    };

    struct DelayedCall {
        std::shared_ptr<CallerConnection> connection;
        HttpRequest request;
        TimePoint at;
    };

    /// What to do with a connection after the mutex was released.
    struct Reply {
        std::shared_ptr<CallerConnection> connection;
        bool isDropped = false;
        HttpAnswer answer;
    };
    using Replies = std::vector<Reply>;

    void accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request);
    void handleCall(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, Replies &replies);
    void handleObjectCall(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, Replies &replies);
    void read(const std::shared_ptr<CallerConnection> &connection, const std::string &key, const std::string &query, Replies &replies);
    void write(const std::shared_ptr<CallerConnection> &connection, const std::string &key, const HttpRequest &request, Replies &replies);
    HttpAnswer handleControl(const HttpRequest &request);
    HttpAnswer setFaults(const std::string &body);
    bool isWithinRate(bool isWrite, TimePoint now);
    void answerPendingWatches(const std::string &key, Replies &replies);
    static void send(const Replies &replies);

    std::mutex mutex_;
    std::map<std::string, Object> objects_;
    std::int64_t nextVersion_ = 1;
    std::string vms_ = R"({"vms":[]})";
    PlatformFaults faults_;
    std::vector<PendingWatch> pendingWatches_;
    std::vector<DelayedCall> delayedCalls_;
    std::map<std::string, std::int64_t> callCounts_;
    std::int64_t rateSecond_ = 0;
    int writesInSecond_ = 0;
    int readsInSecond_ = 0;
    std::unique_ptr<CallerServer> server_;
};

} // namespace Cloverbarrow::Standins
