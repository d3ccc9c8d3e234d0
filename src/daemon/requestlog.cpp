/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/requestlog.h"

#include <array>

namespace Cloverbarrow
{

namespace
{

// Callers choose targets, operators versions; a line stays short whatever they choose.
constexpr std::size_t MaxLoggedText = 64;

const char *textOf(Fate fate)
{
    return fate == Fate::NotRun ? "not run" : "unknown";
}

} // namespace

RequestLog::RequestLog()
    : log_("request")
{
}

void RequestLog::routed(std::string_view id, const std::string &service, const RequestKind &kind, const IntentInForce &intent, Duration timeLeft) const
{
    log_.info("routed",
              {{"id", id},
               {"service", service},
               {"kind", kind.name},
               {"version", intent.version},
               {"operators_version", std::string_view(intent.value).substr(0, MaxLoggedText)},
               {"time_left_ms", toMilliseconds(timeLeft)}});
}

void RequestLog::turnedAway(std::string_view id, const Problem &problem, const IntentInForce *intent, std::string_view target) const
{
    log_.info("refused",
              {{"id", id},
               {"status", std::int64_t(problem.status)},
               {"outcome", textOf(problem.fate)},
               {"step", problem.step},
               {"peer", problem.peer},
               {"detail", problem.detail},
               {"version", intent ? intent->version : 0},
               {"operators_version", intent ? std::string_view(intent->value).substr(0, MaxLoggedText) : std::string_view()},
               {"target", target.substr(0, MaxLoggedText)}});
}

void RequestLog::attemptStarted(std::string_view id, const std::string &service, const StartAttempt &action) const
{
    constexpr std::array Causes = {"first", "retry", "hedge"};
    const LoadReport report = action.note.report.value_or(LoadReport{});
    log_.info("attempt started",
              {{"id", id},
               {"attempt", std::int64_t(action.attempt)},
               {"cause", Causes[static_cast<std::size_t>(action.note.cause)]},
               {"service", service},
               {"server", action.backend},
               {"address", action.address},
               {"probes", std::int64_t(action.note.probes)},
               {"waited_before_ms", toMilliseconds(action.note.waitedBefore)},
               {"report_age_ms", action.note.report ? toMilliseconds(action.note.reportAge) : -1.0},
               {"running", std::int64_t(report.running)},
               {"waiting", std::int64_t(report.waiting)},
               {"slots", std::int64_t(report.slots)},
               {"slowness", report.slowness}});
}

void RequestLog::attemptEnded(std::string_view id, const RequestContent &content, const std::string &service, int attempt, const HttpOutcome &outcome) const
{
    const auto *failure = std::get_if<HttpFailure>(&outcome);
    const std::int64_t status = failure ? 0 : std::get<HttpAnswer>(outcome).status;
    const bool isLost = failure && failure->hasLeft;
    log_.info("attempt ended",
              {{"id", id},
               {"attempt", std::int64_t(attempt)},
               {"service", service},
               {"status", status},
               {"left", failure && !failure->hasLeft ? "no" : "yes"},
               {"reason", failure ? std::string_view(failure->reason) : std::string_view()},
               {"content", isLost ? std::string_view(content.digest) : std::string_view()},
               {"caller", isLost ? std::string_view(content.caller) : std::string_view()}});
}

void RequestLog::attemptCancelled(std::string_view id, const CancelAttempt &action) const
{
    log_.info("attempt cancelled", {{"id", id}, {"attempt", std::int64_t(action.attempt)}, {"address", action.address}});
}

void RequestLog::serverEjected(const std::string &service, const ServerEjected &action) const
{
    log_.info("server ejected", {{"service", service}, {"server", action.backend}, {"lasts_ms", toMilliseconds(action.lasts)}, {"after", action.reason}});
}

void RequestLog::serverLimitNoticed(const std::string &service, const ServerLimitNoticed &action) const
{
    constexpr std::array Sources = {"run", "rejection", "probe"};
    const char *source = Sources[static_cast<std::size_t>(action.source)];
    struct Writer {
        const Log &log;
        const std::string &service;
        const std::string &server;
        const char *source;

        void operator()(const NoRequestLimit &) const
        {
            log.info("answers name no request limit any more", {{"service", service}, {"server", server}, {"source", source}});
        }
        void operator()(const RequestLimit &limit) const
        {
            log.info("answers name a request limit",
                     {{"service", service}, {"server", server}, {"source", source}, {"per_second", limit.perSecond}, {"header", limit.header}});
        }
        void operator()(const UnreadableLimit &limit) const
        {
            log.warn("request limit cannot be read", {{"service", service}, {"server", server}, {"source", source}, {"text", limit.text}});
        }
    };
    std::visit(Writer{log_, service, action.backend, source}, action.notice);
}

void RequestLog::serverEnded(const std::string &service, const TellServerEnded &action) const
{
    for (const RequestContent &content : action.contents) {
        log_.warn("server ended", {{"service", service}, {"server", action.backend}, {"content", content.digest}, {"caller", content.caller}});
    }
}

void RequestLog::serverHeardAgain(const std::string &service, const TellServerHeardAgain &action) const
{
    log_.info("server has not ended", {{"service", service}, {"server", action.backend}});
}

void RequestLog::suspectAnswered(const std::string &service, const TellSuspectAnswered &action) const
{
    log_.info("content is not the cause", {{"service", service}, {"content", action.content.digest}, {"caller", action.content.caller}});
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
               {"outcome", textOf(problem.fate)},
               {"step", problem.step},
               {"peer", problem.peer},
               {"detail", problem.detail},
               {"after_ms", toMilliseconds(after)}});
}

} // namespace Cloverbarrow
