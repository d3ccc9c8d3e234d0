/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "net/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// What the answer must repeat to be taken as this call's.
struct ExpectedEcho {
    std::string header; ///< Empty when nothing is expected.
    std::string value;
    bool isRequired = false; ///< An answer without the header is not taken either.
};

/// One request to a server.
struct HttpCall {
    std::string address; ///< `IP:port`.
    HttpRequest request;
    Duration timeout = seconds(1);
    bool mayReuseConnection = false;
    ExpectedEcho echo;
    bool mayEndWithConnection = false; ///< An answer without length is whole when its connection is closed in order.
    bool unpacks = false; ///< A compressed answer is asked for, and handed on unpacked.
    bool checksPeer = false; ///< A peer that is cut off is noticed while it is waited for, and not only when it is sent to.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

/// Names an exchange; a backend server that echoes it proves that the answer belongs to the request.
constexpr const char *ExchangeTagHeader = "Cloverbarrow-Exchange";

/// Why a call got no whole answer.
struct HttpFailure {
    bool hasLeft = true; ///< False when certainly no byte of the request was sent.
    bool isTimeout = false;
    std::string reason;
    bool isTurnedAway = false; ///< The connection was refused or ended at once, or another server answered: not silence.
};

using HttpOutcome = std::variant<HttpAnswer, HttpFailure>;
using HttpDone = std::function<void(HttpOutcome)>;

/// Names a call that may be cancelled.
using HttpCallId = std::uint64_t;

/// Sends HTTP requests through libcurl on threads of its own. Each request is sent at most once: libcurl's own
/// resending on a dead connection is prevented, and an answer that is cut, that cannot be told to be
/// whole, or that belongs to another exchange is a failure.
class HttpClient
{
public:
    /// @param threads how many; all calls to one address go through one thread, so that it can count connections.
    explicit HttpClient(std::size_t threads);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call. @param done is called once, on a thread of this client, unless the call is cancelled.
    void start(HttpCallId id, HttpCall call, HttpDone done);
    /// Ends a call early; its done is called with a failure.
    void cancel(HttpCallId id, const std::string &address);
    /// @param count most connections to one address, used or idle.
    void setConnectionsPerAddress(long count);
    /// Ends all calls with a failure and stops the threads.
    void stop();

private:
    class Worker;

    Worker &workerOf(const std::string &address);

    std::vector<std::unique_ptr<Worker>> workers_;
};

} // namespace Cloverbarrow
