/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"
#include "net/forwarding.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Cloverbarrow;

namespace
{

constexpr int Servers = 6;
constexpr int MaxAttempts = 2;
const TimePoint Start = TimePoint(seconds(100));

Service probedService()
{
    return Tests::probedSampleService(Servers, 3, 100);
}

/// A shard whose servers answer or reject all probes, with peers to which it may forward requests.
class ForwardingShard
{
public:
    ForwardingShard()
    {
        handle(ServiceConfigured{1, probedService()});
        handle(ForwardingPeersChanged{{{"peer-1", "peer-2"}, {"peer-3"}}, 1});
    }

    void handle(const ServiceEvent &event)
    {
        ServiceActions actions;
        shard_.handle(now, event, actions);
        for (const ServiceAction &action : actions) {
            perform(action);
        }
    }

    void arrive(RequestId id, KindClass kindClass = KindClass::Read, bool isForwarded = false)
    {
        RequestArrived arrived;
        arrived.request = id;
        arrived.kindClass = kindClass;
        arrived.deadline = now + seconds(2);
        arrived.maxAttempts = MaxAttempts;
        arrived.latencyObjective = milliseconds(200);
        arrived.isForwarded = isForwarded;
        arrived.heldFor = heldFor;
        arrived.avoidedServers = avoidedServers;
        handle(arrived);
    }

    void advance(Duration duration)
    {
        for (const TimePoint until = now + duration; now < until;) {
            now += milliseconds(5);
            handle(Tick{});
        }
    }

    /// Lets the entry VM notice that it reaches no server.
    void partition()
    {
        isPartitioned = true;
        arrive(NoticeRequest);
        advance(milliseconds(100));
        REQUIRE_FALSE(forwards.empty());
        handle(ForwardEnded{NoticeRequest, forwards.back().attempt, ForwardAnswered{}});
        forwards.clear();
        refusals.clear();
        returned = 0;
        attempts = 0;
    }

    static constexpr RequestId NoticeRequest = 1000;

    TimePoint now = Start;
    bool isPartitioned = false;
    Duration heldFor{0}; ///< Of the requests that arrive.
    std::vector<std::string> avoidedServers; ///< Of the requests that arrive.
    std::vector<StartForward> forwards;
    std::vector<std::string> serversOfAttempts;
    std::vector<Refuse> refusals;
    std::vector<CancelAttempt> cancelled;
    int attempts = 0;
    int returned = 0;

private:
    void perform(const ServiceAction &action)
    {
        if (const auto *probe = std::get_if<StartProbe>(&action)) {
            ProbeEnded ended{probe->backend, !isPartitioned, false, std::nullopt, probe->request};
            ended.isStatusCheck = probe->isStatusCheck;
            ended.liveness = isPartitioned ? ServerLiveness::Rejected : ServerLiveness::Answered;
            ended.report = isPartitioned ? std::nullopt : std::optional(LoadReport{0, 0, 3, 1});
            handle(ended);
        } else if (const auto *start = std::get_if<StartAttempt>(&action)) {
            ++attempts;
            serversOfAttempts.push_back(start->backend);
            if (isPartitioned) {
                handle(AttemptEnded{start->request, start->attempt, NotSent{"refused"}, std::nullopt});
            }
        } else if (const auto *forward = std::get_if<StartForward>(&action)) {
            forwards.push_back(*forward);
        } else if (const auto *refuse = std::get_if<Refuse>(&action)) {
            refusals.push_back(*refuse);
        } else if (const auto *cancel = std::get_if<CancelAttempt>(&action)) {
            cancelled.push_back(*cancel);
        } else if (std::holds_alternative<ReturnAnswer>(action)) {
            ++returned;
        }
    }

    ServiceShard shard_{{"entry-1", "n"}, {"bog-a", {}}, "reclamos", LoadReportPick{}, 1};
};

Problem unable()
{
    return {503, ExecutionStatus::NotExecuted, "admit", "peer", "no way to the servers", std::nullopt, true};
}

} // namespace

// Guards against a request whose objective counts from the end of the start of its entry VM, so that it is served as if it were in time.
TEST_CASE("The time for which a starting entry VM has held a request counts as its waiting time", "[forward][startup]")
{
    ForwardingShard shard;
    shard.partition();
    shard.heldFor = milliseconds(40);
    shard.arrive(1);
    shard.advance(milliseconds(100));
    REQUIRE_FALSE(shard.forwards.empty());
    CHECK(shard.forwards.front().priorWait >= milliseconds(40));
    CHECK(shard.forwards.front().priorWait < milliseconds(60));
}

TEST_CASE("A request is forwarded to no other peer after its deadline", "[forward][deadline]")
{
    ForwardingShard shard;
    shard.partition();
    shard.arrive(1);
    REQUIRE(shard.forwards.size() == 1);
    shard.advance(milliseconds(1995));
    shard.now += milliseconds(5);
    shard.handle(ForwardEnded{1, shard.forwards.back().attempt, NotSent{"no connection"}});
    CHECK(shard.forwards.size() == 1);
    REQUIRE(shard.refusals.size() == 1);
    CHECK(shard.refusals.front().problem.executionStatus == ExecutionStatus::NotExecuted);
}

TEST_CASE("A partitioned entry VM forwards each request to a peer of its zone, with all attempts that are left", "[forward]")
{
    ForwardingShard shard;
    shard.partition();
    const auto kindClass = GENERATE(KindClass::Read, KindClass::Write);
    shard.arrive(1, kindClass);
    REQUIRE(shard.forwards.size() == 1);
    CHECK((shard.forwards.front().peer == "peer-1" || shard.forwards.front().peer == "peer-2"));
    CHECK(shard.forwards.front().maxAttempts == MaxAttempts);
    CHECK(shard.forwards.front().deadline == shard.now + seconds(2));
    CHECK(shard.forwards.front().mayReuseConnection == (kindClass == KindClass::Read));
    CHECK(shard.attempts == 0);
    shard.handle(ForwardEnded{1, shard.forwards.front().attempt, ForwardAnswered{}});
    CHECK(shard.returned == 1);
}

TEST_CASE("An entry VM that reaches its servers forwards no request", "[forward]")
{
    ForwardingShard shard;
    shard.arrive(1);
    shard.advance(milliseconds(100));
    CHECK(shard.attempts == 1);
    CHECK(shard.forwards.empty());
}

TEST_CASE("A partitioned entry VM sends requests to its servers again soon after the partition has ended", "[forward]")
{
    ForwardingShard shard;
    shard.partition();
    shard.isPartitioned = false;
    shard.advance(ReachabilityMonitor::CheckInterval + milliseconds(50));
    shard.arrive(1);
    CHECK(shard.forwards.empty());
    CHECK(shard.attempts == 1);
}

TEST_CASE("A forwarded request is never forwarded again, so there are no loops", "[forward]")
{
    ForwardingShard shard;
    shard.partition();
    shard.arrive(1, KindClass::Read, true);
    CHECK(shard.forwards.empty());
    REQUIRE(shard.refusals.size() == 1);
    CHECK(shard.refusals.front().problem.isLocalFault);
    CHECK(shard.refusals.front().problem.executionStatus == ExecutionStatus::NotExecuted);
}

TEST_CASE("A peer that cannot serve a request is replaced by others, one of them of another zone, before the request is refused", "[forward]")
{
    ForwardingShard shard;
    shard.partition();
    shard.arrive(1, KindClass::Write);
    std::set<std::string> asked;
    for (std::size_t number = 0; number < 3; ++number) {
        REQUIRE(shard.forwards.size() == number + 1);
        asked.insert(shard.forwards.back().peer);
        shard.handle(ForwardEnded{1, shard.forwards.back().attempt, ForwardRefused{unable()}});
    }
    CHECK(asked.size() == 3);
    CHECK(asked.contains("peer-3"));
    REQUIRE(shard.refusals.size() == 1);
    CHECK(shard.refusals.front().problem.executionStatus == ExecutionStatus::NotExecuted);
}

TEST_CASE("A forwarded request whose answer is lost is not sent again, and its caller is not told that it was not executed", "[forward]")
{
    ForwardingShard shard;
    shard.partition();
    shard.arrive(1, GENERATE(KindClass::Read, KindClass::Write));
    shard.handle(ForwardEnded{1, shard.forwards.back().attempt, LostAnswer{"reset", false}});
    shard.advance(seconds(1));
    CHECK(shard.forwards.size() == 1);
    CHECK(shard.attempts == 0);
    REQUIRE(shard.refusals.size() == 1);
    CHECK(shard.refusals.front().problem.status == 502);
    CHECK(shard.refusals.front().problem.executionStatus == ExecutionStatus::Unknown);
}

TEST_CASE("When the caller of a forwarded read has gone, the forwarding is cancelled", "[forward]")
{
    ForwardingShard shard;
    shard.partition();
    shard.arrive(1);
    shard.handle(CallerGone{1});
    REQUIRE(shard.cancelled.size() == 1);
    CHECK(shard.cancelled.front().address == shard.forwards.back().peer);
}

// Guards against requests that an entry VM sends, after a partition, to a server that has rejected one that it had forwarded: 58 in 1 s.
TEST_CASE("A backoff that a server has requested from a forwarded request is kept to by the entry VM that forwarded it", "[forward][backoff]")
{
    ForwardingShard shard;
    shard.partition();
    shard.arrive(1);
    REQUIRE(shard.forwards.size() == 1);
    ForwardEnded ended{1, shard.forwards.back().attempt, ForwardAnswered{}, {{"b2", seconds(3)}}};
    SECTION("when the peer has passed on an answer")
    {
    }
    SECTION("when the peer has refused the request")
    {
        ended.outcome = ForwardRefused{unable()};
    }
    SECTION("when the request is over")
    {
        shard.handle(CallerGone{1});
    }
    shard.handle(ended);
    shard.isPartitioned = false;
    shard.advance(ReachabilityMonitor::CheckInterval + milliseconds(50));
    shard.serversOfAttempts.clear();
    auto useServers = [&shard, id = RequestId(10)](int requests) mutable {
        for (int sent = 0; sent < requests; ++sent) {
            shard.arrive(++id);
            shard.handle(AttemptEnded{id, 1, CompleteAnswer{}, LoadReport{0, 0, 3, 1}});
            shard.advance(milliseconds(50));
        }
        return std::count(shard.serversOfAttempts.begin(), shard.serversOfAttempts.end(), "b2");
    };
    CHECK(useServers(50) == 0);
    CHECK(shard.serversOfAttempts.size() == 50);
    shard.advance(milliseconds(300));
    CHECK(useServers(50) > 0);
}

// Guards against peers that send requests of an entry VM to a server that has requested a backoff from it.
TEST_CASE("A forwarded request names the servers that have requested a backoff, and the peer does not send it there", "[forward][backoff]")
{
    ForwardingShard shard;
    SECTION("named by the entry VM that forwards it")
    {
        shard.partition();
        shard.arrive(1);
        CHECK(shard.forwards.back().avoidedServers.empty());
        shard.handle(ForwardEnded{1, shard.forwards.back().attempt, ForwardAnswered{}, {{"b2", seconds(1)}, {"b5", seconds(3)}}});
        shard.arrive(2);
        CHECK(shard.forwards.back().avoidedServers == std::vector<std::string>{"b2", "b5"});
        shard.handle(ForwardEnded{2, shard.forwards.back().attempt, ForwardAnswered{}});
        shard.advance(seconds(2));
        shard.arrive(3);
        REQUIRE(shard.forwards.size() == 3);
        CHECK(shard.forwards.back().avoidedServers == std::vector<std::string>{"b5"});
    }
    SECTION("avoided by the peer")
    {
        shard.avoidedServers = {"b1", "b2", "b3", "b4", "b6"};
        for (RequestId id = 1; id <= 20; ++id) {
            shard.arrive(id, KindClass::Read, true);
            shard.advance(milliseconds(50));
            shard.handle(AttemptEnded{id, 1, CompleteAnswer{}, LoadReport{0, 0, 3, 1}});
        }
        CHECK(shard.serversOfAttempts == std::vector<std::string>(20, "b5"));
    }
}

TEST_CASE("An entry VM accepts a limited number of forwarded requests beside those of its own callers", "[forward]")
{
    constexpr RequestId Forwarded = 100;
    ForwardingShard shard;
    for (RequestId id = 0; id < Forwarded; ++id) {
        shard.arrive(id, KindClass::Read, true);
    }
    const std::size_t refusedAlone = shard.refusals.size();
    CHECK(refusedAlone > Forwarded / 2);
    CHECK(refusedAlone < Forwarded);
    for (RequestId id = Forwarded; id < Forwarded + 5; ++id) {
        shard.arrive(id);
    }
    shard.refusals.clear();
    shard.arrive(2 * Forwarded, KindClass::Read, true);
    CHECK(shard.refusals.empty());
}

TEST_CASE("Forwarded requests and refusals survive encoding, and invalid ones are rejected", "[forward]")
{
    ForwardedRequest request;
    request.service = "reclamos";
    request.region = "bogota";
    request.workspace = "north";
    request.arrival.kindClass = KindClass::Write;
    request.arrival.deadline = TimePoint(milliseconds(750));
    request.arrival.maxAttempts = MaxAttempts;
    request.arrival.latencyObjective = milliseconds(300);
    request.arrival.priority = 1;
    request.arrival.priorWait = milliseconds(20);
    request.arrival.fingerprint = {"digest", "caller"};
    request.arrival.avoidedServers = {"b1", "b2@7"};
    request.takesBackoffs = true;
    const auto decoded = decodeForwardedRequest(encodeForwardedRequest(request));
    REQUIRE(decoded);
    CHECK(decoded->service == request.service);
    CHECK(decoded->workspace == request.workspace);
    CHECK(decoded->arrival.deadline == request.arrival.deadline);
    CHECK(decoded->arrival.maxAttempts == MaxAttempts);
    CHECK(decoded->arrival.fingerprint == request.arrival.fingerprint);
    CHECK(decoded->arrival.isForwarded);
    CHECK(decoded->arrival.avoidedServers == request.arrival.avoidedServers);
    CHECK(decoded->takesBackoffs);
    CHECK_FALSE(decodeForwardedRequest("{}"));
    CHECK_FALSE(decodeForwardedRequest("not json"));
    request.arrival.maxAttempts = 0;
    CHECK_FALSE(decodeForwardedRequest(encodeForwardedRequest(request)));

    const auto outcome = interpretForwardedAnswer(forwardedRefusal(unable(), "tag"));
    REQUIRE(std::holds_alternative<ForwardRefused>(outcome));
    CHECK(std::get<ForwardRefused>(outcome).problem == unable());
    HttpAnswer answer;
    markForwardedAnswer(answer, "tag");
    CHECK(std::holds_alternative<ForwardAnswered>(interpretForwardedAnswer(answer)));
}

TEST_CASE("Backoffs in the answer to a forwarded request survive encoding, and invalid ones are rejected", "[forward][backoff]")
{
    const std::vector<ServerBackoff> backoffs = {{"b1", milliseconds(700)}, {"b2@7", seconds(3)}};
    CHECK(decodeServerBackoffs(encodeServerBackoffs(backoffs)) == backoffs);
    CHECK(decodeServerBackoffs("[]") == std::vector<ServerBackoff>());
    const char *invalid = GENERATE("",
                                   "7",
                                   "{}",
                                   R"([{"server":"b1"}])",
                                   R"([{"server":"","left_us":1}])",
                                   R"([{"server":"b1","left_us":-1}])",
                                   R"([{"server":"b1","left_us":"1"}])",
                                   R"([{"server":"b1","left_us":86400000001}])");
    CHECK_FALSE(decodeServerBackoffs(invalid));
    const std::string one = encodeServerBackoffs(std::vector{backoffs.front()});
    std::string tooMany = one.substr(0, one.size() - 1);
    for (int count = 1; count < 17; ++count) {
        tooMany += "," + one.substr(1, one.size() - 2);
    }
    CHECK_FALSE(decodeServerBackoffs(tooMany + "]"));
    CHECK(decodeServerBackoffs(encodeServerBackoffs(std::vector<ServerBackoff>(17, backoffs.front())))->size() == 16);
}

TEST_CASE("A forwarded request of an earlier release names no servers and takes no backoffs", "[forward][backoff]")
{
    const auto decoded = decodeForwardedRequest(
        R"({"service":"s","region":"r","class":0,"deadline_us":1,"attempts":1,"objective_us":1,"priority":0,"waited_us":0,"content":"c","caller":"c"})");
    REQUIRE(decoded);
    CHECK(decoded->arrival.avoidedServers.empty());
    CHECK_FALSE(decoded->takesBackoffs);
}

TEST_CASE("A request that has not reached its peer when the process exits is refused as not executed", "[forward][shutdown]")
{
    ForwardingShard shard;
    shard.partition();
    shard.arrive(1, KindClass::Write);
    shard.arrive(2, KindClass::Write);
    REQUIRE(shard.forwards.size() == 2);
    shard.handle(ProcessExiting{});
    shard.handle(ForwardEnded{1, shard.forwards[0].attempt, NotSent{"shutting down"}});
    shard.handle(ForwardEnded{2, shard.forwards[1].attempt, LostAnswer{"aborted", false}});
    CHECK(shard.forwards.size() == 2);
    REQUIRE(shard.refusals.size() == 1);
    CHECK(shard.refusals.front().request == 1);
    CHECK(shard.refusals.front().problem.status == 503);
    CHECK(shard.refusals.front().problem.executionStatus == ExecutionStatus::NotExecuted);
}

TEST_CASE("An entry VM of an earlier release, which does not know forwarded requests, has executed nothing", "[forward]")
{
    HttpAnswer answer;
    answer.status = 404;
    CHECK(std::holds_alternative<NotSent>(interpretForwardedAnswer(answer)));
    answer.status = 200;
    CHECK(std::holds_alternative<LostAnswer>(interpretForwardedAnswer(answer)));
}
