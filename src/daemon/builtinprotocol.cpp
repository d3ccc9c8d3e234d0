/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/builtinprotocol.h"

#include "core/support/text.h"
#include "daemon/requestcheck.h"
#include "net/problemjson.h"

namespace Cloverbarrow
{

namespace
{

constexpr std::size_t MaxStoredResultBytes = 16 * 1024;
constexpr int MaxReportedLoad = 1'000'000;

bool isSet(const Headers &headers, const char *name, std::string_view value)
{
    const auto found = findHeader(headers, name);
    return found && isSameName(*found, value);
}

Headers forBackend(const OutgoingAttempt &outgoing)
{
    Headers forwarded = withoutHopByHop(outgoing.request.headers);
    std::erase_if(forwarded, [](const Header &header) {
        // Headers of the caller must not be taken for those set by this load balancer; the length is set again when the request is sent.
        return isSameName(header.name, ExchangeTagHeader) || isSameName(header.name, AttemptHeader) || isSameName(header.name, DeadlineHeader)
            || isSameName(header.name, "content-length") || isSameName(header.name, "expect");
    });
    forwarded.push_back({AttemptHeader, std::to_string(outgoing.number)});
    forwarded.push_back({DeadlineHeader, std::to_string(std::chrono::floor<milliseconds>(outgoing.timeLeft).count())});
    return forwarded;
}

} // namespace

const char *BuiltInProtocol::deadlineHeader() const
{
    return DeadlineHeader;
}

const char *BuiltInProtocol::requestIdHeader() const
{
    return nullptr;
}

std::optional<std::string> BuiltInProtocol::takeApiKey(Headers &) const
{
    // Configurations read from a document have no workspaces.
    return std::nullopt;
}

HttpCall BuiltInProtocol::attemptCall(const OutgoingAttempt &outgoing) const
{
    HttpCall call;
    call.request.method = outgoing.request.method;
    call.request.target = outgoing.request.target;
    call.request.headers = forBackend(outgoing);
    call.request.body = outgoing.request.body;
    if (outgoing.action.mayReuseConnection) {
        call.request.headers.push_back({ExchangeTagHeader, outgoing.tag});
        call.echo = {ExchangeTagHeader, outgoing.tag, true};
    }
    return call;
}

HttpCall BuiltInProtocol::probeCall(const StartProbe &action) const
{
    HttpCall call;
    call.request.method = "GET";
    call.request.target = action.path;
    call.request.headers = {{"Host", action.address}};
    return call;
}

CompleteAnswer BuiltInProtocol::interpretAnswer(const HttpAnswer &answer) const
{
    CompleteAnswer interpreted;
    interpreted.status = answer.status;
    interpreted.isNotExecuted = isSet(answer.headers, OutcomeHeader, "not-run");
    interpreted.isLeaving = isLeaving(answer.headers);
    interpreted.wasRetriedBelow = isSet(answer.headers, RetriedHeader, "true");
    interpreted.contentType = std::string(findHeader(answer.headers, "content-type").value_or(""));
    interpreted.isResultComplete = answer.body.size() <= MaxStoredResultBytes;
    if (interpreted.isResultComplete) {
        interpreted.shortResult = std::string(answer.body);
    }
    return interpreted;
}

std::optional<LoadReport> BuiltInProtocol::loadReport(const Headers &headers) const
{
    const auto text = findHeader(headers, LoadHeader);
    const auto load = text ? parseNumber(*text, MaxReportedLoad) : std::nullopt;
    return load ? std::optional(LoadReport{*load}) : std::nullopt;
}

std::optional<Duration> BuiltInProtocol::remainingWarmUp(const Headers &) const
{
    return std::nullopt;
}

LimitNotice BuiltInProtocol::limitNotice(const Headers &) const
{
    return NoRequestLimit{};
}

BackoffNotice BuiltInProtocol::backoffNotice(const HttpAnswer &) const
{
    // Backend servers of this protocol report their load instead.
    return NoBackoff{};
}

bool BuiltInProtocol::isLeaving(const Headers &headers) const
{
    return isSet(headers, LeavingHeader, "true");
}

Headers BuiltInProtocol::headersForCaller(const Headers &headers) const
{
    Headers forwarded = withoutHopByHop(headers);
    std::erase_if(forwarded, [](const Header &header) {
        return isSameName(header.name, ExchangeTagHeader) || isSameName(header.name, LoadHeader) || isSameName(header.name, LeavingHeader);
    });
    return forwarded;
}

void BuiltInProtocol::markRetried(HttpAnswer &answer) const
{
    if (!findHeader(answer.headers, RetriedHeader)) {
        answer.headers.push_back({RetriedHeader, "true"});
    }
}

HttpAnswer BuiltInProtocol::refusalAnswer(const Problem &problem) const
{
    return problemAnswer(problem);
}

} // namespace Cloverbarrow
