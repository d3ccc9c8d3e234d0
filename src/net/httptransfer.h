/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/httpclient.h"

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <map>
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

/// Sockets of connections by their local port, since libcurl does not tell which connection a transfer in flight uses.
using SocketsByPort = std::map<int, int>;

/// One call in flight.
struct Transfer {
    HttpCallId id = 0;
    HttpCall call;
    HttpCallback done;
    EasyHandle easy;
    HeaderList headers;
    std::string url;
    HttpAnswer answer;
    BodyBuilder body; ///< Of the answer.
    SocketsByPort *sockets = nullptr; ///< Shared by the transfers of a thread.
    int socket = -1; ///< Socket of the connection, once the request is being sent.
    std::size_t headBytes = 0; ///< With interim answers.
    std::optional<std::uint64_t> bytesBefore; ///< Bytes received on the connection when they were first counted for this transfer.
    bool wasSent = false;
    bool isResend = false;
    bool isTooLong = false;
    bool exceedsMemory = false; ///< There is no memory for the body of the answer.
    bool isHeadOnly = false; ///< The answer is complete after its head, and its body is not read.
    bool isWithinHead = false; ///< The status line of a head has been read, and its end has not.
    bool hasRepeatedStatus = false; ///< There is another status line within a head.
    bool isInterim = false; ///< Whether the head being read belongs to an interim (1xx) answer.
    bool hasWholeHead = false; ///< The head of the final answer is complete. Header lines after it are trailers.
    bool hasWrongEcho = false; ///< The answer does not have the expected echo, so it belongs to another exchange.
};

/// Sets the options of the transfer's libcurl handle for its call.
/// @param maxIdle longest time for which a reused connection may have been idle.
void configureTransfer(Transfer &transfer, Duration maxIdle);
/// @return whether more bytes have been received on the connection than an answer may take. libcurl reads some of them, e.g. chunk extensions, without a
/// callback.
bool isFlooded(Transfer &transfer);
/// @return whether the connection ended after a part of the answer's head.
bool isHeadTruncated(const Transfer &transfer, CURLcode code);
/// @return the outcome of the call after libcurl has finished it with @p code.
HttpOutcome outcomeOf(Transfer &transfer, CURLcode code);

} // namespace Cloverbarrow
