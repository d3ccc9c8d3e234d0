/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "fleet.h"
#include "rawcaller.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

std::string getRequest(const std::string &id, const std::string &extraHeaders = {})
{
    return "GET /state/" + id + " HTTP/1.1\r\nHost: liquidacion.example\r\nX-Id: " + id + "\r\n" + extraHeaders + "\r\n";
}

std::string bodyOf(const std::optional<HttpAnswer> &answer)
{
    return answer ? std::string(answer->body) : std::string("no answer");
}

} // namespace

TEST_CASE("Callers on one connection get their own answers in order", "[process][callers]")
{
    Fleet fleet;
    fleet.startAll({"entry-1"});
    RawCaller caller(fleet.address("entry-1", "callers"));
    SECTION("when the first of two pipelined requests is slow")
    {
        fleet.setBehaviour(1, R"({"service_us":200000})");
        fleet.setBehaviour(2, R"({"service_us":1000})");
        caller.send(getRequest("a"));
        caller.send(getRequest("b") + getRequest("c"));
        const std::string read = caller.readUntil("body=\n", 3);
        CHECK(read.find("id=a ") < read.find("id=b "));
        CHECK(read.find("id=b ") < read.find("id=c "));
        CHECK(RawCaller::occurrences(read, "HTTP/1.1 200") == 3);
    }
    SECTION("when HEAD comes first")
    {
        caller.send("HEAD /state/h HTTP/1.1\r\nHost: liquidacion.example\r\n\r\n" + getRequest("a"));
        const std::string read = caller.readUntil("body=\n");
        CHECK(RawCaller::occurrences(read, "HTTP/1.1 200") == 2);
        CHECK(read.find("id=a ") != std::string::npos);
        CHECK(RawCaller::occurrences(read, "server=") == 1);
    }
    SECTION("when the caller closes its sending half")
    {
        fleet.setBehaviour(1, R"({"service_us":100000})");
        fleet.setBehaviour(2, R"({"service_us":100000})");
        caller.send(getRequest("a"));
        caller.closeSending();
        CHECK(caller.readAll().find("id=a ") != std::string::npos);
    }
    SECTION("when a request is malformed, later ones are not read")
    {
        caller.send("GET /state/x HTTP/1.1\r\nHost: liquidacion.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n" + getRequest("a"));
        const std::string read = caller.readAll();
        CHECK(read.find("HTTP/1.1 400") == 0);
        CHECK(read.find("\"outcome\":\"not-run\"") != std::string::npos);
        CHECK(read.find("id=a ") == std::string::npos);
    }
    SECTION("when the caller sends slowly, and an incomplete request gets 408")
    {
        const std::string request = getRequest("a");
        caller.send(request.substr(0, 20));
        caller.send(request.substr(20));
        CHECK(caller.readUntil("body=\n").find("id=a ") != std::string::npos);
        caller.send("GET /state/b HT");
        CHECK(caller.readAll().find("HTTP/1.1 408") == 0);
    }
}

TEST_CASE("Malformed requests are rejected with the matching status and close their connection", "[process][callers]")
{
    Fleet fleet(1);
    fleet.startAll({"entry-1"});
    const std::string post = "POST /notes HTTP/1.1\r\nHost: liquidacion.example\r\n";
    const std::vector<std::pair<std::string, std::string>> requests = {
        {"NONSENSE\r\n\r\n", "400"},
        {"GET /state/a HTTP/1.1\r\n\r\n", "400"},
        {post + "Content-Length: -1\r\n\r\n", "400"},
        {post + "Content-Length: 99999999999999999999\r\n\r\n", "413"},
        {post + "Content-Length: 9000000\r\n\r\n", "413"},
        {post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        {"GET /state/../payouts HTTP/1.1\r\nHost: liquidacion.example\r\n\r\n", "400"},
        {"GET /state/a HTTP/3.0\r\nHost: liquidacion.example\r\n\r\n", "505"},
        {"GET /" + std::string(40'000, 'a') + " HTTP/1.1\r\nHost: liquidacion.example\r\n\r\n", "431"},
    };
    for (const auto &[bytes, status] : requests) {
        INFO(bytes.substr(0, 80));
        RawCaller caller(fleet.address("entry-1", "callers"));
        caller.send(bytes);
        const std::string read = caller.readAll();
        CHECK(read.find("HTTP/1.1 " + status) == 0);
        CHECK(read.find("\"outcome\":\"not-run\"") != std::string::npos);
    }
    CHECK(fleet.logMatchCount("POST") == 0);
    CHECK(fleet.get("entry-1", "/state/a")->status == 200);
}

TEST_CASE("A late answer never reaches a later connection", "[process][callers]")
{
    Fleet fleet;
    fleet.startAll({"entry-1"});
    fleet.setBehaviour(1, R"({"service_us":20000})");
    fleet.setBehaviour(2, R"({"service_us":20000})");
    int wrongAnswers = 0;
    for (int round = 0; round < 150; ++round) {
        const std::string id = std::to_string(round);
        {
            RawCaller disconnected(fleet.address("entry-1", "callers"));
            disconnected.send(getRequest("gone-" + id));
        }
        RawCaller caller(fleet.address("entry-1", "callers"));
        caller.send(getRequest("own-" + id));
        const std::string read = caller.readUntil("body=\n");
        wrongAnswers += read.find("id=own-" + id + " ") == std::string::npos || read.find("gone-") != std::string::npos ? 1 : 0;
    }
    CHECK(wrongAnswers == 0);
}

TEST_CASE("Target, query and repeated headers reach the backend server unchanged", "[process][callers]")
{
    Fleet fleet;
    fleet.startAll({"entry-1"});
    const auto answer = fleet.get("entry-1", "/state/a?y=%00&x=1&x=2&y", {{"X-Repeat", "1"}, {"X-Repeat", "2"}});
    REQUIRE(answer);
    CHECK(answer->body.view().find("target=/state/a?y=%00&x=1&x=2&y id") != std::string::npos);
    CHECK(countHeader(answer->headers, "X-Repeat") == 2);
    CHECK_FALSE(findHeader(answer->headers, "Cloverbarrow-Exchange"));
}

TEST_CASE("Truncated and stray answers are never returned as complete ones", "[process][answers]")
{
    Fleet fleet(1);
    fleet.startAll({"entry-1"});
    SECTION("a read with a truncated answer is retried")
    {
        fleet.setBehaviour(1, R"({"cut_next":1})");
        CHECK(bodyOf(fleet.get("entry-1", "/state/a", {{"X-Id", "a"}})).find("id=a body=") != std::string::npos);
        CHECK(fleet.logMatchCount("id=a") == 2);
    }
    SECTION("a read whose answer is truncated in its head is retried")
    {
        fleet.setBehaviour(1, R"({"cut_head_next":1})");
        CHECK(bodyOf(fleet.get("entry-1", "/state/a", {{"X-Id", "a"}})).find("id=a body=") != std::string::npos);
        CHECK(fleet.logMatchCount("id=a") == 2);
    }
    SECTION("a write whose answer is truncated in its head is executed once, and its outcome is unknown")
    {
        fleet.setBehaviour(1, R"({"cut_head_next":1})");
        HttpRequest note;
        note.method = "POST";
        note.target = "/notes";
        note.headers = {{"Host", "liquidacion.example"}, {"X-Id", "a"}};
        note.body = "text";
        const auto answer = fleet.send(fleet.address("entry-1", "callers"), note);
        REQUIRE(answer);
        CHECK(answer->status == 502);
        CHECK(answer->body.view().find("\"outcome\":\"unknown\"") != std::string::npos);
        CHECK(fleet.logMatchCount("id=a") == 1);
    }
    SECTION("a read whose answer ends with the connection is retried, since the answer may be truncated")
    {
        fleet.setBehaviour(1, R"({"unframed_next":1})");
        CHECK(bodyOf(fleet.get("entry-1", "/state/a", {{"X-Id", "a"}})).find("id=a body=") != std::string::npos);
        CHECK(fleet.logMatchCount("id=a") == 2);
    }
    SECTION("an interim answer is not returned as the final one")
    {
        fleet.setBehaviour(1, R"({"interim_next":1})");
        const auto answer = fleet.get("entry-1", "/state/a", {{"X-Id", "a"}});
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK_FALSE(findHeader(answer->headers, "Link"));
        CHECK(fleet.logMatchCount("id=a") == 1);
    }
    SECTION("a stray answer on a reused connection is not returned for the next request")
    {
        fleet.setBehaviour(1, R"({"stray_next":3})");
        for (const std::string id : {"a", "b", "c", "d", "e"}) {
            CHECK(bodyOf(fleet.get("entry-1", "/state/" + id, {{"X-Id", id}})).find("id=" + id + " ") != std::string::npos);
        }
    }
    SECTION("a stray answer that arrives while the next request is in flight is not returned for it")
    {
        CHECK(fleet.get("entry-1", "/state/warm"));
        fleet.setBehaviour(1, R"({"stray_before_next":1})");
        CHECK(bodyOf(fleet.get("entry-1", "/state/a", {{"X-Id", "a"}})).find("id=a body=") != std::string::npos);
        CHECK(fleet.logMatchCount("id=a") == 2);
    }
    SECTION("without an echoed exchange tag, requests use separate connections and get their own answers")
    {
        fleet.apply(
            "entry-1",
            [&fleet] {
                std::string document = fleet.document();
                document.replace(document.find("tag: true"), 9, "tag: false");
                return document;
            }(),
            fleet.status("entry-1").configurationVersion);
        fleet.setBehaviour(1, R"({"stray_next":3,"echoes_tag":false})");
        for (const std::string id : {"a", "b", "c", "d", "e"}) {
            CHECK(bodyOf(fleet.get("entry-1", "/state/" + id, {{"X-Id", id}})).find("id=" + id + " ") != std::string::npos);
        }
    }
}

TEST_CASE("The HTTP client does not resend a request by itself after its answer was lost", "[process][answers]")
{
    Fleet fleet(1);
    fleet.startAll({"entry-1"});
    CHECK(fleet.get("entry-1", "/state/warm"));
    fleet.setBehaviour(1, R"({"drop_next":1})");
    SECTION("a write is executed once and its outcome is reported as unknown")
    {
        HttpRequest note;
        note.method = "POST";
        note.target = "/notes";
        note.headers = {{"Host", "liquidacion.example"}, {"X-Id", "note"}};
        note.body = "text";
        const auto answer = fleet.send(fleet.address("entry-1", "callers"), note);
        REQUIRE(answer);
        CHECK(answer->status == 502);
        CHECK(answer->body.view().find("\"outcome\":\"unknown\"") != std::string::npos);
        CHECK(fleet.logMatchCount("id=note") == 1);
    }
    SECTION("the second attempt of a read is started by the core")
    {
        CHECK(fleet.get("entry-1", "/state/a", {{"X-Id", "a"}})->status == 200);
        CHECK(fleet.logMatchCount("attempt=1 id=a") == 1);
        CHECK(fleet.logMatchCount("attempt=2 id=a") == 1);
    }
    SECTION("a read that already is a retry of its caller is not retried")
    {
        CHECK(fleet.get("entry-1", "/state/a", {{"X-Id", "a"}, {"Cloverbarrow-Attempt", "2"}})->status == 502);
        CHECK(fleet.logMatchCount("id=a") == 1);
    }
}

TEST_CASE("A proxy set in the environment is not used", "[process][answers]")
{
    ::setenv("http_proxy", "http://127.0.0.1:1", 1);
    Fleet fleet(1);
    fleet.startAll({"entry-1"});
    ::unsetenv("http_proxy");
    CHECK(fleet.get("entry-1", "/state/a")->status == 200);
}

TEST_CASE("A caller that expects 100-continue gets a 100 answer before it sends the body", "[process][callers]")
{
    Fleet fleet(1);
    fleet.startAll({"entry-1"});
    RawCaller caller(fleet.address("entry-1", "callers"));
    caller.send("POST /notes HTTP/1.1\r\nHost: liquidacion.example\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    CHECK(caller.readUntil("\r\n\r\n").find("HTTP/1.1 100") == 0);
    caller.send("text");
    CHECK(caller.readUntil("body=text\n").find("HTTP/1.1 200") == 0);
}

TEST_CASE("The remaining deadline is forwarded, and a request that exceeds it gets 504", "[process][callers]")
{
    Fleet fleet;
    fleet.startAll({"entry-1"});
    const auto answer = fleet.get("entry-1", "/state/a", {{"Cloverbarrow-Deadline-Ms", "1500"}});
    REQUIRE(answer);
    const int seen = std::stoi(std::string(findHeader(answer->headers, "X-Seen-Deadline").value_or("0")));
    CHECK(seen > 0);
    CHECK(seen < 1500);
    fleet.setBehaviour(1, R"({"service_us":3000000})");
    fleet.setBehaviour(2, R"({"service_us":3000000})");
    const auto late = fleet.get("entry-1", "/state/b", {{"Cloverbarrow-Deadline-Ms", "200"}});
    REQUIRE(late);
    CHECK(late->status == 504);
    CHECK(fleet.get("entry-1", "/state/c", {{"Cloverbarrow-Deadline-Ms", "soon"}})->status == 400);
}

TEST_CASE("A large answer reaches its caller complete", "[process][callers]")
{
    Fleet fleet;
    fleet.startAll({"entry-1"});
    const std::string large(4 * 1024 * 1024, 'x');
    HttpRequest note;
    note.method = "POST";
    note.target = "/notes";
    note.headers = {{"Host", "liquidacion.example"}};
    note.body = large;
    const auto answer = fleet.send(fleet.address("entry-1", "callers"), note);
    REQUIRE(answer);
    CHECK(answer->body.view().find("body=" + large + "\n") != std::string::npos);
}
