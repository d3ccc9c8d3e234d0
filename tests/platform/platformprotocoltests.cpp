/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "names.h"
#include "platformprotocol.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

HttpAnswer answer(int status, Headers headers)
{
    return {status, "", std::move(headers), "body"};
}

const Platform::PlatformProtocol Protocol;

} // namespace

TEST_CASE("An attempt carries the expected instance and the remaining time", "[platform]")
{
    HttpRequest request{
        "GET", "/a/b?c", {{"Host", "a.example"}, {Platform::RequestIdHeader, "id1"}, {Platform::DeadlineMsHeader, "2000"}, {"Connection", "close"}}, "", true};
    StartAttempt action;
    action.backend = "i-1";
    action.mayReuseConnection = true;
    const HttpCall call = Protocol.attemptCall({request, action, 1, milliseconds(750), "tag"});
    CHECK(findHeader(call.request.headers, Platform::ExpectInstanceHeader) == "i-1");
    CHECK(findHeader(call.request.headers, Platform::DeadlineMsHeader) == "750");
    CHECK(countHeader(call.request.headers, Platform::DeadlineMsHeader) == 1);
    CHECK(findHeader(call.request.headers, Platform::RequestIdHeader) == "id1");
    CHECK_FALSE(findHeader(call.request.headers, "Connection"));
    CHECK(call.echo.header == Platform::RequestIdHeader);
    CHECK(call.echo.value == "id1");
    CHECK(call.echo.isRequired);
}

TEST_CASE("A caller's key is taken out of a request, and the server gets the name of its workspace", "[platform][workspace]")
{
    Headers headers = {{"Host", "a.example"}, {"authorization", "bearer  secret "}, {Platform::WorkspaceHeader, "forged"}};
    CHECK(Protocol.takeApiKey(headers) == "secret");
    CHECK(headers.size() == 2);
    CHECK_FALSE(Protocol.takeApiKey(headers));
    Headers repeated = {{"Authorization", "Bearer a"}, {"Authorization", "Bearer b"}};
    CHECK_FALSE(Protocol.takeApiKey(repeated));
    CHECK(repeated.empty());
    Headers otherScheme = {{"Authorization", "Basic secret"}};
    CHECK_FALSE(Protocol.takeApiKey(otherScheme));

    const HttpRequest request{"GET", "/a", headers, "", true};
    const auto workspaceIn = [&request](std::string_view workspace) {
        const HttpCall call = Protocol.attemptCall({request, StartAttempt{}, 1, milliseconds(750), "tag", workspace});
        return std::string(findHeader(call.request.headers, Platform::WorkspaceHeader).value_or(""));
    };
    CHECK(workspaceIn("north") == "north");
    CHECK(workspaceIn("").empty());
}

TEST_CASE("Only a not-executed header or status 421 reports that a request was not executed", "[platform]")
{
    CHECK(Protocol.interpretAnswer(answer(503, {{Platform::NotExecutedHeader, "1"}})).isNotExecuted);
    CHECK(Protocol.interpretAnswer(answer(421, {})).isNotExecuted);
    CHECK_FALSE(Protocol.interpretAnswer(answer(503, {})).isNotExecuted);
    CHECK_FALSE(Protocol.interpretAnswer(answer(500, {})).isNotExecuted);
}

TEST_CASE("Unsigned and encoded answers and those that promise no execution are marked as misleading", "[platform]")
{
    CHECK(Protocol.interpretAnswer(answer(200, {})).isMisleading);
    CHECK(Protocol.interpretAnswer(answer(503, {{Platform::StampHeader, "s"}})).isMisleading);
    CHECK(Protocol.interpretAnswer(answer(429, {{Platform::StampHeader, "s"}})).isMisleading);
    CHECK(Protocol.interpretAnswer(answer(200, {{Platform::StampHeader, "s"}, {"Content-Encoding", "gzip"}})).isMisleading);
    CHECK_FALSE(Protocol.interpretAnswer(answer(200, {{Platform::StampHeader, "s"}})).isMisleading);
    CHECK_FALSE(Protocol.interpretAnswer(answer(500, {{Platform::StampHeader, "s"}})).isMisleading);
}

TEST_CASE("Load headers of three and four values are decoded, and others are ignored", "[platform]")
{
    CHECK(Protocol.loadReport({{Platform::ServerLoadHeader, "2,1,3,250"}}) == LoadReport{2, 1, 3, 2.5});
    CHECK(Protocol.loadReport({{Platform::ServerLoadHeader, "2, 0, 8"}}) == LoadReport{2, 0, 8, 1.0});
    CHECK_FALSE(Protocol.loadReport({{Platform::ServerLoadHeader, "2,x,3"}}));
    CHECK_FALSE(Protocol.loadReport({{Platform::ServerLoadHeader, ""}}));
    CHECK_FALSE(Protocol.loadReport({}));
}

TEST_CASE("The remaining warm-up time is decoded, and invalid values are ignored", "[platform][cold]")
{
    CHECK(Protocol.remainingWarmUp({{Platform::WarmUpMsHeader, "2500"}}) == milliseconds(2500));
    CHECK(Protocol.remainingWarmUp({{Platform::WarmUpMsHeader, "0"}}) == Duration(0));
    CHECK_FALSE(Protocol.remainingWarmUp({{Platform::WarmUpMsHeader, "-1"}}));
    CHECK_FALSE(Protocol.remainingWarmUp({{Platform::WarmUpMsHeader, "soon"}}));
    CHECK_FALSE(Protocol.remainingWarmUp({{Platform::WarmUpMsHeader, "99999999999"}}));
    CHECK_FALSE(Protocol.remainingWarmUp({}));
}

TEST_CASE("A refusal has a Retry-After header in fractions of a second", "[platform]")
{
    const HttpAnswer refusal = Protocol.refusalAnswer({503, ExecutionStatus::NotExecuted, "admit", "reclamos", "busy", milliseconds(200)});
    CHECK(refusal.status == 503);
    CHECK(findHeader(refusal.headers, "Retry-After") == "0.200");
}

TEST_CASE("A request limit is decoded from a decimal number, and an invalid one is distinguished from none", "[platform][limit]")
{
    const auto limitIn = [](const Headers &headers) { return Protocol.limitNotice(headers); };
    CHECK(std::get<RequestLimit>(limitIn({{Platform::ServerLimitHeader, "2.7"}})).perSecond == 2.7);
    CHECK(std::get<RequestLimit>(limitIn({{Platform::ServerLimitHeader, " 12 "}})).perSecond == 12);
    CHECK(std::get<RequestLimit>(limitIn({{Platform::ServerLimitHeader, "0"}})).perSecond == 0);
    CHECK(std::holds_alternative<NoRequestLimit>(limitIn({{Platform::ServerLoadHeader, "1,0,3"}})));
    const std::string bad =
        GENERATE(as<std::string>(), "", "-1", "+1", "nan", "inf", "1e9", "0x10", "2,7", "2.7.1", "1 2", "99999999999", std::string(10'000, '9'));
    CHECK(std::holds_alternative<UnreadableLimit>(limitIn({{Platform::ServerLimitHeader, bad}})));
    CHECK(std::holds_alternative<UnreadableLimit>(limitIn({{Platform::ServerLimitHeader, "2"}, {Platform::ServerLimitHeader, "3"}})));
}

TEST_CASE("A request limit does not reach callers", "[platform][limit]")
{
    const Headers kept =
        Protocol.headersForCaller({{Platform::ServerLimitHeader, "2.7"}, {Platform::UnprefixedServerLimitHeader, "2.7"}, {Platform::StampHeader, "s"}});
    CHECK(kept.size() == 1);
    CHECK(findHeader(kept, Platform::StampHeader) == "s");
}

TEST_CASE("Only the leaving header with value 1 reports that a server is leaving", "[platform][leaving]")
{
    CHECK(Protocol.isLeaving({{Platform::ServerLeavingHeader, "1"}}));
    CHECK(Protocol.isLeaving({{"server-leaving", " 1 "}}));
    CHECK_FALSE(Protocol.isLeaving({{"Connection", "close"}}));
    const std::string bad = GENERATE(as<std::string>(), "", "0", "11", "true", "-1");
    CHECK_FALSE(Protocol.isLeaving({{Platform::ServerLeavingHeader, bad}}));
}

TEST_CASE("The leaving header of any complete answer is read and does not reach callers", "[platform][leaving]")
{
    const int status = GENERATE(200, 404, 500, 503);
    CHECK(Protocol.interpretAnswer(answer(status, {{Platform::ServerLeavingHeader, "1"}})).isLeaving);
    CHECK_FALSE(Protocol.interpretAnswer(answer(status, {})).isLeaving);
    CHECK(Protocol.headersForCaller({{Platform::ServerLeavingHeader, "1"}}).empty());
}

TEST_CASE("A backoff is decoded from Retry-After of status 503, and an invalid one is distinguished from none", "[platform][backoff]")
{
    const auto backoffIn = [](int status, const Headers &headers) { return Protocol.backoffNotice(answer(status, headers)); };
    CHECK(backoffIn(503, {{"Retry-After", "3"}}) == BackoffNotice(BackoffRequest{seconds(3)}));
    CHECK(backoffIn(503, {{"retry-after", " 0.25 "}}) == BackoffNotice(BackoffRequest{milliseconds(250)}));
    CHECK(backoffIn(503, {{Platform::NotExecutedHeader, "1"}}) == BackoffNotice(NoBackoff{}));
    CHECK(backoffIn(200, {{"Retry-After", "3"}}) == BackoffNotice(NoBackoff{}));
    const std::string bad =
        GENERATE(as<std::string>(), "", "-1", "nan", "inf", "1e3", "3s", "99999999999", "Wed, 21 Oct 2026 07:28:00 GMT", std::string(10'000, '9'));
    CHECK(std::holds_alternative<UnreadableBackoff>(backoffIn(503, {{"Retry-After", bad}})));
    CHECK(std::holds_alternative<UnreadableBackoff>(backoffIn(503, {{"Retry-After", "1"}, {"Retry-After", "2"}})));
}
