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

/// Faults that the platform stand-in brings about.
struct PlatformFaults {
    bool isDown = false; ///< Drops each connection without an answer, nothing done.
    bool isRefusing = false; ///< Answers 503, nothing done.
    int slowMs = 0; ///< Waits before each answer.
    int loseAnswers = 0; ///< Next writes take effect, and their connection is dropped.
    std::string loseKind; ///< Only writes of this kind of object lose their answers; empty means all.
    int writesPerSecond = 0; ///< More are refused with 429; 0 is no limit.
    int readsPerSecond = 0;
};

/// Small stand-in for the platform's object API, as docs/PLATFORM.md describes it.
class Platform
{
public:
    explicit Platform(const std::string &address);
    ~Platform();

    std::uint16_t port() const;
    /// Answers waiting watches whose time is over, and sweeps connections. Call many times a second.
    void tick();

private:
    struct Object {
        std::int64_t version = 0;
        std::string value;
    };

    struct Waiting {
        std::shared_ptr<CallerConnection> connection;
        std::string key;
        std::int64_t after = 0;
        TimePoint until;
    };

    struct Delayed {
        std::shared_ptr<CallerConnection> connection;
        HttpRequest request;
        TimePoint at;
    };

    /// What to do with a connection once the lock is free.
    struct Reply {
        std::shared_ptr<CallerConnection> connection;
        bool isDropped = false;
        HttpAnswer answer;
    };
    using Replies = std::vector<Reply>;

    void accept(const std::shared_ptr<CallerConnection> &connection, HttpRequest request);
    void serve(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, Replies &replies);
    void serveObject(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request, Replies &replies);
    void read(const std::shared_ptr<CallerConnection> &connection, const std::string &key, const std::string &query, Replies &replies);
    void write(const std::shared_ptr<CallerConnection> &connection, const std::string &key, const HttpRequest &request, Replies &replies);
    HttpAnswer control(const HttpRequest &request);
    HttpAnswer setFaults(const std::string &body);
    bool takesRate(bool isWrite, TimePoint now);
    void wake(const std::string &key, Replies &replies);
    static void send(const Replies &replies);

    std::mutex mutex_;
    std::map<std::string, Object> objects_;
    std::int64_t nextVersion_ = 1;
    std::string vms_ = R"({"vms":[]})";
    PlatformFaults faults_;
    std::vector<Waiting> waiting_;
    std::vector<Delayed> delayed_;
    std::map<std::string, std::int64_t> calls_;
    std::int64_t rateSecond_ = 0;
    int writesInSecond_ = 0;
    int readsInSecond_ = 0;
    std::unique_ptr<CallerServer> server_;
};

} // namespace Cloverbarrow::Standins
