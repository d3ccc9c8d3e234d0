/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "net/callerserver.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Cloverbarrow::Standins
{

/// How a registered backend server answers.
enum class Conduct {
    Serve,
    Shed, ///< Says that it did not run the request.
    Hang, ///< Runs it and never answers.
    Reset, ///< Runs it and drops the connection.
    Unsigned, ///< Answers without its signature.
    Unframed, ///< Answers without a length and closes the connection.
};

/// Which answers name a limit on requests.
enum class LimitBearers {
    Requests,
    RequestsAndProbes,
};

/// Small stand-in for a backend server on the users' platform: checks the expected instance, echoes the
/// request's id, signs its answers and tells its load.
class RegisteredBackend
{
public:
    explicit RegisteredBackend(std::string id);
    ~RegisteredBackend();

    std::string address() const;
    /// @return what it registers with the store.
    nlohmann::json registration(const std::string &service, const std::string &state = "ready") const;
    void conduct(Conduct conduct);
    /// It is cold for @p duration from now on, and says so.
    void chill(Duration duration);
    /// @return most requests that it began to run in any second while it was cold, from a moment after it had turned so.
    int mostWhileCold() const;
    /// Names a limit on requests in its answers from now on. @param text of the limit; empty for none.
    void nameLimit(const std::string &text, LimitBearers bearers = LimitBearers::RequestsAndProbes);
    /// @return most requests that it began to run in any @p window that began at @p from or later.
    int mostRuns(Duration window, TimePoint from) const;
    /// Another incarnation takes the address over.
    void becomeInstance(const std::string &id);
    /// @return ids of the requests that were run.
    std::vector<std::string> runs() const;
    /// @return connections of hanging requests that were closed by their sender.
    int abandoned() const;

    /// @return whether a request has crashed it; what comes until endAfterCrash() is not run.
    bool hasCrashed() const;
    /// Ends what is left of the crashed server: nothing listens at its address from now on.
    void endAfterCrash();
    /// Starts again after a crash, at an address of its own. @param id of the new start.
    void startAfterCrash(const std::string &id);

private:
    void listen();
    void accept(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request);
    /// @return how much longer it stays cold. Call under the mutex.
    Duration coldLeftLocked() const;
    void countColdRunLocked();
    /// Drops all connections, as the end of a process does. Call under the mutex.
    void crashLocked();

    mutable std::mutex mutex_;
    std::string id_;
    Conduct conduct_ = Conduct::Serve;
    std::vector<std::string> runs_;
    std::vector<TimePoint> runTimes_; ///< In order.
    std::string limit_;
    LimitBearers limitBearers_ = LimitBearers::RequestsAndProbes;
    TimePoint chilledAt_;
    TimePoint warmAt_;
    std::deque<TimePoint> coldRuns_; ///< Of the last second.
    int mostWhileCold_ = 0;
    std::vector<std::shared_ptr<CallerConnection>> hanging_;
    std::vector<std::weak_ptr<CallerConnection>> connections_; ///< That have sent a request.
    bool hasCrashed_ = false;
    std::string address_;
    std::unique_ptr<CallerServer> server_;
};

/// Requests whose target has this text crash the server that begins to run them.
constexpr const char *FatalMark = "/fatal-";

} // namespace Cloverbarrow::Standins
