/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "fleet.h"
#include "loopbacklistener.h"
#include "rawcaller.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <stdexcept>
#include <thread>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

bool hasOutcome(const std::optional<HttpAnswer> &answer, int status, const std::string &outcome)
{
    return answer && answer->status == status && answer->body.view().find("\"outcome\":\"" + outcome + "\"") != std::string::npos;
}

std::future<std::optional<HttpAnswer>> payAsync(Fleet &fleet, const std::string &entryVm, const std::string &key, int timeoutMs = 10'000)
{
    return std::async(std::launch::async, [&fleet, entryVm, key, timeoutMs] { return fleet.pay(entryVm, key, "monto=1", timeoutMs); });
}

bool isLeaving(const Wire::Status &status, const std::string &backend)
{
    for (const Wire::BackendStatus &backendStatus : status.backends) {
        if (backendStatus.name == backend) {
            return backendStatus.state == "leaving";
        }
    }
    return false;
}

/// A listener whose queue is full, so that no further connection to it is established.
class SilentListener
{
public:
    const std::string &address() const
    {
        return listener_.address();
    }

private:
    LoopbackListener listener_{0};
    RawCaller filler_{listener_.address()};
};

std::size_t liveCount(const Wire::Status &status)
{
    std::size_t count = 0;
    for (const Wire::EntryVmStatus &vm : status.entryVms) {
        count += vm.state == "live" ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("Payouts are executed once and never lost", "[process][payout]")
{
    Fleet fleet;
    fleet.startAll({"entry-1", "entry-2"});
    SECTION("a repeat through another entry VM gets the recorded result, and a different body is rejected")
    {
        const auto first = fleet.pay("entry-1", "k1");
        const auto second = fleet.pay("entry-2", "k1");
        REQUIRE(first);
        REQUIRE(second);
        CHECK(first->body == second->body);
        CHECK(findHeader(second->headers, "Cloverbarrow-Replayed"));
        CHECK(hasOutcome(fleet.pay("entry-2", "k1", "monto=2"), 422, "not-run"));
        CHECK(fleet.logMatchCount("key=k1") == 1);
    }
    SECTION("with the platform down it is rejected at once with a Retry-After header")
    {
        fleet.setPlatformFaults(R"({"refusing":true})");
        const auto answer = fleet.pay("entry-1", "k1");
        CHECK(hasOutcome(answer, 503, "not-run"));
        CHECK(findHeader(answer->headers, "Retry-After"));
        CHECK(fleet.get("entry-1", "/state/a")->status == 200);
        fleet.setPlatformFaults("{}");
        CHECK(fleet.pay("entry-1", "k1")->status == 200);
        CHECK(fleet.logMatchCount("key=k1") == 1);
    }
    SECTION("when the answers to its creation and settlement are lost")
    {
        fleet.setPlatformFaults(R"({"lose_answers":2,"lose_kind":"payout"})");
        CHECK(fleet.pay("entry-1", "k1")->status == 200);
        CHECK(fleet.logMatchCount("key=k1") == 1);
        CHECK(eventually([&] { return fleet.payoutState("entry-2", "k1") == "settled"; }));
    }
    SECTION("when its backend server executes it and drops the connection")
    {
        fleet.setBehaviour(1, R"({"drop_next":1})");
        fleet.setBehaviour(2, R"({"drop_next":1})");
        CHECK(hasOutcome(fleet.pay("entry-1", "k1"), 502, "unknown"));
        CHECK(hasOutcome(fleet.pay("entry-2", "k1"), 409, "unknown"));
        CHECK(fleet.logMatchCount("key=k1") == 1);
        CHECK(eventually([&] { return fleet.payoutState("entry-2", "k1") == "unknown"; }));
    }
    SECTION("when its entry VM is killed during its execution")
    {
        fleet.setBehaviour(1, R"({"service_us":400000})");
        fleet.setBehaviour(2, R"({"service_us":400000})");
        auto answer = payAsync(fleet, "entry-1", "k1");
        CHECK(eventually([&] { return fleet.logMatchCount("key=k1") == 1; }));
        fleet.killEntryVm("entry-1");
        CHECK_FALSE(answer.get());
        CHECK(hasOutcome(fleet.pay("entry-2", "k1"), 409, "unknown"));
        CHECK(fleet.payoutState("entry-2", "k1") == "intent");
        CHECK(fleet.logMatchCount("key=k1") == 1);
    }
    SECTION("when its entry VM freezes between storing the record and sending, and resumes after a repeat")
    {
        fleet.setPlatformFaults(R"({"slow_ms":1500})");
        auto answer = payAsync(fleet, "entry-1", "k1");
        const auto isRecordDelayed = [&] { return fleet.platformState("delayed").find("PUT /objects/payout") != std::string::npos; };
        REQUIRE(eventually(isRecordDelayed));
        fleet.entryVm("entry-1").signal(SIGSTOP);
        REQUIRE(isRecordDelayed());
        REQUIRE(eventually([&] { return fleet.platformState("objects").find("payout/") != std::string::npos; }));
        fleet.setPlatformFaults("{}");
        CHECK(hasOutcome(fleet.pay("entry-2", "k1"), 409, "unknown"));
        fleet.entryVm("entry-1").signal(SIGCONT);
        CHECK(answer.get());
        CHECK(fleet.logMatchCount("key=k1") <= 1);
    }
    SECTION("when the answer to its creation is lost and its backend server drops the connection, twice")
    {
        for (const std::string key : {"k1", "k2"}) {
            fleet.setPlatformFaults(R"({"lose_answers":1,"lose_kind":"payout"})");
            fleet.setBehaviour(1, R"({"drop_next":1})");
            fleet.setBehaviour(2, R"({"drop_next":1})");
            CHECK(hasOutcome(fleet.pay("entry-1", key), 502, "unknown"));
            CHECK(hasOutcome(fleet.pay("entry-2", key), 409, "unknown"));
            CHECK(fleet.logMatchCount("key=" + key) == 1);
        }
    }
    SECTION("when its entry VM is killed while the platform loses answers, and a new one starts under its name")
    {
        fleet.setBehaviour(1, R"({"service_us":400000})");
        fleet.setBehaviour(2, R"({"service_us":400000})");
        fleet.setPlatformFaults(R"({"lose_answers":1,"lose_kind":"payout"})");
        auto answer = payAsync(fleet, "entry-1", "k1");
        CHECK(eventually([&] { return fleet.logMatchCount("key=k1") == 1; }));
        fleet.killEntryVm("entry-1");
        answer.get();
        fleet.startEntryVm("entry-1");
        CHECK(eventually([&] { return fleet.isReady("entry-1"); }));
        CHECK(hasOutcome(fleet.pay("entry-1", "k1"), 409, "unknown"));
        CHECK(fleet.logMatchCount("key=k1") == 1);
    }
    SECTION("with many repeats at once through both entry VMs")
    {
        constexpr int ClientRetries = 16;
        std::vector<std::future<std::optional<HttpAnswer>>> answers;
        answers.reserve(ClientRetries);
        for (int retry = 0; retry < ClientRetries; ++retry) {
            answers.push_back(payAsync(fleet, retry % 2 == 0 ? "entry-1" : "entry-2", "k1"));
        }
        for (auto &answer : answers) {
            CHECK(answer.get());
        }
        CHECK(fleet.logMatchCount("key=k1") == 1);
    }
}

TEST_CASE("A configuration spreads to all entry VMs, survives outages and never reverts", "[process][configuration]")
{
    Fleet fleet;
    fleet.startAll({"entry-1", "entry-2", "entry-3"});
    const std::int64_t first = fleet.status("entry-1").configurationVersion;
    SECTION("of concurrent changes one is accepted and the others get a conflict with the diff")
    {
        std::vector<std::future<std::string>> results;
        for (const std::string name : {"entry-1", "entry-2", "entry-3"}) {
            results.push_back(std::async(std::launch::async, [&fleet, name, first] {
                try {
                    fleet.apply(name, fleet.document("    limits: {max_in_flight: 10" + name.substr(6) + "}\n"), first);
                    return std::string("accepted");
                } catch (const Wire::Failure &failure) {
                    return failure.kind == Wire::FailureKind::CONFLICT && !failure.diff.empty() ? std::string("conflict") : failure.message;
                }
            }));
        }
        std::map<std::string, int> counts;
        for (auto &result : results) {
            ++counts[result.get()];
        }
        CHECK(counts["accepted"] == 1);
        CHECK(counts["conflict"] == 2);
    }
    SECTION("when the answer to the accepting write is lost, the version is read back")
    {
        fleet.setPlatformFaults(R"({"lose_answers":1,"lose_kind":"configuration"})");
        const std::int64_t version = fleet.apply("entry-1", fleet.document("    limits: {max_in_flight: 99}\n"), first);
        for (const std::string name : {"entry-1", "entry-2", "entry-3"}) {
            CHECK(eventually([&] { return fleet.status(name).configurationVersion == version; }));
        }
    }
    SECTION("entry VMs that start or restart during an outage get the current version from peers, never an older one")
    {
        fleet.setPlatformFaults(R"({"down":true})");
        fleet.startEntryVm("entry-4");
        CHECK(eventually([&] { return fleet.isReady("entry-4"); }));
        CHECK(fleet.status("entry-4").configurationVersion == first);
        CHECK(fleet.get("entry-4", "/state/a")->status == 200);
        fleet.killEntryVm("entry-2");
        fleet.startEntryVm("entry-2");
        CHECK(eventually([&] { return fleet.isReady("entry-2"); }));
        CHECK(fleet.status("entry-2").configurationVersion == first);
        CHECK(fleet.isReady("entry-1"));
    }
    SECTION("a change during an outage is rejected without effect")
    {
        fleet.setPlatformFaults(R"({"refusing":true})");
        CHECK_THROWS_AS(fleet.apply("entry-1", fleet.document(), first), Wire::Failure);
        fleet.setPlatformFaults("{}");
        CHECK(fleet.status("entry-1").configurationVersion == first);
    }
    SECTION("an invalid one is rejected with its faults")
    {
        try {
            fleet.apply("entry-1", "services:\n  - {name: a}\n", first);
            FAIL("accepted");
        } catch (const Wire::Failure &failure) {
            CHECK(failure.kind == Wire::FailureKind::INVALID);
            CHECK_FALSE(failure.faults.empty());
        }
    }
    SECTION("a frozen entry VM that resumes applies the newest version")
    {
        fleet.entryVm("entry-3").signal(SIGSTOP);
        const std::int64_t second = fleet.apply("entry-1", fleet.document("    limits: {max_in_flight: 99}\n"), first);
        const std::int64_t third = fleet.apply("entry-1", fleet.document("    limits: {max_in_flight: 98}\n"), second);
        fleet.entryVm("entry-3").signal(SIGCONT);
        CHECK(eventually([&] { return fleet.status("entry-3").configurationVersion == third; }));
    }
}

TEST_CASE("An entry VM that reaches neither the platform nor peers stops being ready", "[process][configuration]")
{
    Fleet fleet;
    fleet.startAll({"entry-1", "entry-2"});
    fleet.setPlatformFaults(R"({"down":true})");
    fleet.entryVm("entry-2").signal(SIGSTOP);
    CHECK(eventually([&] { return !fleet.isReady("entry-1"); }, 60'000));
    fleet.entryVm("entry-2").signal(SIGCONT);
    CHECK(eventually([&] { return fleet.isReady("entry-1"); }));
}

TEST_CASE("A leaving backend server gets no new requests from any entry VM", "[process][leaving]")
{
    Fleet fleet;
    fleet.startAll({"entry-1", "entry-2", "entry-3"});
    SECTION("after one answer that declares it, also with the platform down")
    {
        fleet.setPlatformFaults(R"({"down":true})");
        fleet.setBehaviour(1, R"({"leaving":true})");
        for (int number = 0; number < 20; ++number) {
            CHECK(fleet.get("entry-1", "/state/a")->status == 200);
        }
        for (const std::string name : {"entry-1", "entry-2", "entry-3"}) {
            CHECK(eventually([&] { return isLeaving(fleet.status(name), "b1"); }, 5000));
        }
        fleet.setBehaviour(1, R"({"leaving":false})");
        const int before = fleet.logMatchCount("id=after");
        for (int number = 0; number < 30; ++number) {
            fleet.get(number % 2 == 0 ? "entry-2" : "entry-3", "/state/b", {{"X-Id", "after"}});
        }
        CHECK(before == 0);
        CHECK(fleet.logMatchCount("id=after") == 30);
        CHECK(fleet.get("entry-2", "/state/c")->body.view().find("server=b2") == 0);
    }
    SECTION("after the VM list shows it")
    {
        HttpRequest list;
        list.method = "PUT";
        list.target = "/control/vms";
        list.body = R"({"vms":[{"name":"b1","state":"leaving"},{"name":"b2","state":"live"}]})";
        fleet.send(fleet.platformAddress(), list);
        for (const std::string name : {"entry-1", "entry-2", "entry-3"}) {
            CHECK(eventually([&] { return isLeaving(fleet.status(name), "b1"); }, 10'000));
        }
        // A contradictory list does not end the leaving state.
        list.body = R"({"vms":[{"name":"b1","state":"live"}]})";
        fleet.send(fleet.platformAddress(), list);
        CHECK(isLeaving(fleet.status("entry-1"), "b1"));
    }
}

TEST_CASE("A graceful shutdown cuts off no request in flight", "[process][shutdown]")
{
    Fleet fleet;
    fleet.startAll({"entry-1", "entry-2"});
    fleet.setBehaviour(1, R"({"service_us":700000})");
    fleet.setBehaviour(2, R"({"service_us":700000})");
    SECTION("neither reads nor a payout, and exits with 0")
    {
        auto payout = payAsync(fleet, "entry-1", "k1");
        auto read = std::async(std::launch::async, [&fleet] { return fleet.get("entry-1", "/state/a", {{"X-Id", "a"}}); });
        CHECK(eventually([&] { return fleet.logMatchCount("id=a") == 1 && fleet.logMatchCount("key=k1") == 1; }));
        fleet.entryVm("entry-1").signal(SIGTERM);
        CHECK(read.get()->status == 200);
        CHECK(payout.get()->status == 200);
        CHECK(fleet.entryVm("entry-1").wait() == 0);
        CHECK(fleet.payoutState("entry-2", "k1") == "settled");
    }
    SECTION("nor a payout whose settlement the platform refuses at first")
    {
        auto payout = payAsync(fleet, "entry-1", "k1");
        CHECK(eventually([&] { return fleet.logMatchCount("key=k1") == 1; }));
        fleet.setPlatformFaults(R"({"refusing":true})");
        fleet.entryVm("entry-1").signal(SIGTERM);
        CHECK(payout.get()->status == 200);
        fleet.setPlatformFaults("{}");
        CHECK(fleet.entryVm("entry-1").wait() == 0);
        CHECK(fleet.payoutState("entry-2", "k1") == "settled");
    }
    SECTION("nor a large answer that its caller reads slowly")
    {
        constexpr int SmallBuffer = 4096;
        fleet.setBehaviour(1, R"({"service_us":1000})");
        fleet.setBehaviour(2, R"({"service_us":1000})");
        const std::string large(8'000'000, 'x');
        RawCaller slow(fleet.address("entry-1", "callers"), SmallBuffer);
        slow.send("POST /notes HTTP/1.1\r\nHost: liquidacion.example\r\nX-Id: large\r\nContent-Length: 8000000\r\n\r\n" + large);
        const std::string start = slow.readUntil("HTTP/1.1 200");
        fleet.entryVm("entry-1").signal(SIGTERM);
        CHECK(eventually([&] { return !fleet.isReady("entry-1"); }));
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CHECK(start.size() + slow.readAll().size() > large.size());
        CHECK(fleet.entryVm("entry-1").wait() == 0);
    }
    SECTION("a second signal ends the process at once with the exit code for unfinished requests")
    {
        auto read = std::async(std::launch::async, [&fleet] { return fleet.get("entry-1", "/state/a", {{"X-Id", "a"}}); });
        CHECK(eventually([&] { return fleet.logMatchCount("id=a") == 1; }));
        fleet.entryVm("entry-1").signal(SIGTERM);
        CHECK(eventually([&] { return !fleet.isReady("entry-1"); }));
        fleet.entryVm("entry-1").signal(SIGTERM);
        CHECK(fleet.entryVm("entry-1").wait() == 3);
        read.get();
    }
    SECTION("a kept connection gets Connection: close, and new requests are rejected as not executed")
    {
        fleet.setBehaviour(1, R"({"service_us":3000000})");
        fleet.setBehaviour(2, R"({"service_us":3000000})");
        RawCaller kept(fleet.address("entry-1", "callers"));
        kept.send("GET /state/a HTTP/1.1\r\nHost: liquidacion.example\r\nX-Id: a\r\n\r\n");
        CHECK(eventually([&] { return fleet.logMatchCount("id=a") == 1; }));
        // Requests of later callers must not outlast the shutdown.
        fleet.setBehaviour(1, R"({"service_us":1000})");
        fleet.setBehaviour(2, R"({"service_us":1000})");
        fleet.entryVm("entry-1").signal(SIGTERM);
        CHECK(eventually([&] { return hasOutcome(fleet.get("entry-1", "/state/late"), 503, "not-run"); }));
        const std::string read = kept.readAll();
        CHECK(read.find("HTTP/1.1 200") == 0);
        CHECK(read.find("Connection: close") != std::string::npos);
        CHECK(fleet.entryVm("entry-1").wait() == 0);
    }
}

TEST_CASE("A request that has not been sent when the process exits is refused as not executed", "[process][shutdown]")
{
    Fleet fleet(1);
    constexpr auto Arrival = std::chrono::milliseconds(300);
    const auto exitAtOnce = [&fleet] {
        fleet.entryVm("entry-1").signal(SIGTERM);
        CHECK(eventually([&] { return !fleet.isReady("entry-1"); }));
        fleet.entryVm("entry-1").signal(SIGTERM);
    };
    SECTION("while it waits for a server")
    {
        fleet.startAll({"entry-1"}, "    limits: {connections_per_server: 1}\n");
        fleet.setBehaviour(1, R"({"service_us":4000000})");
        auto running = std::async(std::launch::async, [&fleet] { return fleet.get("entry-1", "/state/a", {{"X-Id", "a"}}); });
        CHECK(eventually([&] { return fleet.logMatchCount("id=a") == 1; }));
        auto waiting = std::async(std::launch::async, [&fleet] { return fleet.get("entry-1", "/state/b", {{"X-Id", "b"}}); });
        std::this_thread::sleep_for(Arrival);
        exitAtOnce();
        CHECK(hasOutcome(waiting.get(), 503, "not-run"));
        running.get();
        CHECK(fleet.logMatchCount("id=b") == 0);
    }
    SECTION("while its connection to a server is being opened")
    {
        const SilentListener silent;
        std::string document = fleet.document();
        document.replace(document.find(fleet.backendAddress(1)), fleet.backendAddress(1).size(), silent.address());
        fleet.startEntryVm("entry-1");
        fleet.apply("entry-1", document, 0);
        CHECK(eventually([&] { return fleet.isReady("entry-1"); }));
        auto connecting = std::async(std::launch::async, [&fleet] { return fleet.get("entry-1", "/state/a"); });
        std::this_thread::sleep_for(Arrival);
        exitAtOnce();
        CHECK(hasOutcome(connecting.get(), 503, "not-run"));
    }
    CHECK(fleet.entryVm("entry-1").wait() == 3);
}

TEST_CASE("Entry VMs discover each other and detect a shut down or frozen peer", "[process][membership]")
{
    Fleet fleet;
    fleet.startAll({"entry-1", "entry-2", "entry-3"});
    CHECK(eventually([&] { return liveCount(fleet.status("entry-1")) == 3; }));
    fleet.entryVm("entry-2").signal(SIGTERM);
    CHECK(fleet.entryVm("entry-2").wait() == 0);
    CHECK(eventually([&] { return liveCount(fleet.status("entry-1")) == 2; }, 5000));
    fleet.entryVm("entry-3").signal(SIGSTOP);
    const auto isEntry3Dead = [&] {
        const auto status = fleet.status("entry-1");
        return std::any_of(status.entryVms.begin(), status.entryVms.end(), [](const auto &vm) { return vm.name == "entry-3" && vm.state == "dead"; });
    };
    CHECK(eventually(isEntry3Dead));
    fleet.entryVm("entry-3").signal(SIGCONT);
    CHECK(eventually([&] { return liveCount(fleet.status("entry-1")) == 2; }));
}

TEST_CASE("Probes of all entry VMs together stay within the probe budget", "[process][budget]")
{
    Fleet fleet(3);
    fleet.startAll({"entry-1", "entry-2", "entry-3"}, "    measuring: {probes: 4, window_ms: 500}\n");
    CHECK(eventually([&] { return fleet.probeCount() > 4; }));
    const auto since = std::chrono::steady_clock::now();
    const int before = fleet.probeCount();
    fleet.entryVm("entry-1").signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    fleet.entryVm("entry-1").signal(SIGCONT);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const int sent = fleet.probeCount() - before;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - since).count();
    CHECK(sent <= 4 * (elapsed / 500 + 2));
}

TEST_CASE("Random bytes sent to the peer and administration listeners change nothing", "[process][input]")
{
    Fleet fleet;
    fleet.startAll({"entry-1"});
    const std::int64_t version = fleet.status("entry-1").configurationVersion;
    std::uint64_t state = 12345;
    for (const std::string listener : {"peers", "admin"}) {
        for (int round = 0; round < 60; ++round) {
            std::string bytes;
            for (int count = 0; count < 200; ++count) {
                state = state * 6364136223846793005ULL + 1442695040888963407ULL;
                bytes += static_cast<char>(state >> 56U);
            }
            if (round % 2 == 0) {
                // A frame header with a plausible length.
                bytes.insert(0, std::string("\0\0\0\xc8\x82\x21\x01", 7));
            }
            RawCaller caller(fleet.address("entry-1", listener));
            caller.send(bytes);
            caller.closeSending();
            caller.readAll(2000);
        }
    }
    CHECK(fleet.status("entry-1").configurationVersion == version);
    CHECK(fleet.get("entry-1", "/state/a")->status == 200);
}
