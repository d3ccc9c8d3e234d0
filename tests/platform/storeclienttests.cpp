/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "directorystore.h"
#include "storeclient.h"

#include <catch2/catch.hpp>

#include <functional>
#include <future>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Standins;

namespace
{

/// Starts a call about a leader record and waits for its answer.
LeaderRecordAnswered leaderRecordAfter(const std::function<void(DirectoryCallback)> &call)
{
    std::promise<LeaderRecordAnswered> done;
    call([&done](const DirectoryAnswer &answer) { done.set_value(std::get<LeaderRecordAnswered>(answer.event)); });
    return done.get_future().get();
}

} // namespace

TEST_CASE("Reading a zone's leader record also returns the relays of other zones", "[platform][relay]")
{
    DirectoryStore server;
    HttpClient client(1);
    Platform::StoreClient store(client, server.address());
    const auto read = [&store](const std::string &zone) {
        return leaderRecordAfter([&store, &zone](DirectoryCallback done) { store.readLeaderRecord(zone, ReadLeaderRecord{true}, std::move(done)); });
    };
    SECTION("when no zone has a relay")
    {
        const LeaderRecordAnswered record = read("bog-a");
        CHECK(record.hasAnswered);
        CHECK(record.revision == 0);
        CHECK(record.otherRelays.empty());
    }
    SECTION("when all zones have a relay")
    {
        const LeaderRecordAnswered written = leaderRecordAfter([&store](DirectoryCallback done) {
            store.writeLeaderRecord("bog-a", WriteLeaderRecord{"10.0.0.1:7200", 0}, std::move(done));
        });
        CHECK(written.leader == "10.0.0.1:7200");
        leaderRecordAfter([&store](DirectoryCallback done) { store.writeLeaderRecord("bog-b", WriteLeaderRecord{"10.0.0.2:7200", 0}, std::move(done)); });
        const LeaderRecordAnswered record = read("bog-a");
        CHECK(record.leader == "10.0.0.1:7200");
        CHECK(record.revision == written.revision);
        CHECK(record.otherRelays == std::vector<std::string>{"10.0.0.2:7200"});
    }
    SECTION("when another entry VM has become the leader first")
    {
        leaderRecordAfter([&store](DirectoryCallback done) { store.writeLeaderRecord("bog-a", WriteLeaderRecord{"10.0.0.1:7200", 0}, std::move(done)); });
        const LeaderRecordAnswered record = leaderRecordAfter([&store](DirectoryCallback done) {
            store.writeLeaderRecord("bog-a", WriteLeaderRecord{"10.0.0.9:7200", 0}, std::move(done));
        });
        CHECK(record.leader == "10.0.0.1:7200");
    }
    SECTION("but not while the store rejects calls")
    {
        server.setBusy(true);
        CHECK_FALSE(read("bog-a").hasAnswered);
    }
    client.stop();
}

namespace
{

/// A store that answers every call with the same bytes.
class FixedStore
{
public:
    explicit FixedStore(const std::string &body)
    {
        CallerServerOptions options;
        options.address = "127.0.0.1:0";
        server_ = std::make_unique<CallerServer>(options, [body](const std::shared_ptr<CallerConnection> &connection, const HttpRequest &) {
            connection->answer({200, "", {{"Content-Type", "application/json"}}, body}, false);
        });
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server_->port());
    }

private:
    std::unique_ptr<CallerServer> server_;
};

std::string serverObject(const std::string &name, const std::string &zone)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":4},"specification":{"service":"s1","address":"10.0.0.1:80","zone":")" + zone
        + R"(","version":"v1","slots":3,"state":"ready","warmup_remaining_s":0,"sequence":4}})";
}

} // namespace

TEST_CASE("One invalid entry does not invalidate the rest of its page or of its changes", "[platform][servers]")
{
    const std::string invalidObject = GENERATE(serverObject("i-2", "bog-\xff"),
                                               serverObject("i-2", "bog-\x02"),
                                               std::string(R"({"metadata":{"name":"i-2","revision":5},"specification":"aGVsbG8="})"),
                                               std::string(R"({"metadata":{"name":"i-2","revision":5}})"),
                                               std::string(R"({"metadata":{"revision":5},"specification":{}})"),
                                               std::string(R"({"metadata":7})"),
                                               std::string("null"));
    HttpClient client(1);
    const std::string items = serverObject("i-1", "bog-a") + "," + invalidObject + "," + serverObject("i-3", "bog-b");
    FixedStore lists(R"({"items":[)" + items + R"(],"has_more":false,"store_revision":9})");
    Platform::StoreClient listed(client, lists.address());
    std::promise<DirectoryEvent> page;
    listed.list(ListDirectory{Collection::Servers, {}, {}, 1}, [&page](const DirectoryAnswer &answer) { page.set_value(answer.event); });
    const auto checkEntries = [](const std::vector<DirectoryEntry> &entries) {
        REQUIRE(entries.size() >= 2);
        CHECK(entries.front().value);
        CHECK(entries.front().name == "i-1");
        CHECK(entries.back().value);
        CHECK(entries.back().name == "i-3");
        const bool hasInvalidObject = entries.size() > 2;
        CHECK((!hasInvalidObject || (!entries[1].value && !entries[1].fault.empty())));
    };
    const DirectoryEvent pageEvent = page.get_future().get();
    REQUIRE(std::holds_alternative<DirectoryListed>(pageEvent));
    checkEntries(std::get<DirectoryListed>(pageEvent).entries);

    const auto event = [](const std::string &object) { return R"({"deleted":false,"object":)" + object + "}"; };
    const std::string events = event(serverObject("i-1", "bog-a")) + "," + event(invalidObject) + "," + event(serverObject("i-3", "bog-b"));
    FixedStore watches(R"({"events":[)" + events + R"(],"store_revision":9})");
    Platform::StoreClient watched(client, watches.address());
    std::promise<DirectoryEvent> change;
    watched.watch(WatchDirectory{Collection::Servers, 3, seconds(1), {}, 1}, [&change](const DirectoryAnswer &answer) { change.set_value(answer.event); });
    const DirectoryEvent changeEvent = change.get_future().get();
    REQUIRE(std::holds_alternative<DirectoryChanged>(changeEvent));
    checkEntries(std::get<DirectoryChanged>(changeEvent).entries);
    client.stop();
}
