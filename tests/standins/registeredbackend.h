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
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Cloverbarrow::Standins
{

/// How a registered backend server answers.
enum class AnswerMode {
    Serve,
    Shed, ///< Answers that the request was not executed.
    Hang, ///< Executes the request and never answers.
    Reset, ///< Executes the request and resets the connection.
    Unsigned, ///< Answers without its signature.
    Unframed, ///< Answers without a length and closes the connection.
    UnknownStatus, ///< Executes the request and answers with a status that HTTP does not have, on a connection that stays open.
    Switching, ///< Executes the request and answers that it switches to another protocol, which nobody has requested.
};

/// Which answers announce a request limit.
enum class LimitScope {
    Requests,
    RequestsAndProbes,
};

/// A request that arrived at a server, and what its answer announces.
struct Arrival {
    std::string server; ///< Id of the incarnation.
    std::string requestId;
    TimePoint at;
    bool announcesLeaving = false;
    Duration backoff{0}; ///< As requested in the rejection; 0 for none.
};

/// Capacity of a server that never answers the requests that exceed its slots and its queue.
struct SilentCapacity {
    std::size_t queueLength = 1;
    Duration work{0}; ///< Time for which a request occupies a slot.
};

/// Stand-in for a backend server on the platform: checks the expected instance, echoes the request's id, signs its answers and reports its load.
class RegisteredBackend
{
public:
    explicit RegisteredBackend(std::string id);
    ~RegisteredBackend();

    std::string address() const;
    /// @return the specification that the server registers with the store.
    nlohmann::json registration(const std::string &service, const std::string &state = "ready") const;
    void setAnswerMode(AnswerMode mode);
    /// Limits the capacity for requests from now on. @param capacity nothing for no limit: requests take no time.
    void setCapacity(const std::optional<SilentCapacity> &capacity);
    /// @return number of requests that were dropped without an answer because they exceeded the capacity.
    int droppedRequests() const;
    /// Makes the server cold for @p duration. Its answers report the remaining warm-up time.
    void makeCold(Duration duration);
    /// @return maximum number of requests whose execution began within any second while the server was cold. The first 150 ms of being cold do not count.
    int maxColdRequestsPerSecond() const;
    /// Announces a request limit in the answers from now on. @param text value of the header; empty for no limit.
    void announceLimit(const std::string &text, LimitScope scope = LimitScope::RequestsAndProbes);
    /// Announces in all answers from now on that the server is leaving. The next incarnation does not.
    void announceLeaving();
    /// Adds a Retry-After header to the answers in AnswerMode::Shed. @param text value of the header; empty for none.
    void setRetryAfter(const std::string &text);
    /// @return all requests for this server, including rejected ones, in order.
    std::vector<Arrival> arrivals() const;
    /// @return maximum number of requests whose execution began within any @p window that begins at @p from or later.
    int maxExecutions(Duration window, TimePoint from) const;
    /// Acts as another backend server that took over the address.
    void replaceInstance(const std::string &id);
    /// @return ids of the executed requests, in order.
    std::vector<std::string> executedRequestIds() const;
    /// @return number of hanging requests whose connection was closed by the sender.
    int cancelledRequests() const;

    /// @return whether a request has crashed the server; requests that arrive until stopAfterCrash() are not executed.
    bool hasCrashed() const;
    /// Stops listening at the address of the crashed server and closes its remaining connections.
    void stopAfterCrash();
    /// Restarts after a crash, at a new address. @param id id of the new incarnation.
    void restartAfterCrash(const std::string &id);

private:
    struct RunningRequest {
        std::shared_ptr<CallerConnection> connection;
        HttpAnswer answer;
        bool isHead = false;
    };

    void listen();
    void accept(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request);
    /// @return remaining time for which the server is cold. Call with the mutex held.
    Duration remainingWarmUpLocked() const;
    void recordColdExecutionLocked();
    void recordArrivalLocked(const std::string &requestId);
    bool isFullLocked() const;
    std::string loadLocked() const;
    /// Answers the request when its work is done. Call with the mutex held and a capacity set.
    void runLocked(RunningRequest request);
    /// Sends the answers that are due until the stand-in ends.
    void answerCompleted();
    /// Closes all connections, as the exit of a process does. Call with the mutex held.
    void crashLocked();

    mutable std::mutex mutex_;
    std::string id_;
    AnswerMode answerMode_ = AnswerMode::Serve;
    std::vector<std::string> executedRequestIds_;
    std::vector<TimePoint> executionTimes_; ///< In ascending order.
    std::vector<Arrival> arrivals_;
    std::string retryAfter_;
    std::string limit_;
    LimitScope limitScope_ = LimitScope::RequestsAndProbes;
    bool isLeaving_ = false;
    TimePoint coldSince_;
    TimePoint warmAt_;
    std::deque<TimePoint> coldExecutions_; ///< Executions in the last second while cold.
    int maxColdRequestsPerSecond_ = 0;
    std::vector<std::shared_ptr<CallerConnection>> hangingConnections_;
    std::optional<SilentCapacity> capacity_;
    std::multimap<TimePoint, RunningRequest> running_; ///< Running and queued requests by the time of their answer.
    int droppedRequests_ = 0;
    std::condition_variable changed_; ///< Signals a new entry of running_ or the end.
    bool isEnding_ = false;
    std::thread answerThread_; ///< Runs once a capacity has been set.
    std::vector<std::weak_ptr<CallerConnection>> connections_; ///< Connections that have sent a request.
    bool hasCrashed_ = false;
    std::string address_;
    std::unique_ptr<CallerServer> server_;
};

/// Requests whose target contains this text crash the server that executes them.
constexpr const char *PoisonRequestMark = "/fatal-";

} // namespace Cloverbarrow::Standins
