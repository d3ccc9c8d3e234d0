/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/serviceevents.h"
#include "net/httpclient.h"
#include "net/httpmessage.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// An attempt that is about to be sent.
struct OutgoingAttempt {
    const HttpRequest &request; ///< As received from the caller.
    const StartAttempt &action;
    int number = 1; ///< Includes attempts made by the entry VMs and services in front of this one.
    Duration timeLeft{0};
    std::string tag; ///< Unique for each attempt.
    std::string_view workspace; ///< Name of the caller's workspace; empty if the caller is anonymous.
};

/// The conventions on top of HTTP between callers, entry VMs and backend servers: names of headers, and the meaning of statuses and
/// headers in answers.
class ExchangeProtocol
{
public:
    virtual ~ExchangeProtocol() = default;

    /// @return name of the header with the time in milliseconds that the caller will wait.
    virtual const char *deadlineHeader() const = 0;
    /// @return name of the header with the caller's id of the request; nullptr if the protocol has none.
    virtual const char *requestIdHeader() const = 0;
    /// Removes the caller's API key from @p headers, so that it is neither stored nor forwarded. @return the key; nothing if there is no valid one.
    virtual std::optional<std::string> takeApiKey(Headers &headers) const = 0;
    /// @return the HTTP call of an attempt; the address, the timeout and the reuse of connections are left to the sender.
    virtual HttpCall attemptCall(const OutgoingAttempt &outgoing) const = 0;
    /// @return the HTTP call of a probe; the address, the timeout and the reuse of connections are left to the sender.
    virtual HttpCall probeCall(const StartProbe &action) const = 0;
    virtual CompleteAnswer interpretAnswer(const HttpAnswer &answer) const = 0;
    virtual std::optional<LoadReport> loadReport(const Headers &headers) const = 0;
    /// @return remaining warm-up time of the backend server; nothing if it reports none.
    virtual std::optional<Duration> remainingWarmUp(const Headers &headers) const = 0;
    /// @return the request limit that the backend server announces in the answer; the text if it is unreadable.
    virtual LimitNotice limitNotice(const Headers &headers) const = 0;
    /// @return the backoff that the backend server requests in the answer; the text if it is unreadable.
    virtual BackoffNotice backoffNotice(const HttpAnswer &answer) const = 0;
    virtual bool isLeaving(const Headers &headers) const = 0;
    /// @return headers of a backend server's answer that are forwarded to the caller.
    virtual Headers headersForCaller(const Headers &headers) const = 0;
    /// Marks an answer so that the entry VMs and services in front of this one do not retry as well.
    virtual void markRetried(HttpAnswer &answer) const = 0;
    virtual HttpAnswer refusalAnswer(const Problem &problem) const = 0;
};

} // namespace Cloverbarrow
