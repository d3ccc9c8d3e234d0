/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/requestfingerprint.h"
#include "core/intent/operatorintent.h"
#include "core/requests/serviceevents.h"
#include "net/httpclient.h"
#include "net/log.h"

#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Logs each decision on a caller's request and its cause; docs/OPERATIONS.md explains the lines.
class RequestLog
{
public:
    RequestLog();

    void routed(std::string_view id, const std::string &service, const RequestKind &kind, const ActiveIntent &intent, Duration timeLeft) const;
    /// A request was refused before it reached a service. @param intent null if no configuration is active yet.
    void refusedOnArrival(std::string_view id, const Problem &problem, const ActiveIntent *intent, std::string_view target) const;
    /// A request is held until this entry VM is ready. @param maxWait after which it is refused. @param held number of held requests, with this one.
    void heldAtStart(std::string_view id, Duration maxWait, std::size_t held, std::string_view target) const;
    void releasedAtStart(std::string_view id, Duration waited) const;
    void attemptStarted(std::string_view id, const std::string &service, const StartAttempt &action) const;
    /// @param fingerprint logged if the answer was lost; a fingerprint that recurs in such lines indicates a poison request.
    /// @param event the core's view of @p outcome.
    void attemptEnded(
        std::string_view id, const RequestFingerprint &fingerprint, const std::string &service, const HttpOutcome &outcome, const AttemptEnded &event) const;
    void forwardStarted(std::string_view id, const std::string &service, const StartForward &action) const;
    void forwardedBackoffsInvalid(const std::string &service, const StartForward &action, std::string_view text) const;
    void forwardEnded(std::string_view id, const std::string &service, const StartForward &action, const ForwardEnded &event) const;
    /// A request that another entry VM has forwarded was accepted.
    void forwardAccepted(std::string_view id, const std::string &service, Duration timeLeft) const;
    void serverDroppedRequest(std::string_view id, const std::string &service, const ServerDroppedRequest &action) const;
    void silentServersChanged(const std::string &service, const SilentServersChanged &action) const;
    void serverReachabilityChanged(const std::string &service, const ServerReachabilityChanged &action) const;
    void attemptCancelled(std::string_view id, const CancelAttempt &action) const;
    void serverEjected(const std::string &service, const ServerEjected &action) const;
    void serverLimitChanged(const std::string &service, const ServerLimitObserved &action) const;
    void serverLimitUnreadable(const std::string &service, const ServerLimitUnreadable &action) const;
    void serverBackoffStarted(const std::string &service, const ServerBackoffStarted &action) const;
    void serverBackoffUnreadable(const std::string &service, const ServerBackoffUnreadable &action) const;
    void slowServerObserved(std::string_view id, const std::string &service, const SlowServerObserved &action) const;
    void slowServerHintAdded(const std::string &service, const SlowServerHintAdded &action) const;
    void slowServerHintOverridden(std::string_view id, const std::string &service, const SlowServerHintOverridden &action) const;
    void slowServerHintsUpdated(const std::string &service, const SlowServerHintsUpdated &action) const;
    void serverCrashed(const std::string &service, const ReportServerCrash &action) const;
    void serverRecovered(const std::string &service, const ReportServerRecovered &action) const;
    void requestExonerated(const std::string &service, const ReportSuspectAnswered &action) const;
    void callerGone(std::string_view id, Duration after) const;
    void answered(std::string_view id, int attempt, int status, Duration after) const;
    void refused(std::string_view id, const Problem &problem, Duration after) const;

private:
    Log log_;
    Log slowServerLog_; ///< As limitLog_.
    Log limitLog_; ///< A separate part with its own rate limit, so that many request lines do not suppress these.
};

} // namespace Cloverbarrow
