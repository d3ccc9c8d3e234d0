/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/boundedjson.h"
#include "directorystore.h"
#include "net/httpplatformclient.h"
#include "net/relayclient.h"
#include "net/relaymessages.h"
#include "storeclient.h"
#include "storeobject.h"

#include <catch2/catch.hpp>

#include <algorithm>
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
    explicit FixedStore(const std::string &body, int status = 200)
    {
        CallerServerOptions options;
        options.address = "127.0.0.1:0";
        server_ = std::make_unique<CallerServer>(options, [body, status](const std::shared_ptr<CallerConnection> &connection, const HttpRequest &) {
            connection->answer({status, "", {{"Content-Type", "application/json"}}, body}, false);
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

namespace
{

/// JSON values that cannot be used, each for another reason.
std::vector<std::string> oddValues()
{
    constexpr std::size_t Depth = 100'000;
    std::string many = "[0";
    for (std::size_t count = 0; count < MaxJsonValues; ++count) {
        many += ",0";
    }
    return {std::string(Depth, '[') + std::string(Depth, ']'), "1e999", many + "]"};
}

/// A text in place of each member of an object of the store.
struct ObjectParts {
    std::string name;
    std::string specification;
    std::string metadata = "1"; ///< Of an unknown member of the metadata.
    std::string status = "{}";
    std::string unknown = "1"; ///< Of an unknown member of the object.
};

std::string objectOf(const ObjectParts &parts)
{
    return R"({"metadata":{"name":")" + parts.name + R"(","revision":4,"later":)" + parts.metadata + R"(},"specification":)" + parts.specification
        + R"(,"status":)" + parts.status + R"(,"later":)" + parts.unknown + "}";
}

std::string eventOf(const std::string &object, const std::string &deleted)
{
    return R"({"deleted":)" + deleted + R"(,"object":)" + object + "}";
}

std::string joined(std::initializer_list<std::string> values)
{
    std::string text;
    for (const std::string &value : values) {
        text.append(text.empty() ? "" : ",").append(value);
    }
    return text;
}

std::string specificationOf(Collection collection)
{
    switch (collection) {
    case Collection::Routing:
        return R"({"version":"r3","routes":[],"services":[]})";
    case Collection::Servers:
        return R"({"service":"s1","address":"10.0.0.1:80","zone":"bog-a","version":"v1","slots":3,"state":"ready","warmup_remaining_s":0,"sequence":4})";
    case Collection::Crashes:
        return R"({"ends":[],"excused":[]})";
    case Collection::Evacuations:
        return "{}";
    case Collection::Rollouts:
        return R"({"service":"s1","target_version":"v2","duration_s":60})";
    }
    return {};
}

/// Where an odd value stands, and whether it is used there.
struct OddPlace {
    std::string ObjectParts::*part = nullptr;
    bool isUsed = false;
};

std::vector<OddPlace> oddPlaces(Collection collection)
{
    const bool hasContent = collection != Collection::Evacuations;
    return {{&ObjectParts::specification, hasContent},
            {&ObjectParts::metadata, hasContent},
            {&ObjectParts::status, collection == Collection::Rollouts},
            {&ObjectParts::unknown, false}};
}

std::vector<DirectoryEntry> listedFrom(HttpClient &client, Collection collection, const std::string &items)
{
    FixedStore store(R"({"items":[)" + items + R"(],"has_more":false,"store_revision":9})");
    Platform::StoreClient reader(client, store.address());
    std::promise<DirectoryEvent> page;
    reader.list(ListDirectory{collection, {}, {}, 1}, [&page](const DirectoryAnswer &answer) { page.set_value(answer.event); });
    const DirectoryEvent event = page.get_future().get();
    REQUIRE(std::holds_alternative<DirectoryListed>(event));
    return std::get<DirectoryListed>(event).entries;
}

std::vector<DirectoryEntry> watchedFrom(HttpClient &client, Collection collection, const std::string &events)
{
    FixedStore store(R"({"events":[)" + events + R"(],"store_revision":9})");
    Platform::StoreClient reader(client, store.address());
    std::promise<DirectoryEvent> change;
    reader.watch(WatchDirectory{collection, 3, seconds(1), {}, 1}, [&change](const DirectoryAnswer &answer) { change.set_value(answer.event); });
    const DirectoryEvent event = change.get_future().get();
    REQUIRE(std::holds_alternative<DirectoryChanged>(event));
    return std::get<DirectoryChanged>(event).entries;
}

void checkForwardedText(Collection collection, const DirectoryEntry &entry)
{
    constexpr std::size_t MaxText = 300;
    CHECK(entry.text.size() <= MaxText);
    const DirectoryEntry forwarded = Platform::readObject(collection, entry.text, false);
    CHECK(forwarded.name == entry.name);
    CHECK(forwarded.revision == entry.revision);
    CHECK(forwarded.value == entry.value);
    CHECK(forwarded.fault.empty() == entry.fault.empty());
}

} // namespace

TEST_CASE("An object of the store that is too deep, too large or out of range costs its own use only", "[platform][json][bounds]")
{
    // Of the first collection only the object with this name is used, whatever stands beside it.
    const auto collection = GENERATE(Collection::Routing, Collection::Servers, Collection::Crashes, Collection::Evacuations, Collection::Rollouts);
    const std::string usedName = "main";
    const std::string valid = objectOf({usedName, specificationOf(collection)});
    HttpClient client(1);
    for (const auto &[part, isUsed] : oddPlaces(collection)) {
        for (const std::string &value : oddValues()) {
            ObjectParts parts{"odd", specificationOf(collection)};
            parts.*part = value;
            const std::string odd = objectOf(parts);
            CAPTURE(static_cast<int>(collection), odd.substr(0, 200), odd.size());
            const auto checkEntries = [&, isFault = isUsed](const std::vector<DirectoryEntry> &entries) {
                REQUIRE(entries.size() == 3);
                CHECK(entries[0].value.has_value());
                CHECK(entries[2].value.has_value());
                CHECK(entries[1].name == "odd");
                CHECK(entries[1].revision == 4);
                CHECK(entries[1].fault.empty() != isFault);
                CHECK((collection == Collection::Routing || entries[1].value.has_value() != isFault));
                checkForwardedText(collection, entries[1]);
            };
            checkEntries(listedFrom(client, collection, joined({valid, odd, valid})));
            checkEntries(watchedFrom(client, collection, joined({eventOf(valid, "false"), eventOf(odd, "false"), eventOf(valid, "false")})));

            const auto deleted = watchedFrom(client, collection, eventOf(odd, "true"));
            REQUIRE(deleted.size() == 1);
            CHECK(deleted.front().isDeleted);
            CHECK(deleted.front().name == "odd");
            CHECK(deleted.front().fault.empty());
        }
    }
    client.stop();
}

TEST_CASE("A configuration that is too deep, too large or out of range is an entry with a fault", "[platform][json][bounds]")
{
    HttpClient client(1);
    for (const std::string &value : oddValues()) {
        const std::string odd = R"({"version":"r3","routes":[],"services":[],"limits":)" + value + "}";
        const auto entries = listedFrom(client, Collection::Routing, objectOf({"main", odd}));
        REQUIRE(entries.size() == 1);
        CHECK_FALSE(entries.front().value);
        CHECK_FALSE(entries.front().fault.empty());
        checkForwardedText(Collection::Routing, entries.front());
    }
    client.stop();
}

TEST_CASE("An event that cannot be read costs its own entry only", "[platform][json][bounds]")
{
    const std::string valid = eventOf(serverObject("i-1", "bog-a"), "false");
    HttpClient client(1);
    std::vector<std::string> values = oddValues();
    values.insert(values.end(), {"7", "null"});
    for (const std::string &value : values) {
        CAPTURE(value.substr(0, 200));
        const auto named = watchedFrom(client, Collection::Servers, eventOf(serverObject("i-2", "bog-a"), value) + "," + valid);
        REQUIRE(named.size() == 2);
        CHECK(named[0].name == "i-2");
        CHECK_FALSE(named[0].isDeleted);
        CHECK_FALSE(named[0].value);
        CHECK_FALSE(named[0].fault.empty());
        checkForwardedText(Collection::Servers, named[0]);
        CHECK(named[1].value.has_value());

        for (const std::string &nameless : {eventOf(value, "false"), value, R"({"deleted":false,"later":)" + value + "}"}) {
            const auto remaining = watchedFrom(client, Collection::Servers, joined({nameless, valid}));
            REQUIRE(remaining.size() == 1);
            CHECK(remaining.front().value.has_value());
        }

        std::string withUnknown = valid;
        withUnknown.insert(1, R"("later":)" + value + ",");
        const auto unknown = watchedFrom(client, Collection::Servers, withUnknown);
        REQUIRE(unknown.size() == 1);
        CHECK(unknown.front().value.has_value());
    }
    client.stop();
}

namespace
{

LeaderRecordAnswered leaderRecordFrom(HttpClient &client,
                                      const std::string &body,
                                      int status,
                                      const std::function<void(Platform::StoreClient &, DirectoryCallback)> &call)
{
    FixedStore fixed(body, status);
    Platform::StoreClient store(client, fixed.address());
    return leaderRecordAfter([&](DirectoryCallback done) { call(store, std::move(done)); });
}

std::string leaderObject(const std::string &zone, const std::string &address)
{
    return objectOf({zone, R"({"address":)" + address + "}"});
}

} // namespace

TEST_CASE("A leader record that cannot be read is replaced under its revision, and those of other zones are used", "[platform][relay][json][bounds]")
{
    HttpClient client(1);
    const auto read = [](Platform::StoreClient &store, DirectoryCallback done) { store.readLeaderRecord("bog-a", ReadLeaderRecord{true}, std::move(done)); };
    const auto write = [](Platform::StoreClient &store, DirectoryCallback done) {
        store.writeLeaderRecord("bog-a", WriteLeaderRecord{"10.0.0.9:7200", 2}, std::move(done));
    };
    const auto listOf = [](const std::string &items) { return R"({"items":[)" + items + R"(],"has_more":false,"store_revision":9})"; };
    std::vector<std::string> values = oddValues();
    values.insert(values.end(), {"7", "null", "{}"});
    for (const std::string &value : values) {
        CAPTURE(value.substr(0, 200));
        const LeaderRecordAnswered own =
            leaderRecordFrom(client, listOf(leaderObject("bog-a", value) + "," + leaderObject("bog-b", R"("10.0.0.2:7200")")), 200, read);
        CHECK(own.hasAnswered);
        CHECK(own.leader.empty());
        CHECK(own.revision == 4);
        CHECK(own.otherRelays == std::vector<std::string>{"10.0.0.2:7200"});

        for (const std::string &odd : {leaderObject("bog-c", value), value}) {
            const std::string items = odd + "," + leaderObject("bog-a", R"("10.0.0.1:7200")") + "," + leaderObject("bog-b", R"("10.0.0.2:7200")");
            const LeaderRecordAnswered other = leaderRecordFrom(client, listOf(items), 200, read);
            CHECK(other.hasAnswered);
            CHECK(other.leader == "10.0.0.1:7200");
            CHECK(other.otherRelays == std::vector<std::string>{"10.0.0.2:7200"});
        }

        const LeaderRecordAnswered conflict = leaderRecordFrom(client, R"({"object":)" + leaderObject("bog-a", value) + "}", 409, write);
        CHECK(conflict.hasAnswered);
        CHECK(conflict.leader.empty());
        CHECK(conflict.revision == 4);

        CHECK_FALSE(leaderRecordFrom(client, R"({"object":)" + value + "}", 409, write).hasAnswered);
    }
    client.stop();
}

TEST_CASE("A crash report in the store that cannot be read is replaced under its revision", "[platform][crash][json][bounds]")
{
    HttpClient client(1);
    std::vector<std::string> values = oddValues();
    values.insert(values.end(), {"7", "null", "{}"});
    const auto writtenOver = [&client](const std::string &body) {
        FixedStore fixed(body, 409);
        Platform::StoreClient store(client, fixed.address());
        std::promise<CrashReportWritten> done;
        store.writeCrashReport(
            "vm-1", WriteCrashReport{}, [&done](const DirectoryAnswer &answer) { done.set_value(std::get<CrashReportWritten>(answer.event)); });
        return done.get_future().get();
    };
    for (const std::string &value : values) {
        CAPTURE(value.substr(0, 200));
        const CrashReportWritten written = writtenOver(R"({"object":)" + objectOf({"vm-1", R"({"ends":)" + value + R"(,"excused":[]})"}) + "}");
        CHECK(written.revision == 4);
        CHECK(written.report.crashes.empty());
        CHECK(writtenOver(R"({"object":)" + value + "}").revision == 0);
    }
    client.stop();
}

TEST_CASE("An odd text in a relay's list costs the use of its entry only", "[platform][relay][json][bounds]")
{
    HttpClient client(1);
    const auto listedBy = [&client](const std::string &text) {
        const std::string valid = serverObject("i-1", "bog-a");
        CollectionUpdate update;
        update.revision = 3;
        update.entries = {{"i-1", 4, std::nullopt, false, valid},
                          {"odd", 4, std::nullopt, false, text},
                          {"gone", 5, std::nullopt, true, text},
                          {"i-1", 4, std::nullopt, false, valid}};
        FixedStore relay(encodeCollectionUpdate(update));
        Platform::StoreClient codec(client, relay.address());
        RelayClient reader(client, codec);
        std::promise<DirectoryEvent> page;
        ListDirectory action{Collection::Servers, {}, relay.address(), 1};
        reader.list(action, [&page](const DirectoryAnswer &answer) { page.set_value(answer.event); });
        return page.get_future().get();
    };
    std::vector<std::string> texts = oddValues();
    for (const std::string &value : oddValues()) {
        texts.push_back(objectOf({"odd", value}));
        texts.push_back(R"({"metadata":)" + value + "}");
    }
    texts.insert(texts.end(), {"", "{", "null", "7"});
    for (const std::string &text : texts) {
        CAPTURE(text.substr(0, 200));
        const DirectoryEvent event = listedBy(text);
        REQUIRE(std::holds_alternative<DirectoryListed>(event));
        const auto &entries = std::get<DirectoryListed>(event).entries;
        REQUIRE(entries.size() == 4);
        CHECK(entries[0].value.has_value());
        CHECK(entries[1].name == "odd");
        CHECK_FALSE(entries[1].value);
        CHECK_FALSE(entries[1].fault.empty());
        CHECK(entries[2].isDeleted);
        CHECK(entries[2].name == "gone");
        CHECK(entries[3].value.has_value());
    }
    client.stop();
}

TEST_CASE("An odd answer to a call for an object of the platform counts as none", "[platform][json][bounds]")
{
    std::vector<std::string> values = oddValues();
    values.emplace_back("1e300");
    for (const std::string &value : values) {
        CAPTURE(value.substr(0, 200));
        for (const std::string &body : {value, joined({R"({"vms":)" + value, R"("value":"","version":)" + value + "}"})}) {
            FixedStore store(body);
            HttpPlatformClient client(store.address(), nullptr);
            std::promise<StoreResult> read;
            client.call({{"lease", "a"}, StoreRead{}}, [&read](StoreResult result) { read.set_value(std::move(result)); });
            CHECK(std::holds_alternative<StoreUnavailable>(read.get_future().get()));
            std::promise<StoreResult> written;
            client.call({{"lease", "a"}, StoreWrite{1, "{}"}}, [&written](StoreResult result) { written.set_value(std::move(result)); });
            CHECK(std::holds_alternative<StoreOutcomeUnknown>(written.get_future().get()));
            std::promise<VmListResult> vms;
            client.listVms([&vms](VmListResult result) { vms.set_value(std::move(result)); });
            CHECK_FALSE(vms.get_future().get().hasAnswered);
            client.stop();
        }
    }
}

TEST_CASE("A list or watch whose revision is out of range fails instead of being followed from another one", "[platform][json][numbers]")
{
    HttpClient client(1);
    for (const char *revision : {"1e300", "-1e300", "9223372036854775808", "1e999", "null"}) {
        CAPTURE(revision);
        FixedStore store(R"({"items":[],"events":[],"has_more":false,"store_revision":)" + std::string(revision) + "}");
        Platform::StoreClient reader(client, store.address());
        std::promise<DirectoryEvent> page;
        reader.list(ListDirectory{Collection::Servers, {}, {}, 1}, [&page](const DirectoryAnswer &answer) { page.set_value(answer.event); });
        CHECK(std::holds_alternative<DirectoryCallFailed>(page.get_future().get()));
        std::promise<DirectoryEvent> change;
        reader.watch(WatchDirectory{Collection::Servers, 3, seconds(1), {}, 1}, [&change](const DirectoryAnswer &answer) { change.set_value(answer.event); });
        CHECK(std::holds_alternative<DirectoryCallFailed>(change.get_future().get()));
    }
    client.stop();
}

TEST_CASE("The reason why a configuration cannot be read quotes none of its keys", "[platform][routing][json]")
{
    const std::string keys = R"(["secret-1","secret-2\q"])";
    const DirectoryEntry entry =
        Platform::readObject(Collection::Routing,
                             R"({"metadata":{"name":"main","revision":5},"specification":{"version":"r3","tenants":[{"name":"a","api_keys":)" + keys + "}]}}",
                             false);
    CHECK_FALSE(entry.value);
    CHECK_THAT(entry.fault, Catch::Contains("malformed"));
    CHECK(entry.fault.find("secret") == std::string::npos);
    CHECK(entry.text.find("secret") == std::string::npos);
}

TEST_CASE("The page after an object with spaces and other special characters in its name can be read", "[platform][servers]")
{
    std::promise<std::string> target;
    CallerServerOptions options;
    options.address = "127.0.0.1:0";
    const CallerServer store(options, [&target](const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request) {
        target.set_value(request.target);
        connection->answer({200, "", {{"Content-Type", "application/json"}}, R"({"items":[],"has_more":false,"store_revision":9})"}, false);
    });
    HttpClient client(1);
    Platform::StoreClient reader(client, "127.0.0.1:" + std::to_string(store.port()));
    std::promise<DirectoryEvent> page;
    reader.list(ListDirectory{Collection::Servers, "i-1 &a=\r\n\xC3\xBC#", {}, 1}, [&page](const DirectoryAnswer &answer) { page.set_value(answer.event); });
    REQUIRE(std::holds_alternative<DirectoryListed>(page.get_future().get()));
    CHECK(target.get_future().get() == "/objects/servers?after=i-1%20%26a%3D%0D%0A%C3%BC%23");
    client.stop();
}
