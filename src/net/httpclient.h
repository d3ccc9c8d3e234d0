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

/// A header that the answer must echo to be accepted as the answer to this call.
struct ExpectedEcho {
    std::string header; ///< Empty when nothing is expected.
    std::string value;
    bool isRequired = false; ///< Whether an answer without the header is rejected as well.
};

/// One request to a server.
struct HttpCall {
    std::string address; ///< `IP:port`.
    HttpRequest request;
    Duration timeout = seconds(1);
    bool mayReuseConnection = false;
    ExpectedEcho echo;
    bool acceptsCloseDelimited = false; ///< An answer without a length is complete when its connection is closed cleanly (RFC 9112).
    bool acceptsGzip = false; ///< Requests a gzip-compressed answer and decompresses it.
    std::string successHeader = {}; ///< If set, a success (2xx) without this header is complete after its head, and its body is not read.
    bool usesTcpKeepAlive = false; ///< TCP keep-alive: a peer that is cut off is noticed while waiting for its answer, and not only when sending.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024; ///< Of the body. The bytes on the connection are bounded as well, with what frames the body.
};

/// Header with a unique tag of the exchange. A backend server that echoes it proves that the answer belongs to the request.
constexpr const char *ExchangeTagHeader = "Cloverbarrow-Exchange";

/// Why a call got no complete answer.
struct HttpFailure {
    bool wasSent = true; ///< False only if certainly no byte of the request was sent.
    bool isTimeout = false;
    std::string reason;
    bool isRejected = false; ///< The connection was refused or closed early, or another server answered; so the address is not unresponsive.
    bool usedNewConnection = false; ///< A connection was opened for the call, or could not be opened.
    bool isCancelled = false;
};

using HttpOutcome = std::variant<HttpAnswer, HttpFailure>;
using HttpCallback = std::function<void(HttpOutcome)>;

/// Identifies a call, for cancelling it.
using HttpCallId = std::uint64_t;

/// Sends HTTP requests through libcurl on its own threads. Each request is sent at most once: libcurl is kept from resending a request
/// on a new connection after a dead one. An answer that is truncated, whose end cannot be determined, or that belongs to another exchange
/// is a failure. So is one that does not end within the bounds on its size.
class HttpClient
{
public:
    /// Bound on the bytes of all answers of a client that has no memory budget in common with others.
    static constexpr std::size_t DefaultMaxAnswerBytes = 48 * 1024 * 1024;

    /// @param threads number of threads. All calls to one address use the same thread, so that it can limit its connections.
    /// @param memory for the answers, from their first byte until they are not used any more. An answer for which there is none is a failure.
    explicit HttpClient(std::size_t threads, const std::shared_ptr<MemoryBudget> &memory = std::make_shared<MemoryBudget>(DefaultMaxAnswerBytes));
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call. A call in flight with the same id is cancelled. @param done is called once, on a thread of this client, or within this function if the
    /// client has been stopped.
    void start(HttpCallId id, HttpCall call, HttpCallback done);
    /// Cancels a call; its callback receives a failure.
    void cancel(HttpCallId id, const std::string &address);
    /// @param count maximum number of connections to one address, used or idle.
    void setMaxConnectionsPerAddress(long count);
    /// Fails all calls in flight and stops the threads.
    void stop();

private:
    class Worker;

    Worker &workerOf(const std::string &address);

    std::vector<std::unique_ptr<Worker>> workers_;
};

} // namespace Cloverbarrow
