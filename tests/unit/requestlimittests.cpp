/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/backendpool.h"
#include "core/servers/requestlimit.h"
#include "core/servers/sendhistory.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace Cloverbarrow;

namespace
{

constexpr TimePoint Start(seconds(1000));
constexpr FleetRank OnlyRank{0, 1};

Service serviceAt(const std::optional<FleetRank> &rank, const std::string &zone = "bog-a")
{
    Service service;
    service.name = "polizas";
    service.entryVmRank = rank;
    service.backendServers.push_back({"b1", "127.0.0.1:9001", zone, {}, 2, Duration(0)});
    return service;
}

/// @return requests that @p pool allows to its only server if one is due every ten milliseconds and each is answered after @p latency.
int sentIn(BackendPool &pool, TimePoint from, Duration duration, Duration latency = milliseconds(0))
{
    int sent = 0;
    for (TimePoint now = from; now < from + duration; now += milliseconds(10)) {
        if (pool.takeNamed(now, "b1")) {
            pool.release("b1", AttemptQuality::Neutral, latency, now + latency);
            ++sent;
        }
    }
    return sent;
}

void announce(BackendPool &pool, TimePoint now, const LimitNotice &announced, NoticeSource source = NoticeSource::Executed)
{
    pool.applyLimitNotice(now, now, "b1", source, announced);
}

} // namespace

TEST_CASE("The quota of a zone keeps a server's limit even with two overlapping sets of senders", "[limit][budget]")
{
    const double perSecond = GENERATE(0.25, 0.5, 1.0, 2.4, 2.7, 5.0, 10.0, 100.0, 1000.0);
    const ServerQuota quota = quotaFor(perSecond);
    CHECK(quota.requests >= 1);
    CHECK(quota.window >= seconds(4));
    CHECK(quota.requests <= 4 * perSecond);
    CHECK(2 * quota.requests <= 1.5 * 4 * perSecond + 5);
    // At most a quarter of the limit is left unused.
    CHECK(quota.requests >= 0.75 * 4 * perSecond - 1);
}

TEST_CASE("A server with a limit near zero still gets a request at long intervals", "[limit][budget]")
{
    CHECK(quotaFor(0.2).requests == 1);
    CHECK(quotaFor(0.2).window == seconds(5));
    CHECK(quotaFor(0).requests == 1);
    CHECK(quotaFor(0).window == seconds(10));
    CHECK(quotaFor(1e-9).window == seconds(10));
}

TEST_CASE("A limit beyond any number of requests does not give a negative number of senders", "[limit][budget]")
{
    for (const double perSecond : {1e9, 1e18, 1e300}) {
        const ServerQuota quota = quotaFor(perSecond);
        CAPTURE(perSecond, quota.requests, quota.maxSenders);
        CHECK(quota.requests >= 1'000'000);
        CHECK(quota.maxSenders >= 1);
    }
}

TEST_CASE("Each rank has its share of a quota", "[limit][budget]")
{
    const ServerQuota quota{9, seconds(4), 3};
    CHECK(shareOf(quota, 0, 8) == 3);
    CHECK(shareOf(quota, 2, 8) == 3);
    CHECK(shareOf(quota, 3, 8) == 0);
    CHECK(shareOf(quota, 0, 2) == 5);
    CHECK(shareOf(quota, 1, 2) == 4);
}

TEST_CASE("A limit applies until an answer of a kind that announces limits announces none", "[limit]")
{
    TrackedLimit limit;
    REQUIRE(limit.apply(Start, Start, NoticeSource::Executed, RequestLimit{3}));
    CHECK(limit.perSecond() == 3);
    SECTION("an answer of a kind that never announces a limit does not end it")
    {
        CHECK_FALSE(limit.apply(Start + seconds(1), Start + seconds(1), NoticeSource::Probe, NoRequestLimit{}));
        CHECK(limit.perSecond() == 3);
    }
    SECTION("an answer of the same kind without a limit ends it")
    {
        CHECK(limit.apply(Start + seconds(1), Start + seconds(1), NoticeSource::Executed, NoRequestLimit{}));
        CHECK_FALSE(limit.perSecond());
    }
    SECTION("an answer to a request that was sent before the announcement neither ends nor raises it")
    {
        CHECK_FALSE(limit.apply(Start + seconds(1), Start - seconds(1), NoticeSource::Executed, NoRequestLimit{}));
        CHECK_FALSE(limit.apply(Start + seconds(1), Start - seconds(1), NoticeSource::Executed, RequestLimit{7}));
        CHECK(limit.perSecond() == 3);
    }
    SECTION("a lower limit applies at once")
    {
        CHECK(limit.apply(Start + seconds(1), Start - seconds(1), NoticeSource::Executed, RequestLimit{1}));
        CHECK(limit.perSecond() == 1);
    }
    SECTION("an unreadable limit changes nothing")
    {
        CHECK_FALSE(limit.apply(Start + seconds(1), Start + seconds(1), NoticeSource::Executed, UnreadableLimit{"nan"}));
        CHECK(limit.perSecond() == 3);
    }
    SECTION("a limit may be announced again after it has ended")
    {
        limit.apply(Start + seconds(1), Start + seconds(1), NoticeSource::Executed, NoRequestLimit{});
        CHECK(limit.apply(Start + seconds(2), Start + seconds(2), NoticeSource::Executed, RequestLimit{3}));
    }
}

TEST_CASE("A server with a limit gets no more requests than its quota allows until the limit has ended", "[limit]")
{
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    pool.configure(serviceAt(OnlyRank), Start - seconds(20));
    announce(pool, Start, RequestLimit{2.4});
    const int sent = sentIn(pool, Start, seconds(8));
    CHECK(sent <= 2 * 9);
    CHECK(sent >= 2 * 9 - 1);
    announce(pool, Start + seconds(8), RequestLimit{1.0});
    CHECK(sentIn(pool, Start + seconds(8), seconds(4)) <= 4);
    announce(pool, Start + seconds(12), RequestLimit{0.0});
    CHECK(sentIn(pool, Start + seconds(12), seconds(4)) == 0);
    announce(pool, Start + seconds(16), NoRequestLimit{});
    CHECK(sentIn(pool, Start + seconds(16), seconds(1)) == 100);
}

TEST_CASE("Requests sent before a limit was announced count against it", "[limit]")
{
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    pool.configure(serviceAt(OnlyRank), Start - seconds(20));
    REQUIRE(sentIn(pool, Start, seconds(1)) == 100);
    announce(pool, Start + seconds(1), RequestLimit{5});
    CHECK(sentIn(pool, Start + seconds(1), seconds(3)) == 0);
    CHECK(sentIn(pool, Start + seconds(6), seconds(4)) >= 17);
}

TEST_CASE("An entry VM without a rank, or of another zone, sends nothing to a server with a limit", "[limit]")
{
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    SECTION("no rank")
    {
        pool.configure(serviceAt(std::nullopt), Start);
    }
    SECTION("another zone")
    {
        pool.configure(serviceAt(OnlyRank, "bog-b"), Start);
    }
    CHECK(sentIn(pool, Start + seconds(20), seconds(1)) == 100);
    announce(pool, Start + seconds(21), RequestLimit{3});
    CHECK(sentIn(pool, Start + seconds(21), seconds(10)) == 0);
    CHECK(pool.rateLimitedUntil(Start + seconds(31)) == TimePoint::max());
}

TEST_CASE("A process that has just started waits for one window before it sends to a server with a limit", "[limit][fleet]")
{
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    pool.configure(serviceAt(OnlyRank), Start);
    announce(pool, Start, RequestLimit{3});
    CHECK(sentIn(pool, Start, seconds(4)) == 0);
    CHECK(pool.rateLimitedUntil(Start + seconds(1)) > Start + seconds(4));
    CHECK(sentIn(pool, Start + seconds(5), seconds(1)) > 0);
}

TEST_CASE("A sender whose rank has changed twice waits for one window, and one whose rank is the same does not", "[limit][fleet]")
{
    constexpr int Count = 4;
    std::vector<FleetRank> byRank(Count);
    for (int number = 0; number < Count; ++number) {
        byRank[static_cast<std::size_t>(senderRank({number, Count}, "b1"))] = {number, Count};
    }
    BackendPool pool(LoadReportPick{}, {"bog-a", "bogota"});
    pool.configure(serviceAt(byRank[0]), Start);
    announce(pool, Start, RequestLimit{3});
    REQUIRE(sentIn(pool, Start + seconds(20), seconds(1)) > 0);
    pool.configure(serviceAt(byRank[1]), Start + seconds(30));
    CHECK(sentIn(pool, Start + seconds(30), seconds(1)) > 0);
    SECTION("a second change")
    {
        pool.configure(serviceAt(byRank[0]), Start + seconds(31));
        CHECK(sentIn(pool, Start + seconds(31), seconds(6)) == 0);
        CHECK(sentIn(pool, Start + seconds(38), seconds(1)) > 0);
    }
    SECTION("a rank that is lost for a moment")
    {
        pool.configure(serviceAt(std::nullopt), Start + seconds(31));
        CHECK(sentIn(pool, Start + seconds(31), seconds(1)) == 0);
        pool.configure(serviceAt(byRank[1]), Start + seconds(32));
        CHECK(sentIn(pool, Start + seconds(35), seconds(1)) > 0);
    }
}

TEST_CASE("A request counts for one window from the latest time at which it may have arrived", "[limit][history]")
{
    SendHistory sends;
    sends.recordStart(Start);
    SECTION("while it is in flight")
    {
        CHECK(sends.countIn(Start + seconds(60), seconds(4)) == 1);
    }
    SECTION("from its start when it was answered quickly")
    {
        sends.recordEnd(Start + milliseconds(100), Start);
        CHECK(sends.countIn(Start + milliseconds(3999), seconds(4)) == 1);
        CHECK(sends.countIn(Start + seconds(4), seconds(4)) == 0);
        CHECK(sends.dropsBelowAt(Start + seconds(1), 1, seconds(4)) == Start + seconds(4));
        CHECK(sends.dropsBelowAt(Start + seconds(1), 2, seconds(4)) == Start + seconds(1));
        CHECK_FALSE(sends.dropsBelowAt(Start + seconds(1), 0, seconds(4)));
    }
    SECTION("from its end when it may have been held up in a connection")
    {
        sends.recordEnd(Start + seconds(3), Start);
        CHECK(sends.countIn(Start + seconds(6), seconds(4)) == 1);
        CHECK(sends.countIn(Start + seconds(7), seconds(4)) == 0);
    }
}
