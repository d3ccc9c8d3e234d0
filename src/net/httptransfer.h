/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/answerhead.h"
#include "net/connectionsockets.h"
#include "net/httpclient.h"

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Cloverbarrow
{

struct EasyDeleter {
    void operator()(CURL *handle) const
    {
        curl_easy_cleanup(handle);
    }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

struct ListDeleter {
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

/// One call in flight.
struct Transfer {
    HttpCallId id = 0;
    HttpCall call;
    HttpCallback done;
    EasyHandle easy;
    HeaderList headers;
    std::string url;
    AnswerHeadReader head; ///< Of the answer, after interim answers.
    BodyBuilder body; ///< Of the answer.
    ConnectionSockets *sockets = nullptr; ///< Shared by the transfers of a thread. Outlives all connections.
    int openedSocket = -1; ///< The last one that was opened for this transfer; -1 if it reuses a connection.
    std::optional<ConnectionEnds> connection; ///< Once the request is being sent.
    std::size_t headBytes = 0; ///< With interim answers.
    std::optional<std::uint64_t> bytesBefore; ///< Bytes received on the connection when they were first counted for this transfer.
    bool hasUserTimeout = true; ///< Whether the kernel ends the connection after UserTimeout.
    bool wasSent = false;
    bool isResend = false;
    bool isTooLong = false;
    bool exceedsMemory = false; ///< There is no memory for the body of the answer.
    bool isHeadOnly = false; ///< The answer is complete after its head, and its body is not read.
    bool hasWrongEcho = false; ///< The answer does not have the expected echo, so it belongs to another exchange.
};

/// Sets the options of the transfer's libcurl handle for its call.
/// @param maxIdle longest time for which a reused connection may have been idle.
void configureTransfer(Transfer &transfer, Duration maxIdle);
/// @return whether more bytes have been received on the connection than an answer may take. libcurl reads some of them, e.g. chunk extensions, without a
/// callback.
bool isFlooded(Transfer &transfer);
/// Lets a request wait for a peer that does not read yet: takes UserTimeout off its connection. Call at least once within UserTimeout.
/// @return whether the peer of such a connection has gone.
bool awaitsGonePeer(Transfer &transfer);
/// @return whether the connection ended after a part of the answer's head.
bool isHeadTruncated(const Transfer &transfer, CURLcode code);
/// @return the outcome of the call after libcurl has finished it with @p code.
HttpOutcome outcomeOf(Transfer &transfer, CURLcode code);

} // namespace Cloverbarrow
