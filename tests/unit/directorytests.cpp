/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/directorykeeper.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Cloverbarrow;

namespace
{

RoutingPlan plan(std::int64_t version)
{
    RoutingPlan made;
    made.version = version;
    made.versionText = "r" + std::to_string(version);
    Service service;
    service.name = "reclamos";
    made.services.push_back(service);
    return made;
}

DirectoryEntry planEntry(std::int64_t version, std::int64_t revision)
{
    return {"main", revision, plan(version), false, {}};
}

DirectoryEntry server(const std::string &name, std::int64_t revision, bool isDraining = false)
{
    Registration registration;
    registration.service = "reclamos";
    registration.server.name = name;
    registration.server.address = "10.0.0.1:80";
    registration.isDraining = isDraining;
    return {name, revision, registration, false, {}};
}

/// A start of the server with @p id.
DirectoryEntry startOf(const std::string &id, const std::string &start, std::int64_t revision, bool isDraining = false)
{
    DirectoryEntry entry = server(start, revision, isDraining);
    entry.name = id;
    return entry;
}

DirectoryEntry unreadable(const std::string &name, std::int64_t revision)
{
    return {name, revision, std::nullopt, false, {}, "it is of another form"};
}

DirectoryEntry gone(const std::string &name, std::int64_t revision)
{
    return {name, revision, std::nullopt, true, {}};
}

DirectoryEntry evacuation(const std::string &zone, std::int64_t revision)
{
    return {zone, revision, ZoneEvacuation{zone}, false, {}};
}

/// A keeper with a store that answers as told.
class Following
{
public:
    void pass(Duration duration)
    {
        constexpr Duration Step = milliseconds(10);
        for (const TimePoint until = now_ + duration; now_ < until;) {
            now_ += Step;
            DirectoryActions actions;
            keeper_.tick(now_, actions);
            take(actions);
        }
    }

    void answer(int call, DirectoryEvent event)
    {
        DirectoryActions actions;
        keeper_.handle(now_, {call, std::move(event)}, actions);
        take(actions);
    }

    /// Answers the lists of all collections; nobody has told of ended servers, and no zone is evacuated.
    void start(std::vector<DirectoryEntry> servers)
    {
        pass(milliseconds(10));
        answer(listCall(Collection::Routing), DirectoryListed{Collection::Routing, {planEntry(1, 1)}, false, "main", 10, 10});
        answer(listCall(Collection::Crashes), DirectoryListed{Collection::Crashes, {}, false, {}, 10, 10});
        answer(listCall(Collection::Evacuations), DirectoryListed{Collection::Evacuations, {}, false, {}, 10, 10});
        answer(listCall(Collection::Servers), DirectoryListed{Collection::Servers, std::move(servers), false, "z", 10, 10});
        pass(milliseconds(10));
    }

    int listCall(Collection collection) const
    {
        const auto found = std::find_if(lists.rbegin(), lists.rend(), [collection](const ListDirectory &list) { return list.collection == collection; });
        REQUIRE(found != lists.rend());
        return found->call;
    }

    const WatchDirectory &watch(Collection collection) const
    {
        const auto found = std::find_if(watches.rbegin(), watches.rend(), [collection](const WatchDirectory &item) { return item.collection == collection; });
        REQUIRE(found != watches.rend());
        return *found;
    }

    std::vector<std::string> servers() const
    {
        std::vector<std::string> names;
        if (published) {
            for (const BackendServer &item : published->configuration.services.front().backendServers) {
                names.push_back(item.name);
            }
        }
        return names;
    }

    std::vector<std::string> evacuated() const
    {
        return published ? published->configuration.services.front().evacuatedZones : std::vector<std::string>();
    }

    /// @return how often @p what was reported.
    std::ptrdiff_t reports(const std::string &what) const
    {
        return std::count(reported_.begin(), reported_.end(), what);
    }

    std::vector<ListDirectory> lists;
    std::vector<WatchDirectory> watches;
    int checks = 0;
    std::shared_ptr<const IntentInForce> published;

private:
    void take(const DirectoryActions &actions)
    {
        for (const DirectoryAction &action : actions) {
            if (const auto *list = std::get_if<ListDirectory>(&action)) {
                lists.push_back(*list);
            } else if (const auto *watch = std::get_if<WatchDirectory>(&action)) {
                watches.push_back(*watch);
            } else if (std::holds_alternative<CheckDirectory>(action)) {
                ++checks;
            } else if (const auto *publish = std::get_if<PublishDirectory>(&action)) {
                CHECK((!published || publish->intent->version > published->version));
                published = publish->intent;
            } else if (const auto *report = std::get_if<ReportDirectory>(&action)) {
                reported_.push_back(report->what);
            }
        }
    }

    std::vector<std::string> reported_;
    TimePoint now_ = TimePoint(seconds(50));
    DirectoryKeeper keeper_{FleetBudgets{}, RelaySeat({}, false, 7), 7};
};

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("Nothing is published before routes, servers, evacuations and crash reports have been read whole", "[directory]")
{
    Following store;
    store.pass(milliseconds(10));
    store.answer(store.listCall(Collection::Evacuations), DirectoryListed{Collection::Evacuations, {}, false, {}, 10, 10});
    store.answer(store.listCall(Collection::Routing), DirectoryListed{Collection::Routing, {planEntry(1, 1)}, false, "main", 10, 10});
    CHECK_FALSE(store.published);
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-1", 2)}, true, "i-1", 10, 10});
    CHECK_FALSE(store.published);
    store.pass(milliseconds(10));
    CHECK(store.lists.back().after == "i-1");
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-2", 3)}, false, "i-2", 12, 12});
    CHECK_FALSE(store.published);
    SECTION("as soon as they have")
    {
        store.answer(store.listCall(Collection::Crashes), DirectoryListed{Collection::Crashes, {}, false, {}, 12, 12});
    }
    SECTION("reports that do not come are not waited for long")
    {
        store.answer(store.listCall(Collection::Crashes), DirectoryCallFailed{Collection::Crashes, "status 404"});
        store.pass(milliseconds(350));
    }
    REQUIRE(store.published);
    CHECK(store.servers() == Names{"i-1", "i-2"});
}

TEST_CASE("Nothing is published before it is known which zones are evacuated, however long that takes", "[directory][evacuation]")
{
    Following store;
    store.pass(milliseconds(10));
    store.answer(store.listCall(Collection::Routing), DirectoryListed{Collection::Routing, {planEntry(1, 1)}, false, "main", 10, 10});
    store.answer(store.listCall(Collection::Crashes), DirectoryListed{Collection::Crashes, {}, false, {}, 10, 10});
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-1", 2)}, false, "i-1", 10, 10});
    store.pass(seconds(5));
    CHECK_FALSE(store.published);
    store.answer(store.listCall(Collection::Evacuations), DirectoryListed{Collection::Evacuations, {evacuation("bog-a", 5)}, false, "bog-a", 10, 10});
    REQUIRE(store.published);
    CHECK(store.evacuated() == Names{"bog-a"});
}

TEST_CASE("A zone is evacuated until it is taken back, and no older word changes that", "[directory][evacuation]")
{
    Following store;
    store.start({server("i-1", 2)});
    CHECK(store.evacuated().empty());
    store.answer(store.watch(Collection::Evacuations).call, DirectoryChanged{Collection::Evacuations, {evacuation("bog-a", 12)}, 12, 12});
    CHECK(store.evacuated() == Names{"bog-a"});
    CHECK(store.reports("zone evacuated") == 1);
    store.pass(seconds(1));
    SECTION("a list from before does not take it back")
    {
        store.answer(store.watch(Collection::Evacuations).call, DirectoryHistoryGone{Collection::Evacuations});
        store.pass(milliseconds(10));
        store.answer(store.listCall(Collection::Evacuations), DirectoryListed{Collection::Evacuations, {}, false, {}, 11, 11});
        CHECK(store.evacuated() == Names{"bog-a"});
    }
    SECTION("nor does a new configuration")
    {
        store.answer(store.watch(Collection::Routing).call, DirectoryChanged{Collection::Routing, {planEntry(2, 13)}, 13, 13});
        CHECK(store.published->value == "r2");
        CHECK(store.evacuated() == Names{"bog-a"});
    }
    SECTION("once it is taken back, the word of its evacuation is old")
    {
        store.answer(store.watch(Collection::Evacuations).call, DirectoryChanged{Collection::Evacuations, {gone("bog-a", 14)}, 14, 14});
        CHECK(store.evacuated().empty());
        CHECK(store.reports("zone taken back") == 1);
        store.pass(seconds(1));
        store.answer(store.watch(Collection::Evacuations).call, DirectoryChanged{Collection::Evacuations, {evacuation("bog-a", 12)}, 14, 14});
        CHECK(store.evacuated().empty());
    }
    SECTION("an object that names no zone is told of, and the others hold")
    {
        store.answer(store.watch(Collection::Evacuations).call,
                     DirectoryChanged{Collection::Evacuations, {unreadable("?", 15), evacuation("bog-b", 16)}, 16, 16});
        CHECK(store.evacuated() == Names{"bog-a", "bog-b"});
        CHECK(store.reports("object cannot be used") == 1);
    }
}

TEST_CASE("A list of several pages is watched from the revision of its first page", "[directory]")
{
    Following store;
    store.pass(milliseconds(10));
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-1", 2)}, true, "i-1", 10, 10});
    store.pass(milliseconds(10));
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-2", 3)}, false, "i-2", 15, 15});
    store.pass(milliseconds(10));
    CHECK(store.watch(Collection::Servers).since == 10);
}

TEST_CASE("Changes are taken in, and one watch follows the other after a rest", "[directory]")
{
    Following store;
    store.start({server("i-1", 2)});
    const WatchDirectory watch = store.watch(Collection::Servers);
    store.answer(watch.call, DirectoryChanged{Collection::Servers, {server("i-1", 11, true), server("i-2", 12)}, 12, 12});
    CHECK(store.servers() == Names{"i-1", "i-2"});
    CHECK(store.published->intent.drains == Names{"reclamos/i-1"});
    const std::size_t before = store.watches.size();
    store.pass(milliseconds(300));
    CHECK(store.watches.size() == before);
    store.pass(milliseconds(300));
    CHECK(store.watch(Collection::Servers).since == 12);
    store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {gone("i-1", 13)}, 13, 13});
    CHECK(store.servers() == Names{"i-2"});
}

TEST_CASE("A server that was deleted does not come back with an older revision", "[directory][relay]")
{
    Following store;
    store.start({server("i-1", 2), server("i-2", 3)});
    store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {gone("i-1", 11)}, 11, 11});
    store.pass(milliseconds(600));
    store.answer(store.watch(Collection::Servers).call, DirectoryHistoryGone{Collection::Servers});
    store.pass(milliseconds(10));
    SECTION("from a list that is older than the deletion")
    {
        store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-1", 2), server("i-2", 3)}, false, "i-2", 9, 9});
        CHECK(store.servers() == Names{"i-2"});
    }
    SECTION("but with a newer one")
    {
        store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-1", 12), server("i-2", 3)}, false, "i-2", 13, 13});
        CHECK(store.servers() == Names{"i-1", "i-2"});
    }
}

TEST_CASE("A list that is older than an entry does not drop it", "[directory][relay]")
{
    Following store;
    store.start({server("i-1", 2)});
    store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {server("i-2", 14)}, 14, 14});
    store.pass(milliseconds(600));
    store.answer(store.watch(Collection::Servers).call, DirectoryHistoryGone{Collection::Servers});
    store.pass(milliseconds(10));
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-1", 2)}, false, "i-1", 12, 12});
    CHECK(store.servers() == Names{"i-1", "i-2"});
}

TEST_CASE("What a list of several pages does not name is gone as of its first page", "[directory][relay]")
{
    Following store;
    store.start({server("i-1", 2), server("i-2", 3)});
    store.answer(store.watch(Collection::Servers).call, DirectoryHistoryGone{Collection::Servers});
    store.pass(milliseconds(10));
    // The first server lapsed; it registers again, at 21, between the two pages.
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {}, true, "i-1", 20, 20});
    store.pass(milliseconds(10));
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-2", 3)}, false, "i-2", 22, 22});
    CHECK(store.servers() == Names{"i-2"});
    store.pass(milliseconds(10));
    store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {server("i-1", 21)}, 22, 22});
    CHECK(store.servers() == Names{"i-1", "i-2"});
}

TEST_CASE("A relay shows no proof before it has read the directory again", "[directory][relay]")
{
    const std::string own = "10.0.0.1:7200";
    const TimePoint start(seconds(50));
    DirectoryKeeper keeper(FleetBudgets{}, RelaySeat(own, false, 7), 7);
    DirectoryActions actions;
    keeper.tick(start, actions);
    keeper.tick(start + milliseconds(100), actions);
    keeper.handle(start + milliseconds(110), {0, SeatAnswered{true, own, 5, {}}}, actions);
    actions.clear();
    keeper.tick(start + milliseconds(120), actions);
    CHECK_FALSE(keeper.proofFor(start + milliseconds(120), "10.0.0.2:7200"));
    for (const DirectoryAction &action : actions) {
        if (const auto *list = std::get_if<ListDirectory>(&action)) {
            DirectoryActions more;
            keeper.handle(start + milliseconds(130), {list->call, DirectoryListed{list->collection, {}, false, {}, 10, 10}}, more);
        }
    }
    REQUIRE(keeper.proofFor(start + milliseconds(140), "10.0.0.2:7200"));
    CHECK(keeper.proofFor(start + milliseconds(140), "10.0.0.2:7200")->age == milliseconds(10));
}

TEST_CASE("A relay that got an older list shows no proof before it has what came after", "[directory][relay]")
{
    const TimePoint start(seconds(50));
    const std::string own = "10.0.0.1:7200";
    const std::string other = "10.0.1.1:7200";
    // It holds the seat of its zone, is turned away by the store, and follows the relay of another zone.
    DirectoryKeeper keeper(FleetBudgets{}, RelaySeat(own, false, 7), 7);
    TimePoint now = start;
    const auto tick = [&] {
        DirectoryActions actions;
        now += milliseconds(100);
        keeper.tick(now, actions);
        return actions;
    };
    const auto answerLists = [&](const DirectoryActions &actions, std::int64_t latest) {
        for (const DirectoryAction &action : actions) {
            DirectoryActions more;
            if (const auto *list = std::get_if<ListDirectory>(&action)) {
                const std::int64_t upTo = list->collection == Collection::Servers ? latest : 0;
                keeper.handle(now, {list->call, DirectoryListed{list->collection, {}, false, {}, 10, 10, upTo}}, more);
            }
        }
    };
    const auto proofs = [&] {
        DirectoryActions ignored;
        keeper.handle(now, {0, RelayChecked{other, RelayProof{Duration(0), true, 1, {}}}}, ignored);
        return keeper.proofFor(now, "10.0.0.2:7200");
    };
    tick();
    tick();
    DirectoryActions seatActions;
    keeper.handle(now, {0, SeatAnswered{true, own, 5, {other}}}, seatActions);
    answerLists(tick(), 12);
    CHECK_FALSE(proofs());
    // The first watch brings what the list lacked.
    for (const DirectoryAction &action : tick()) {
        if (const auto *watch = std::get_if<WatchDirectory>(&action); watch && watch->collection == Collection::Servers) {
            CHECK(watch->since == 10);
            DirectoryActions more;
            keeper.handle(now, {watch->call, DirectoryChanged{Collection::Servers, {}, 12, 12}}, more);
        }
    }
    CHECK(proofs());
}

TEST_CASE("VMs with slow links leave the first look at the seat to faster ones", "[directory][relay]")
{
    CHECK(RelaySeat::standBackFor(0) == Duration(0));
    CHECK(RelaySeat::standBackFor(1000) == Duration(0));
    REQUIRE(RelaySeat::standBackFor(10) > Duration(0));
    const auto looksWithin = [](Duration bound, std::uint64_t seed, double linkMbps) {
        RelaySeat seat("10.0.0.1:7200", true, seed, RelaySeat::standBackFor(linkMbps));
        DirectoryActions actions;
        seat.tick(TimePoint(seconds(50)), actions);
        seat.tick(TimePoint(seconds(50)) + bound, actions);
        return std::any_of(actions.begin(), actions.end(), [](const DirectoryAction &action) { return std::holds_alternative<ReadSeat>(action); });
    };
    int fast = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fast += looksWithin(milliseconds(900), seed, 200) ? 1 : 0;
        CHECK_FALSE(looksWithin(milliseconds(900), seed, 10));
    }
    CHECK(fast > 0);
}

TEST_CASE("Operators' versions only rise", "[directory]")
{
    Following store;
    store.start({server("i-1", 2)});
    store.answer(store.watch(Collection::Routing).call, DirectoryChanged{Collection::Routing, {planEntry(7, 11)}, 11, 11});
    CHECK(store.published->value == "r7");
    store.pass(milliseconds(600));
    store.answer(store.watch(Collection::Routing).call, DirectoryChanged{Collection::Routing, {planEntry(5, 12)}, 12, 12});
    CHECK(store.published->value == "r7");
}

TEST_CASE("A configuration that cannot be read leaves the one in force", "[directory]")
{
    Following store;
    store.start({server("i-1", 2)});
    store.answer(store.watch(Collection::Routing).call, DirectoryChanged{Collection::Routing, {unreadable("main", 12)}, 12, 12});
    CHECK(store.published->value == "r1");
    CHECK(store.reports("object cannot be used") == 1);
}

TEST_CASE("An entry that cannot be read names no server, and the others hold", "[directory][servers]")
{
    Following store;
    SECTION("when it was never anything else")
    {
        store.start({server("i-1", 2), unreadable("i-2", 3)});
        CHECK(store.servers() == Names{"i-1"});
    }
    SECTION("when another writer put it in a server's place")
    {
        store.start({server("i-1", 2), server("i-2", 3)});
        store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {unreadable("i-2", 11)}, 11, 11});
        CHECK(store.servers() == Names{"i-1"});
        SECTION("until the server says of itself again")
        {
            store.pass(milliseconds(600));
            store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {server("i-2", 12)}, 12, 12});
            CHECK(store.servers() == Names{"i-1", "i-2"});
        }
        SECTION("also where somebody tells of what stood there before")
        {
            store.pass(milliseconds(600));
            store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {server("i-2", 3), server("i-3", 12)}, 12, 12});
            CHECK(store.servers() == Names{"i-1", "i-3"});
        }
    }
    SECTION("and an older one says nothing of the server")
    {
        store.start({server("i-1", 2), server("i-2", 9)});
        store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {unreadable("i-2", 8)}, 11, 11});
        CHECK(store.servers() == Names{"i-1", "i-2"});
    }
}

TEST_CASE("An entry that cannot be read is logged once for each revision", "[directory][servers]")
{
    Following store;
    store.start({server("i-1", 2), unreadable("i-2", 3)});
    CHECK(store.reports("object cannot be used") == 1);
    store.answer(store.watch(Collection::Servers).call, DirectoryHistoryGone{Collection::Servers});
    store.pass(milliseconds(10));
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-1", 2), unreadable("i-2", 3)}, false, "i-2", 40, 40});
    CHECK(store.reports("object cannot be used") == 1);
    store.pass(milliseconds(600));
    store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {unreadable("i-2", 41)}, 41, 41});
    CHECK(store.reports("object cannot be used") == 2);
}

TEST_CASE("Followers are told that a server's entry can no longer be used", "[directory][servers][relay]")
{
    ServerRegistry registry;
    registry.changed(TimePoint(), {server("i-1", 2), server("i-2", 3)});
    const std::int64_t told = registry.sequence();
    registry.changed(TimePoint(), {unreadable("i-2", 4)});
    const auto news = registry.changedSince(told);
    REQUIRE(news);
    REQUIRE(news->size() == 1);
    CHECK(news->front().name == "i-2");
    CHECK(news->front().isDeleted);
    CHECK(news->front().revision == 4);
}

TEST_CASE("A later start of a server takes the place of the former one, whatever is told in which order", "[directory][servers][restart]")
{
    Following store;
    store.start({startOf("i-1", "i-1@100", 5, true)});
    CHECK(store.published->intent.drains == Names{"reclamos/i-1@100"});
    store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {startOf("i-1", "i-1@200", 11)}, 11, 11});
    CHECK(store.servers() == Names{"i-1@200"});
    CHECK(store.published->intent.drains.empty());
    store.pass(milliseconds(600));
    // A list from before, and a wall clock that was set back between two starts.
    store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {startOf("i-1", "i-1@100", 5, true), server("i-9", 12)}, 12, 12});
    CHECK(store.servers() == Names{"i-1@200", "i-9"});
    store.pass(milliseconds(600));
    store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {startOf("i-1", "i-1@150", 13)}, 13, 13});
    CHECK(store.servers() == Names{"i-1@150", "i-9"});
}

TEST_CASE("A store that is away for long is asked less and less often, and its return is noticed soon", "[directory][outage]")
{
    Following store;
    store.start({server("i-1", 2)});
    store.answer(store.watch(Collection::Servers).call, DirectoryCallFailed{Collection::Servers, "reset"});
    const int before = store.checks;
    const auto passLost = [&store](Duration duration) {
        for (Duration passed{0}; passed < duration; passed += milliseconds(10)) {
            const int asked = store.checks;
            store.pass(milliseconds(10));
            if (store.checks > asked) {
                store.answer(0, DirectoryChecked{false});
            }
        }
    };
    passLost(seconds(8));
    // 21 when each pause was the same.
    CHECK(store.checks - before <= 11);
    const int lost = store.checks;
    store.pass(milliseconds(1510));
    CHECK(store.checks == lost + 1);
    const std::size_t lists = store.lists.size();
    store.answer(0, DirectoryChecked{true});
    store.pass(milliseconds(10));
    CHECK(store.lists.size() == lists + Collections);
    // Once it is back each check is made as before.
    const int found = store.checks;
    store.pass(seconds(2));
    CHECK(store.checks > found);
}

TEST_CASE("When history is gone the collection is listed again and what is missing is dropped", "[directory]")
{
    Following store;
    store.start({server("i-1", 2), server("i-2", 3)});
    store.answer(store.watch(Collection::Servers).call, DirectoryHistoryGone{Collection::Servers});
    store.pass(milliseconds(10));
    CHECK(store.servers() == Names{"i-1", "i-2"});
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-2", 3)}, false, "i-2", 40, 40});
    CHECK(store.servers() == Names{"i-2"});
}

TEST_CASE("Failing calls are repeated with growing pauses", "[directory]")
{
    Following store;
    store.pass(milliseconds(10));
    int calls = 0;
    for (int step = 0; step < 1000; ++step) {
        const auto before = store.lists.size();
        store.pass(milliseconds(10));
        if (store.lists.size() > before || step == 0) {
            ++calls;
            store.answer(store.listCall(Collection::Servers), DirectoryCallFailed{Collection::Servers, "503"});
            store.answer(store.listCall(Collection::Routing), DirectoryCallFailed{Collection::Routing, "503"});
        }
    }
    // Ten seconds: at most some two calls a second once the pause has grown, for each collection.
    CHECK(store.lists.size() < 2 * 30);
    CHECK(store.lists.size() > 10);
}

TEST_CASE("Entries that lapsed while the store was away have two seconds to come back", "[directory]")
{
    Following store;
    store.start({server("i-1", 2), server("i-2", 3)});
    store.answer(store.watch(Collection::Servers).call, DirectoryCallFailed{Collection::Servers, "reset"});
    store.pass(milliseconds(200));
    store.answer(0, DirectoryChecked{true});
    store.pass(milliseconds(20));
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {}, false, {}, 21, 21});
    CHECK(store.servers() == Names{"i-1", "i-2"});
    store.pass(milliseconds(600));
    store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {server("i-1", 22)}, 22, 22});
    store.pass(milliseconds(2000));
    CHECK(store.servers() == Names{"i-1"});
}

TEST_CASE("After an outage all collections are listed, since a watch may hang", "[directory]")
{
    Following store;
    store.start({server("i-1", 2)});
    store.pass(milliseconds(2000));
    REQUIRE(store.checks > 0);
    const std::size_t before = store.lists.size();
    store.answer(0, DirectoryChecked{false});
    store.pass(milliseconds(1600));
    store.answer(0, DirectoryChecked{true});
    store.pass(milliseconds(20));
    CHECK(store.lists.size() == before + Collections);
}

TEST_CASE("When any call to the store gets no answer, watches begin anew, since open connections may have fallen silent", "[directory][silence]")
{
    // Seen in a soak: a relay's open connections to the store fell silent, a seat's read met one of them and closed it, and the checks of the store went over
    // new connections and were answered. The relay's watch of one collection hung, and its followers heard nothing of it.
    Following store;
    store.start({server("i-1", 2)});
    const std::size_t before = store.lists.size();
    SECTION("a look at the seat")
    {
        store.answer(0, SeatAnswered{false, {}, 0, {}, true});
    }
    SECTION("a crash report")
    {
        store.answer(0, CrashReportWritten{0, {}, true});
    }
    store.pass(milliseconds(20));
    CHECK(store.lists.size() == before + Collections);
    // A store that refuses is not silent.
    store.answer(0, SeatAnswered{});
    store.pass(milliseconds(20));
    CHECK(store.lists.size() == before + Collections);
}

TEST_CASE("After a watch was cut the collection is listed, since its history may be dropped unsaid", "[directory]")
{
    Following store;
    store.start({server("i-1", 2)});
    const std::size_t before = store.watches.size();
    store.answer(store.watch(Collection::Routing).call, DirectoryCallFailed{Collection::Routing, "cut"});
    store.answer(0, DirectoryChecked{true});
    store.pass(milliseconds(200));
    CHECK(store.watches.size() == before);
    store.answer(store.listCall(Collection::Routing), DirectoryListed{Collection::Routing, {planEntry(8, 30)}, false, "main", 31, 31});
    CHECK(store.published->value == "r8");
}

TEST_CASE("A late answer to a call that was given up changes nothing", "[directory]")
{
    Following store;
    store.start({server("i-1", 2)});
    const int old = store.watch(Collection::Servers).call;
    store.answer(0, DirectoryChecked{false});
    store.answer(0, DirectoryChecked{true});
    store.pass(milliseconds(20));
    store.answer(old, DirectoryChanged{Collection::Servers, {gone("i-1", 30)}, 30, 30});
    CHECK(store.servers() == Names{"i-1"});
}

TEST_CASE("A server that only gets warmer is no news", "[directory]")
{
    Following store;
    DirectoryEntry cold = server("i-1", 2);
    std::get<Registration>(*cold.value).server.warmUp = seconds(3);
    store.start({cold});
    const auto before = store.published;
    DirectoryEntry warmer = server("i-1", 11);
    std::get<Registration>(*warmer.value).server.warmUp = seconds(1);
    store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {warmer}, 11, 11});
    CHECK(store.published == before);
}

TEST_CASE("A server may turn cold again under its entry, and what is left of it passes", "[directory][cold]")
{
    Following store;
    store.start({server("i-1", 2)});
    const auto warmUp = [&store] { return store.published->configuration.services.front().backendServers.front().warmUp; };
    CHECK(warmUp() == Duration(0));
    DirectoryEntry cold = server("i-1", 11);
    std::get<Registration>(*cold.value).server.warmUp = seconds(3);
    store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {cold}, 11, 11});
    CHECK(warmUp() == seconds(3));
    store.pass(seconds(1));
    SECTION("another change tells what is left")
    {
        store.answer(store.watch(Collection::Routing).call, DirectoryChanged{Collection::Routing, {planEntry(2, 12)}, 12, 12});
        CHECK(warmUp() == seconds(2));
    }
    SECTION("the same entry in a list does not begin it anew")
    {
        const auto before = store.published;
        store.answer(store.watch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {cold}, 11, 11});
        CHECK(store.published == before);
    }
}

TEST_CASE("A list that names a deleted server does not keep it", "[directory][relay]")
{
    Following store;
    store.start({server("i-1", 2), server("i-2", 3)});
    store.answer(store.watch(Collection::Servers).call, DirectoryHistoryGone{Collection::Servers});
    store.pass(milliseconds(10));
    store.answer(store.listCall(Collection::Servers), DirectoryListed{Collection::Servers, {server("i-2", 3), gone("i-1", 20)}, false, "i-2", 40, 40});
    CHECK(store.servers() == Names{"i-2"});
}
