/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/requestlog.h"

#include "core/servers/silentserverdetector.h"

#include <array>

namespace Cloverbarrow
{

namespace
{

// Targets come from callers and versions from operators, so both are truncated to bound the length of a line.
constexpr std::size_t MaxLoggedText = 64;

const char *textOf(ExecutionStatus status)
{
    return status == ExecutionStatus::NotExecuted ? "not run" : "unknown";
}

const char *textOf(SlowServerCause cause)
{
    return cause == SlowServerCause::Slow ? "slow" : "response lost";
}

} // namespace

RequestLog::RequestLog()
    : log_("request")
    , slowServerLog_("slow servers")
    , limitLog_("limits")
{
}

void RequestLog::routed(std::string_view id, const std::string &service, const RequestKind &kind, const ActiveIntent &intent, Duration timeLeft) const
{
    log_.info("routed",
              {{"id", id},
               {"service", service},
               {"kind", kind.name},
               {"version", intent.version},
               {"operators_version", std::string_view(intent.value).substr(0, MaxLoggedText)},
               {"time_left_ms", toMilliseconds(timeLeft)}});
}

void RequestLog::refusedOnArrival(std::string_view id, const Problem &problem, const ActiveIntent *intent, std::string_view target) const
{
    log_.info("refused",
              {{"id", id},
               {"status", std::int64_t(problem.status)},
               {"outcome", textOf(problem.executionStatus)},
               {"step", problem.step},
               {"peer", problem.peer},
               {"detail", problem.detail},
               {"version", intent ? intent->version : 0},
               {"operators_version", intent ? std::string_view(intent->value).substr(0, MaxLoggedText) : std::string_view()},
               {"target", target.substr(0, MaxLoggedText)}});
}

void RequestLog::heldAtStart(std::string_view id, Duration maxWait, std::size_t held, std::string_view target) const
{
    log_.info("held until ready",
              {{"id", id}, {"max_wait_ms", toMilliseconds(maxWait)}, {"held", static_cast<std::int64_t>(held)}, {"target", target.substr(0, MaxLoggedText)}});
}

void RequestLog::releasedAtStart(std::string_view id, Duration waited) const
{
    log_.info("released", {{"id", id}, {"waited_ms", toMilliseconds(waited)}});
}

void RequestLog::attemptStarted(std::string_view id, const std::string &service, const StartAttempt &action) const
{
    constexpr std::array Causes = {"first", "retry", "hedge"};
    const LoadReport report = action.logContext.report.value_or(LoadReport{});
    log_.info("attempt started",
              {{"id", id},
               {"attempt", std::int64_t(action.attempt)},
               {"cause", Causes[static_cast<std::size_t>(action.logContext.cause)]},
               {"service", service},
               {"server", action.backend},
               {"address", action.address},
               {"probes", std::int64_t(action.logContext.serversProbed)},
               {"waited_before_ms", toMilliseconds(action.logContext.priorWait)},
               {"report_age_ms", action.logContext.report ? toMilliseconds(action.logContext.reportAge) : -1.0},
               {"running", std::int64_t(report.running)},
               {"waiting", std::int64_t(report.waiting)},
               {"slots", std::int64_t(report.slots)},
               {"slowness", report.slowness},
               {"limit_per_second", action.logContext.limit.value_or(-1)},
               {"limit_age_ms", action.logContext.limit ? toMilliseconds(action.logContext.limitAge) : -1.0},
               {"limit_share", std::int64_t(action.logContext.limitShare)},
               {"slow_hint_age_ms", action.logContext.slowHintAge ? toMilliseconds(*action.logContext.slowHintAge) : -1.0}});
}

void RequestLog::attemptEnded(
    std::string_view id, const RequestFingerprint &fingerprint, const std::string &service, const HttpOutcome &outcome, const AttemptEnded &event) const
{
    const auto *failure = std::get_if<HttpFailure>(&outcome);
    const std::int64_t status = failure ? 0 : std::get<HttpAnswer>(outcome).status;
    const bool isLost = failure && failure->wasSent;
    const auto *answer = std::get_if<CompleteAnswer>(&event.outcome);
    log_.info("attempt ended",
              {{"id", id},
               {"attempt", std::int64_t(event.attempt)},
               {"service", service},
               {"status", status},
               {"server_leaving", answer && answer->isLeaving ? "yes" : "no"},
               {"left", failure && !failure->wasSent ? "no" : "yes"},
               {"reason", failure ? std::string_view(failure->reason) : std::string_view()},
               {"content", isLost ? std::string_view(fingerprint.digest) : std::string_view()},
               {"caller", isLost ? std::string_view(fingerprint.caller) : std::string_view()}});
}

void RequestLog::forwardStarted(std::string_view id, const std::string &service, const StartForward &action) const
{
    log_.info("forward started",
              {{"id", id},
               {"attempt", std::int64_t(action.attempt)},
               {"service", service},
               {"peer", action.peer},
               {"max_attempts", std::int64_t(action.maxAttempts)}});
}

void RequestLog::forwardedBackoffsInvalid(const std::string &service, const StartForward &action, std::string_view text) const
{
    limitLog_.warn("server backoffs from a peer are invalid", {{"service", service}, {"peer", action.peer}, {"text", text.substr(0, MaxLoggedText)}});
}

void RequestLog::forwardEnded(std::string_view id, const std::string &service, const StartForward &action, const ForwardEnded &event) const
{
    struct Describer {
        std::string operator()(const ForwardAnswered &) const
        {
            return "answered";
        }
        std::string operator()(const ForwardRefused &refused) const
        {
            return std::string("refused, ") + textOf(refused.problem.executionStatus) + ": " + refused.problem.detail;
        }
        std::string operator()(const NotSent &failure) const
        {
            return "not sent: " + failure.reason;
        }
        std::string operator()(const LostAnswer &failure) const
        {
            return "answer lost: " + failure.reason;
        }
    };
    log_.info("forward ended",
              {{"id", id},
               {"attempt", std::int64_t(event.attempt)},
               {"service", service},
               {"peer", action.peer},
               {"result", std::visit(Describer{}, event.outcome)}});
}

void RequestLog::forwardAccepted(std::string_view id, const std::string &service, Duration timeLeft) const
{
    log_.info("forward accepted", {{"id", id}, {"service", service}, {"time_left_ms", toMilliseconds(timeLeft)}});
}

void RequestLog::serverReachabilityChanged(const std::string &service, const ServerReachabilityChanged &action) const
{
    log_.warn(
        action.isPartitioned || action.rejectsNewConnections ? "servers unreachable" : "servers reachable",
        {{"service", service}, {"any_connection", action.isPartitioned ? "no" : "yes"}, {"new_connections", action.rejectsNewConnections ? "no" : "yes"}});
}

void RequestLog::serverDroppedRequest(std::string_view id, const std::string &service, const ServerDroppedRequest &action) const
{
    log_.warn("server dropped a request",
              {{"id", id},
               {"attempt", std::int64_t(action.attempt)},
               {"service", service},
               {"server", action.backend},
               {"age_ms", toMilliseconds(action.attemptAge)},
               {"in_flight_here", std::int64_t(action.inFlight)},
               {"running", std::int64_t(action.report.running)},
               {"waiting", std::int64_t(action.report.waiting)},
               {"slots", std::int64_t(action.report.slots)},
               {"report_age_ms", toMilliseconds(action.reportAge)}});
}

void RequestLog::silentServersChanged(const std::string &service, const SilentServersChanged &action) const
{
    const char *rule = action.isActive ? "only to servers with a fresh report and free capacity" : "also by old reports";
    log_.warn(action.isActive ? "servers drop requests" : "servers drop no requests",
              {{"service", service}, {"requests_go", rule}, {"lasts_ms", toMilliseconds(SilentServerDetector::StateLifetime)}});
}

void RequestLog::attemptCancelled(std::string_view id, const CancelAttempt &action) const
{
    log_.info("attempt cancelled", {{"id", id}, {"attempt", std::int64_t(action.attempt)}, {"address", action.address}});
}

void RequestLog::serverEjected(const std::string &service, const ServerEjected &action) const
{
    log_.info("server ejected", {{"service", service}, {"server", action.backend}, {"lasts_ms", toMilliseconds(action.duration)}, {"after", action.reason}});
}

void RequestLog::serverLimitChanged(const std::string &service, const ServerLimitObserved &action) const
{
    constexpr std::array Sources = {"answer", "rejection", "probe"};
    const char *source = action.source ? Sources[static_cast<std::size_t>(*action.source)] : "peer";
    if (action.perSecond) {
        limitLog_.info("server request limit changed",
                       {{"service", service},
                        {"server", action.backend},
                        {"per_second", *action.perSecond},
                        {"share", std::int64_t(action.share.value_or(0))},
                        {"told_by", source}});
    } else {
        limitLog_.info("server request limit removed", {{"service", service}, {"server", action.backend}, {"told_by", source}});
    }
}

void RequestLog::serverLimitUnreadable(const std::string &service, const ServerLimitUnreadable &action) const
{
    limitLog_.warn("server request limit is invalid", {{"service", service}, {"server", action.backend}, {"text", action.text}});
}

void RequestLog::serverBackoffStarted(const std::string &service, const ServerBackoffStarted &action) const
{
    limitLog_.info("server requests a backoff", {{"service", service}, {"server", action.backend}, {"lasts_ms", toMilliseconds(action.duration)}});
}

void RequestLog::serverBackoffUnreadable(const std::string &service, const ServerBackoffUnreadable &action) const
{
    limitLog_.warn("server backoff is invalid", {{"service", service}, {"server", action.backend}, {"text", action.text}});
}

void RequestLog::slowServerObserved(std::string_view id, const std::string &service, const SlowServerObserved &action) const
{
    const LoadReport load = action.load.value_or(LoadReport{});
    slowServerLog_.info("slow server observed",
                        {{"id", id},
                         {"attempt", std::int64_t(action.attempt)},
                         {"service", service},
                         {"server", action.report.server},
                         {"cause", textOf(action.report.cause)},
                         {"attempt_age_ms", toMilliseconds(action.attemptAge)},
                         {"slow_after_ms", toMilliseconds(action.slowAfter)},
                         {"report_age_ms", action.load ? toMilliseconds(action.loadAge) : -1.0},
                         {"running", std::int64_t(load.running)},
                         {"waiting", std::int64_t(load.waiting)},
                         {"slots", std::int64_t(load.slots)},
                         {"slowness", load.slowness},
                         {"slow_servers", static_cast<std::int64_t>(action.hints)}});
}

void RequestLog::slowServerHintAdded(const std::string &service, const SlowServerHintAdded &action) const
{
    slowServerLog_.info("slow server hint received",
                        {{"service", service},
                         {"server", action.report.server},
                         {"cause", textOf(action.report.cause)},
                         {"age_ms", toMilliseconds(action.age)},
                         {"lasts_ms", toMilliseconds(action.lifetime)},
                         {"slow_servers", static_cast<std::int64_t>(action.hints)}});
}

void RequestLog::slowServerHintOverridden(std::string_view id, const std::string &service, const SlowServerHintOverridden &action) const
{
    slowServerLog_.info("slow server hint overridden",
                        {{"id", id},
                         {"attempt", std::int64_t(action.attempt)},
                         {"service", service},
                         {"server", action.backend},
                         {"age_ms", toMilliseconds(action.age)},
                         {"latency_ms", toMilliseconds(action.latency)},
                         {"slow_servers", static_cast<std::int64_t>(action.hints)}});
}

void RequestLog::slowServerHintsUpdated(const std::string &service, const SlowServerHintsUpdated &action) const
{
    slowServerLog_.info("slow server hints updated",
                        {{"service", service},
                         {"expired", static_cast<std::int64_t>(action.expired)},
                         {"slow_servers", static_cast<std::int64_t>(action.hints)},
                         {"used", action.isSuspended ? "no, too many servers are named" : "yes"}});
}

void RequestLog::serverCrashed(const std::string &service, const ReportServerCrash &action) const
{
    for (const RequestFingerprint &fingerprint : action.fingerprints) {
        log_.warn("server crashed", {{"service", service}, {"server", action.backend}, {"content", fingerprint.digest}, {"caller", fingerprint.caller}});
    }
}

void RequestLog::serverRecovered(const std::string &service, const ReportServerRecovered &action) const
{
    log_.info("server crash withdrawn, the server answers again", {{"service", service}, {"server", action.backend}});
}

void RequestLog::requestExonerated(const std::string &service, const ReportSuspectAnswered &action) const
{
    log_.info("request exonerated", {{"service", service}, {"content", action.fingerprint.digest}, {"caller", action.fingerprint.caller}});
}

void RequestLog::callerGone(std::string_view id, Duration after) const
{
    log_.info("caller gone", {{"id", id}, {"after_ms", toMilliseconds(after)}});
}

void RequestLog::answered(std::string_view id, int attempt, int status, Duration after) const
{
    log_.info("answered", {{"id", id}, {"attempt", std::int64_t(attempt)}, {"status", std::int64_t(status)}, {"after_ms", toMilliseconds(after)}});
}

void RequestLog::refused(std::string_view id, const Problem &problem, Duration after) const
{
    log_.info("refused",
              {{"id", id},
               {"status", std::int64_t(problem.status)},
               {"outcome", textOf(problem.executionStatus)},
               {"step", problem.step},
               {"peer", problem.peer},
               {"detail", problem.detail},
               {"retry_after_ms", toMilliseconds(problem.retryAfter.value_or(Duration(0)))},
               {"after_ms", toMilliseconds(after)}});
}

} // namespace Cloverbarrow
