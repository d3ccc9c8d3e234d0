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

namespace Cloverbarrow
{

/// An attempt that is about to be sent.
struct OutgoingAttempt {
    const HttpRequest &request; ///< As the caller sent it.
    const StartAttempt &action;
    int number = 1; ///< With the attempts of levels above.
    Duration timeLeft{0};
    std::string tag; ///< Unlike that of any other attempt.
};

/// How callers, this system and backend servers write what they tell each other beside HTTP itself: header names,
/// and what statuses and headers of answers mean.
class ExchangeProtocol
{
public:
    virtual ~ExchangeProtocol() = default;

    /// @return name of the header with the milliseconds that the caller will wait.
    virtual const char *deadlineHeader() const = 0;
    /// @return name of the header with the caller's id of the request; nullptr when there is none.
    virtual const char *requestIdHeader() const = 0;
    /// Writes an attempt, but for its address, time limit and reuse of connections.
    virtual HttpCall attempt(const OutgoingAttempt &outgoing) const = 0;
    /// Writes a probe, with the same exceptions.
    virtual HttpCall probe(const StartProbe &action) const = 0;
    virtual AnsweredWhole read(const HttpAnswer &answer) const = 0;
    virtual std::optional<LoadReport> load(const Headers &headers) const = 0;
    /// @return how much longer the backend server stays cold after its start; nothing when it does not say.
    virtual std::optional<Duration> warmUp(const Headers &headers) const = 0;
    /// @return what the answer says of a limit on the backend server's requests.
    virtual LimitNotice requestLimit(const Headers &headers) const = 0;
    virtual bool isLeaving(const Headers &headers) const = 0;
    /// @return headers of a backend server's answer that are for the caller.
    virtual Headers forCaller(const Headers &headers) const = 0;
    /// Tells the levels above that this one has retried.
    virtual void markRetried(HttpAnswer &answer) const = 0;
    virtual HttpAnswer refusal(const Problem &problem) const = 0;
};

} // namespace Cloverbarrow
