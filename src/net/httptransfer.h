/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/httpclient.h"

#include <curl/curl.h>

#include <cstddef>
#include <memory>
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
    HttpAnswer answer;
    std::size_t headBytes = 0;
    bool wasSent = false;
    bool isResend = false;
    bool isTooLong = false;
    bool isInterim = false; ///< Whether the head being read belongs to an interim (1xx) answer.
    bool hasWrongEcho = false; ///< The answer does not have the expected echo, so it belongs to another exchange.
};

/// Sets the options of the transfer's libcurl handle for its call.
/// @param maxIdle longest time for which a reused connection may have been idle.
void configureTransfer(Transfer &transfer, Duration maxIdle);
/// @return the outcome of the call after libcurl has finished it with @p code.
HttpOutcome outcomeOf(Transfer &transfer, CURLcode code);

} // namespace Cloverbarrow
