/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/directorymanager.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Cloverbarrow;

namespace
{

RoutingPlan routingPlan(std::int64_t version)
{
    RoutingPlan plan;
    plan.version = version;
    plan.versionText = "r" + std::to_string(version);
    Service service;
    service.name = "reclamos";
    plan.services.push_back(service);
    return plan;
}

DirectoryEntry planEntry(std::int64_t version, std::int64_t revision)
{
    return {"main", revision, routingPlan(version), false, {}};
}

DirectoryEntry serverEntry(const std::string &name, std::int64_t revision, bool isDraining = false)
{
    Registration registration;
    registration.service = "reclamos";
    registration.server.name = name;
    registration.server.address = "10.0.0.1:80";
    registration.isDraining = isDraining;
    return {name, revision, registration, false, {}};
}

/// Registration of the process @p start of the server @p id.
DirectoryEntry restartedEntry(const std::string &id, const std::string &start, std::int64_t revision, bool isDraining = false)
{
    DirectoryEntry entry = serverEntry(start, revision, isDraining);
    entry.name = id;
    return entry;
}

DirectoryEntry unparsableEntry(const std::string &name, std::int64_t revision)
{
    return {name, revision, std::nullopt, false, {}, "it is of another form"};
}

DirectoryEntry deletedEntry(const std::string &name, std::int64_t revision)
{
    return {name, revision, std::nullopt, true, {}};
}

DirectoryEntry evacuationEntry(const std::string &zone, std::int64_t revision)
{
    return {zone, revision, ZoneEvacuation{zone}, false, {}};
}

/// Runs a DirectoryManager against a store whose answers each test provides.
class DirectoryFixture
{
public:
    void advance(Duration duration)
    {
        constexpr Duration Step = milliseconds(10);
        for (const TimePoint until = now_ + duration; now_ < until;) {
            now_ += Step;
            DirectoryActions actions;
            manager_.tick(now_, actions);
            process(actions);
        }
    }

    void answer(int call, DirectoryEvent event)
    {
        DirectoryActions actions;
        manager_.handle(now_, {call, std::move(event)}, actions);
        process(actions);
    }

    /// Answers the initial lists of all collections, without crash reports and evacuated zones.
    void answerInitialLists(std::vector<DirectoryEntry> servers)
    {
        advance(milliseconds(10));
        answer(lastListCall(Collection::Routing), DirectoryListed{Collection::Routing, {planEntry(1, 1)}, false, "main", 10, 10});
        answer(lastListCall(Collection::Crashes), DirectoryListed{Collection::Crashes, {}, false, {}, 10, 10});
        answer(lastListCall(Collection::Evacuations), DirectoryListed{Collection::Evacuations, {}, false, {}, 10, 10});
        answer(lastListCall(Collection::Rollouts), DirectoryListed{Collection::Rollouts, {}, false, {}, 10, 10});
        answer(lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, std::move(servers), false, "z", 10, 10});
        advance(milliseconds(10));
    }

    void requestConfirmation()
    {
        DirectoryActions actions;
        manager_.requestConfirmation(now_, actions);
        process(actions);
    }

    bool isConfirmed() const
    {
        return manager_.isConfirmed();
    }

    int lastListCall(Collection collection) const
    {
        const auto found = std::find_if(lists.rbegin(), lists.rend(), [collection](const ListDirectory &list) { return list.collection == collection; });
        REQUIRE(found != lists.rend());
        return found->call;
    }

    const WatchDirectory &lastWatch(Collection collection) const
    {
        const auto found = std::find_if(watches.rbegin(), watches.rend(), [collection](const WatchDirectory &item) { return item.collection == collection; });
        REQUIRE(found != watches.rend());
        return *found;
    }

    std::vector<std::string> publishedServers() const
    {
        std::vector<std::string> names;
        if (published) {
            for (const BackendServer &item : published->configuration.services.front().backendServers) {
                names.push_back(item.name);
            }
        }
        return names;
    }

    std::vector<std::string> publishedEvacuations() const
    {
        return published ? published->configuration.services.front().evacuatedZones : std::vector<std::string>();
    }

    /// @return how often @p message was logged.
    std::ptrdiff_t logCount(const std::string &message) const
    {
        return std::count(loggedMessages_.begin(), loggedMessages_.end(), message);
    }

    std::vector<ListDirectory> lists;
    std::vector<WatchDirectory> watches;
    int checks = 0;
    std::shared_ptr<const ActiveIntent> published;

private:
    void process(const DirectoryActions &actions)
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
            } else if (const auto *report = std::get_if<LogDirectoryEvent>(&action)) {
                loggedMessages_.push_back(report->message);
            }
        }
    }

    std::vector<std::string> loggedMessages_;
    TimePoint now_ = TimePoint(seconds(50));
    DirectoryManager manager_{FleetBudgets{}, RelayElection({}, false, 7), 7};
};

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("Nothing is published before routes, servers, evacuations, rollouts and crash reports have been read whole", "[directory]")
{
    DirectoryFixture directory;
    directory.advance(milliseconds(10));
    directory.answer(directory.lastListCall(Collection::Evacuations), DirectoryListed{Collection::Evacuations, {}, false, {}, 10, 10});
    directory.answer(directory.lastListCall(Collection::Routing), DirectoryListed{Collection::Routing, {planEntry(1, 1)}, false, "main", 10, 10});
    CHECK_FALSE(directory.published);
    directory.answer(directory.lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, {serverEntry("i-1", 2)}, true, "i-1", 10, 10});
    CHECK_FALSE(directory.published);
    directory.advance(milliseconds(10));
    CHECK(directory.lists.back().after == "i-1");
    directory.answer(directory.lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, {serverEntry("i-2", 3)}, false, "i-2", 12, 12});
    CHECK_FALSE(directory.published);
    directory.answer(directory.lastListCall(Collection::Rollouts), DirectoryListed{Collection::Rollouts, {}, false, {}, 12, 12});
    CHECK_FALSE(directory.published);
    SECTION("published as soon as all have been read")
    {
        directory.answer(directory.lastListCall(Collection::Crashes), DirectoryListed{Collection::Crashes, {}, false, {}, 12, 12});
    }
    SECTION("published after a timeout if crash reports do not arrive")
    {
        directory.answer(directory.lastListCall(Collection::Crashes), DirectoryCallFailed{Collection::Crashes, "status 404"});
        directory.advance(milliseconds(350));
    }
    REQUIRE(directory.published);
    CHECK(directory.publishedServers() == Names{"i-1", "i-2"});
}

TEST_CASE("Nothing is published before the evacuated zones are known, however long that takes", "[directory][evacuation]")
{
    DirectoryFixture directory;
    directory.advance(milliseconds(10));
    directory.answer(directory.lastListCall(Collection::Routing), DirectoryListed{Collection::Routing, {planEntry(1, 1)}, false, "main", 10, 10});
    directory.answer(directory.lastListCall(Collection::Crashes), DirectoryListed{Collection::Crashes, {}, false, {}, 10, 10});
    directory.answer(directory.lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, {serverEntry("i-1", 2)}, false, "i-1", 10, 10});
    directory.answer(directory.lastListCall(Collection::Rollouts), DirectoryListed{Collection::Rollouts, {}, false, {}, 10, 10});
    directory.advance(seconds(5));
    CHECK_FALSE(directory.published);
    directory.answer(directory.lastListCall(Collection::Evacuations),
                     DirectoryListed{Collection::Evacuations, {evacuationEntry("bog-a", 5)}, false, "bog-a", 10, 10});
    REQUIRE(directory.published);
    CHECK(directory.publishedEvacuations() == Names{"bog-a"});
}

TEST_CASE("A zone stays evacuated until the evacuation ends, and older revisions do not change that", "[directory][evacuation]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2)});
    CHECK(directory.publishedEvacuations().empty());
    directory.answer(directory.lastWatch(Collection::Evacuations).call, DirectoryChanged{Collection::Evacuations, {evacuationEntry("bog-a", 12)}, 12, 12});
    CHECK(directory.publishedEvacuations() == Names{"bog-a"});
    CHECK(directory.logCount("zone evacuated") == 1);
    directory.advance(seconds(1));
    SECTION("an older list does not end the evacuation")
    {
        directory.answer(directory.lastWatch(Collection::Evacuations).call, DirectoryHistoryExpired{Collection::Evacuations});
        directory.advance(milliseconds(10));
        directory.answer(directory.lastListCall(Collection::Evacuations), DirectoryListed{Collection::Evacuations, {}, false, {}, 11, 11});
        CHECK(directory.publishedEvacuations() == Names{"bog-a"});
    }
    SECTION("a new configuration does not end the evacuation")
    {
        directory.answer(directory.lastWatch(Collection::Routing).call, DirectoryChanged{Collection::Routing, {planEntry(2, 13)}, 13, 13});
        CHECK(directory.published->value == "r2");
        CHECK(directory.publishedEvacuations() == Names{"bog-a"});
    }
    SECTION("after the evacuation has ended, its older revision is ignored")
    {
        directory.answer(directory.lastWatch(Collection::Evacuations).call, DirectoryChanged{Collection::Evacuations, {deletedEntry("bog-a", 14)}, 14, 14});
        CHECK(directory.publishedEvacuations().empty());
        CHECK(directory.logCount("zone taken back") == 1);
        directory.advance(seconds(1));
        directory.answer(directory.lastWatch(Collection::Evacuations).call, DirectoryChanged{Collection::Evacuations, {evacuationEntry("bog-a", 12)}, 14, 14});
        CHECK(directory.publishedEvacuations().empty());
    }
    SECTION("an object without a zone is logged, and the others are applied")
    {
        directory.answer(directory.lastWatch(Collection::Evacuations).call,
                         DirectoryChanged{Collection::Evacuations, {unparsableEntry("?", 15), evacuationEntry("bog-b", 16)}, 16, 16});
        CHECK(directory.publishedEvacuations() == Names{"bog-a", "bog-b"});
        CHECK(directory.logCount("object cannot be used") == 1);
    }
}

TEST_CASE("Nothing is published before the rollouts are known, and their decisions are applied", "[directory][rollout]")
{
    DirectoryFixture directory;
    directory.advance(milliseconds(10));
    directory.answer(directory.lastListCall(Collection::Routing), DirectoryListed{Collection::Routing, {planEntry(1, 1)}, false, "main", 10, 10});
    directory.answer(directory.lastListCall(Collection::Crashes), DirectoryListed{Collection::Crashes, {}, false, {}, 10, 10});
    directory.answer(directory.lastListCall(Collection::Evacuations), DirectoryListed{Collection::Evacuations, {}, false, {}, 10, 10});
    directory.answer(directory.lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, {serverEntry("i-1", 2)}, false, "i-1", 10, 10});
    directory.advance(seconds(5));
    CHECK_FALSE(directory.published);
    Rollout rollout{"reclamos", "v2", seconds(12), std::nullopt};
    directory.answer(directory.lastListCall(Collection::Rollouts),
                     DirectoryListed{Collection::Rollouts, {{"reclamos", 5, rollout, false, {}}}, false, "reclamos", 10, 10});
    REQUIRE(directory.published);
    const auto shift = [&directory] { return directory.published->configuration.services.front().versionShift; };
    REQUIRE(shift());
    CHECK(shift()->targetVersion == "v2");
    CHECK(shift()->targetShare > 0);
    CHECK(shift()->targetShare < 0.1);
    directory.advance(milliseconds(10));
    rollout.status = RolloutStatus{RolloutState::RolledBack, "v2", 0};
    directory.answer(directory.lastWatch(Collection::Rollouts).call, DirectoryChanged{Collection::Rollouts, {{"reclamos", 12, rollout, false, {}}}, 12, 12});
    CHECK(shift()->targetShare == 0);
}

TEST_CASE("A list of several pages is watched from the revision of its first page", "[directory]")
{
    DirectoryFixture directory;
    directory.advance(milliseconds(10));
    directory.answer(directory.lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, {serverEntry("i-1", 2)}, true, "i-1", 10, 10});
    directory.advance(milliseconds(10));
    directory.answer(directory.lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, {serverEntry("i-2", 3)}, false, "i-2", 15, 15});
    directory.advance(milliseconds(10));
    CHECK(directory.lastWatch(Collection::Servers).since == 10);
}

// Guards against a start that takes one tick of the process for each page of the servers.
TEST_CASE("The next page of a list is requested as soon as the one before it has arrived", "[directory][start]")
{
    DirectoryFixture directory;
    directory.advance(milliseconds(10));
    const int first = directory.lastListCall(Collection::Servers);
    directory.answer(first, DirectoryListed{Collection::Servers, {serverEntry("i-1", 1)}, true, "i-1", 10, 10});
    CHECK(directory.lastListCall(Collection::Servers) != first);
    CHECK(directory.lists.back().after == "i-1");
}

TEST_CASE("Changes are applied, and the next watch starts after a pause", "[directory]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2)});
    const WatchDirectory watch = directory.lastWatch(Collection::Servers);
    directory.answer(watch.call, DirectoryChanged{Collection::Servers, {serverEntry("i-1", 11, true), serverEntry("i-2", 12)}, 12, 12});
    CHECK(directory.publishedServers() == Names{"i-1", "i-2"});
    CHECK(directory.published->intent.drains == Names{"reclamos/i-1"});
    const std::size_t before = directory.watches.size();
    directory.advance(milliseconds(300));
    CHECK(directory.watches.size() == before);
    directory.advance(milliseconds(300));
    CHECK(directory.lastWatch(Collection::Servers).since == 12);
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {deletedEntry("i-1", 13)}, 13, 13});
    CHECK(directory.publishedServers() == Names{"i-2"});
}

TEST_CASE("A deleted server does not reappear with an older revision", "[directory][relay]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2), serverEntry("i-2", 3)});
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {deletedEntry("i-1", 11)}, 11, 11});
    directory.advance(milliseconds(600));
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryHistoryExpired{Collection::Servers});
    directory.advance(milliseconds(10));
    SECTION("from a list that is older than the deletion")
    {
        directory.answer(directory.lastListCall(Collection::Servers),
                         DirectoryListed{Collection::Servers, {serverEntry("i-1", 2), serverEntry("i-2", 3)}, false, "i-2", 9, 9});
        CHECK(directory.publishedServers() == Names{"i-2"});
    }
    SECTION("it reappears with a newer revision")
    {
        directory.answer(directory.lastListCall(Collection::Servers),
                         DirectoryListed{Collection::Servers, {serverEntry("i-1", 12), serverEntry("i-2", 3)}, false, "i-2", 13, 13});
        CHECK(directory.publishedServers() == Names{"i-1", "i-2"});
    }
}

TEST_CASE("A list that is older than an entry does not remove it", "[directory][relay]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2)});
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {serverEntry("i-2", 14)}, 14, 14});
    directory.advance(milliseconds(600));
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryHistoryExpired{Collection::Servers});
    directory.advance(milliseconds(10));
    directory.answer(directory.lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, {serverEntry("i-1", 2)}, false, "i-1", 12, 12});
    CHECK(directory.publishedServers() == Names{"i-1", "i-2"});
}

TEST_CASE("Servers missing from a list of several pages are deleted as of the revision of its first page", "[directory][relay]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2), serverEntry("i-2", 3)});
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryHistoryExpired{Collection::Servers});
    directory.advance(milliseconds(10));
    // The registration of the first server expired. It registers again, at revision 21, between the two pages.
    directory.answer(directory.lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, {}, true, "i-1", 20, 20});
    directory.advance(milliseconds(10));
    directory.answer(directory.lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, {serverEntry("i-2", 3)}, false, "i-2", 22, 22});
    CHECK(directory.publishedServers() == Names{"i-2"});
    directory.advance(milliseconds(10));
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {serverEntry("i-1", 21)}, 22, 22});
    CHECK(directory.publishedServers() == Names{"i-1", "i-2"});
}

TEST_CASE("A newly elected relay gives no proof before it has read the directory again", "[directory][relay]")
{
    const std::string localAddress = "10.0.0.1:7200";
    const TimePoint start(seconds(50));
    DirectoryManager manager(FleetBudgets{}, RelayElection(localAddress, false, 7), 7);
    DirectoryActions actions;
    manager.tick(start, actions);
    manager.tick(start + milliseconds(100), actions);
    manager.handle(start + milliseconds(110), {0, LeaderRecordAnswered{true, localAddress, 5, {}}}, actions);
    actions.clear();
    manager.tick(start + milliseconds(120), actions);
    CHECK_FALSE(manager.proofFor(start + milliseconds(120), "10.0.0.2:7200"));
    for (const DirectoryAction &action : actions) {
        if (const auto *list = std::get_if<ListDirectory>(&action)) {
            DirectoryActions more;
            manager.handle(start + milliseconds(130), {list->call, DirectoryListed{list->collection, {}, false, {}, 10, 10}}, more);
        }
    }
    REQUIRE(manager.proofFor(start + milliseconds(140), "10.0.0.2:7200"));
    CHECK(manager.proofFor(start + milliseconds(140), "10.0.0.2:7200")->age == milliseconds(10));
}

TEST_CASE("A relay that followed the store without a relay before lists the servers to its followers", "[directory][relay]")
{
    const std::string localAddress = "10.0.0.1:7200";
    DirectoryManager manager(FleetBudgets{}, RelayElection(localAddress, false, 7), 7);
    TimePoint now(seconds(50));
    // The leader record cannot be read at first, and names this entry VM later.
    bool isLeader = false;
    const auto run = [&](Duration duration) {
        for (const TimePoint until = now + duration; now < until;) {
            now += milliseconds(10);
            DirectoryActions actions;
            manager.tick(now, actions);
            for (const DirectoryAction &action : actions) {
                DirectoryActions ignored;
                if (const auto *list = std::get_if<ListDirectory>(&action)) {
                    DirectoryEntry server = serverEntry("i-1", 3);
                    server.text = "registration";
                    const std::vector<DirectoryEntry> entries = list->collection == Collection::Servers ? std::vector{server} : std::vector<DirectoryEntry>();
                    manager.handle(now, {list->call, DirectoryListed{list->collection, entries, false, {}, 10, 10}}, ignored);
                } else if (std::holds_alternative<ReadLeaderRecord>(action)) {
                    manager.handle(now, {0, LeaderRecordAnswered{isLeader, isLeader ? localAddress : std::string(), isLeader ? 5 : 0, {}}}, ignored);
                }
            }
        }
    };
    run(milliseconds(500));
    REQUIRE_FALSE(manager.proofFor(now, "10.0.0.2:7200"));
    isLeader = true;
    run(seconds(4));
    REQUIRE(manager.proofFor(now, "10.0.0.2:7200"));
    const auto update = manager.updateSince(Collection::Servers, 0);
    REQUIRE(update);
    CHECK(update->entries.at(0).text == "registration");
}

TEST_CASE("A relay that received an older list gives no proof before it has the later changes", "[directory][relay]")
{
    const TimePoint start(seconds(50));
    const std::string localAddress = "10.0.0.1:7200";
    const std::string otherRelay = "10.0.1.1:7200";
    // The entry VM is the leader of its zone, is rejected by the store, and follows the relay of another zone.
    DirectoryManager manager(FleetBudgets{}, RelayElection(localAddress, false, 7), 7);
    TimePoint now = start;
    const auto tick = [&] {
        DirectoryActions actions;
        now += milliseconds(100);
        manager.tick(now, actions);
        return actions;
    };
    const auto answerListCalls = [&](const DirectoryActions &actions, std::int64_t latest) {
        for (const DirectoryAction &action : actions) {
            DirectoryActions more;
            if (const auto *list = std::get_if<ListDirectory>(&action)) {
                const std::int64_t upTo = list->collection == Collection::Servers ? latest : 0;
                manager.handle(now, {list->call, DirectoryListed{list->collection, {}, false, {}, 10, 10, upTo}}, more);
            }
        }
    };
    const auto proofs = [&] {
        DirectoryActions ignored;
        manager.handle(now, {0, RelayChecked{otherRelay, RelayProof{Duration(0), true, 1, {}}}}, ignored);
        return manager.proofFor(now, "10.0.0.2:7200");
    };
    tick();
    tick();
    DirectoryActions electionActions;
    manager.handle(now, {0, LeaderRecordAnswered{true, localAddress, 5, {otherRelay}}}, electionActions);
    answerListCalls(tick(), 12);
    CHECK_FALSE(proofs());
    // The first watch returns the changes that the list lacked.
    for (const DirectoryAction &action : tick()) {
        if (const auto *watch = std::get_if<WatchDirectory>(&action); watch && watch->collection == Collection::Servers) {
            CHECK(watch->since == 10);
            DirectoryActions more;
            manager.handle(now, {watch->call, DirectoryChanged{Collection::Servers, {}, 12, 12}}, more);
        }
    }
    CHECK(proofs());
}

TEST_CASE("VMs with slow links read the leader record later than VMs with fast links", "[directory][relay]")
{
    CHECK(RelayElection::electionDelayFor(0) == Duration(0));
    CHECK(RelayElection::electionDelayFor(1000) == Duration(0));
    REQUIRE(RelayElection::electionDelayFor(10) > Duration(0));
    const auto readsWithin = [](Duration bound, std::uint64_t seed, double linkMbps) {
        RelayElection election("10.0.0.1:7200", true, seed, RelayElection::electionDelayFor(linkMbps));
        DirectoryActions actions;
        election.tick(TimePoint(seconds(50)), actions);
        election.tick(TimePoint(seconds(50)) + bound, actions);
        return std::any_of(actions.begin(), actions.end(), [](const DirectoryAction &action) { return std::holds_alternative<ReadLeaderRecord>(action); });
    };
    int fast = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fast += readsWithin(milliseconds(900), seed, 200) ? 1 : 0;
        CHECK_FALSE(readsWithin(milliseconds(900), seed, 10));
    }
    CHECK(fast > 0);
}

TEST_CASE("A configuration with an older operators' version is not applied", "[directory]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2)});
    directory.answer(directory.lastWatch(Collection::Routing).call, DirectoryChanged{Collection::Routing, {planEntry(7, 11)}, 11, 11});
    CHECK(directory.published->value == "r7");
    directory.advance(milliseconds(600));
    directory.answer(directory.lastWatch(Collection::Routing).call, DirectoryChanged{Collection::Routing, {planEntry(5, 12)}, 12, 12});
    CHECK(directory.published->value == "r7");
}

TEST_CASE("A configuration that cannot be parsed does not replace the one in force", "[directory]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2)});
    directory.answer(directory.lastWatch(Collection::Routing).call, DirectoryChanged{Collection::Routing, {unparsableEntry("main", 12)}, 12, 12});
    CHECK(directory.published->value == "r1");
    CHECK(directory.logCount("object cannot be used") == 1);
}

TEST_CASE("An entry that cannot be parsed contributes no server, and other entries are unaffected", "[directory][servers]")
{
    DirectoryFixture directory;
    SECTION("when the entry could never be parsed")
    {
        directory.answerInitialLists({serverEntry("i-1", 2), unparsableEntry("i-2", 3)});
        CHECK(directory.publishedServers() == Names{"i-1"});
    }
    SECTION("when another writer has overwritten a server's entry")
    {
        directory.answerInitialLists({serverEntry("i-1", 2), serverEntry("i-2", 3)});
        directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {unparsableEntry("i-2", 11)}, 11, 11});
        CHECK(directory.publishedServers() == Names{"i-1"});
        SECTION("until the server registers again")
        {
            directory.advance(milliseconds(600));
            directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {serverEntry("i-2", 12)}, 12, 12});
            CHECK(directory.publishedServers() == Names{"i-1", "i-2"});
        }
        SECTION("also when an older revision of the server is received")
        {
            directory.advance(milliseconds(600));
            directory.answer(directory.lastWatch(Collection::Servers).call,
                             DirectoryChanged{Collection::Servers, {serverEntry("i-2", 3), serverEntry("i-3", 12)}, 12, 12});
            CHECK(directory.publishedServers() == Names{"i-1", "i-3"});
        }
    }
    SECTION("an older revision that cannot be parsed does not remove the server")
    {
        directory.answerInitialLists({serverEntry("i-1", 2), serverEntry("i-2", 9)});
        directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {unparsableEntry("i-2", 8)}, 11, 11});
        CHECK(directory.publishedServers() == Names{"i-1", "i-2"});
    }
}

TEST_CASE("An entry that cannot be parsed is logged once per revision", "[directory][servers]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2), unparsableEntry("i-2", 3)});
    CHECK(directory.logCount("object cannot be used") == 1);
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryHistoryExpired{Collection::Servers});
    directory.advance(milliseconds(10));
    directory.answer(directory.lastListCall(Collection::Servers),
                     DirectoryListed{Collection::Servers, {serverEntry("i-1", 2), unparsableEntry("i-2", 3)}, false, "i-2", 40, 40});
    CHECK(directory.logCount("object cannot be used") == 1);
    directory.advance(milliseconds(600));
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {unparsableEntry("i-2", 41)}, 41, 41});
    CHECK(directory.logCount("object cannot be used") == 2);
}

TEST_CASE("Followers receive a deletion when a server's entry can no longer be parsed", "[directory][servers][relay]")
{
    ServerRegistry registry;
    registry.applyChanges(TimePoint(), {serverEntry("i-1", 2), serverEntry("i-2", 3)});
    const std::int64_t before = registry.sequence();
    registry.applyChanges(TimePoint(), {unparsableEntry("i-2", 4)});
    const auto changes = registry.changedSince(before);
    REQUIRE(changes);
    REQUIRE(changes->size() == 1);
    CHECK(changes->front().name == "i-2");
    CHECK(changes->front().isDeleted);
    CHECK(changes->front().revision == 4);
}

TEST_CASE("A restarted server replaces its former process, in whatever order registrations arrive", "[directory][servers][restart]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({restartedEntry("i-1", "i-1@100", 5, true)});
    CHECK(directory.published->intent.drains == Names{"reclamos/i-1@100"});
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {restartedEntry("i-1", "i-1@200", 11)}, 11, 11});
    CHECK(directory.publishedServers() == Names{"i-1@200"});
    CHECK(directory.published->intent.drains.empty());
    directory.advance(milliseconds(600));
    // First an older registration arrives, then one whose start time is lower because the wall clock was set back between two starts.
    directory.answer(directory.lastWatch(Collection::Servers).call,
                     DirectoryChanged{Collection::Servers, {restartedEntry("i-1", "i-1@100", 5, true), serverEntry("i-9", 12)}, 12, 12});
    CHECK(directory.publishedServers() == Names{"i-1@200", "i-9"});
    directory.advance(milliseconds(600));
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {restartedEntry("i-1", "i-1@150", 13)}, 13, 13});
    CHECK(directory.publishedServers() == Names{"i-1@150", "i-9"});
}

TEST_CASE("During a long outage the store is checked less and less often, and its return is detected soon", "[directory][outage]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2)});
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryCallFailed{Collection::Servers, "reset"});
    const int before = directory.checks;
    const auto passUnreachable = [&directory](Duration duration) {
        for (Duration passed{0}; passed < duration; passed += milliseconds(10)) {
            const int asked = directory.checks;
            directory.advance(milliseconds(10));
            if (directory.checks > asked) {
                directory.answer(0, DirectoryChecked{false});
            }
        }
    };
    passUnreachable(seconds(8));
    // With a constant pause there would be 21 checks.
    CHECK(directory.checks - before <= 11);
    const int checksBefore = directory.checks;
    directory.advance(milliseconds(1510));
    CHECK(directory.checks == checksBefore + 1);
    const std::size_t lists = directory.lists.size();
    directory.answer(0, DirectoryChecked{true});
    directory.advance(milliseconds(10));
    CHECK(directory.lists.size() == lists + CollectionCount);
    // After the outage checks are made at the usual interval.
    const int checksDuringOutage = directory.checks;
    directory.advance(seconds(2));
    CHECK(directory.checks > checksDuringOutage);
}

TEST_CASE("When the watch history has expired, the collection is listed again and missing servers are removed", "[directory]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2), serverEntry("i-2", 3)});
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryHistoryExpired{Collection::Servers});
    directory.advance(milliseconds(10));
    CHECK(directory.publishedServers() == Names{"i-1", "i-2"});
    directory.answer(directory.lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, {serverEntry("i-2", 3)}, false, "i-2", 40, 40});
    CHECK(directory.publishedServers() == Names{"i-2"});
}

TEST_CASE("Failed calls are retried with increasing pauses", "[directory]")
{
    DirectoryFixture directory;
    directory.advance(milliseconds(10));
    int calls = 0;
    for (int step = 0; step < 1000; ++step) {
        const auto before = directory.lists.size();
        directory.advance(milliseconds(10));
        if (directory.lists.size() > before || step == 0) {
            ++calls;
            directory.answer(directory.lastListCall(Collection::Servers), DirectoryCallFailed{Collection::Servers, "503"});
            directory.answer(directory.lastListCall(Collection::Routing), DirectoryCallFailed{Collection::Routing, "503"});
        }
    }
    // Within 10 s: at most about two calls a second per collection once the pause has increased.
    CHECK(directory.lists.size() < 2 * 30);
    CHECK(directory.lists.size() > 10);
}

TEST_CASE("Entries that expired during an outage of the store are kept for a grace period of two seconds", "[directory]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2), serverEntry("i-2", 3)});
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryCallFailed{Collection::Servers, "reset"});
    directory.advance(milliseconds(200));
    directory.answer(0, DirectoryChecked{true});
    directory.advance(milliseconds(20));
    directory.answer(directory.lastListCall(Collection::Servers), DirectoryListed{Collection::Servers, {}, false, {}, 21, 21});
    CHECK(directory.publishedServers() == Names{"i-1", "i-2"});
    directory.advance(milliseconds(600));
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {serverEntry("i-1", 22)}, 22, 22});
    directory.advance(milliseconds(2000));
    CHECK(directory.publishedServers() == Names{"i-1"});
}

TEST_CASE("After an outage all collections are listed again, since a watch may hang", "[directory]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2)});
    directory.advance(milliseconds(2000));
    REQUIRE(directory.checks > 0);
    const std::size_t before = directory.lists.size();
    directory.answer(0, DirectoryChecked{false});
    directory.advance(milliseconds(1600));
    directory.answer(0, DirectoryChecked{true});
    directory.advance(milliseconds(20));
    CHECK(directory.lists.size() == before + CollectionCount);
}

TEST_CASE("When any call to the store gets no answer, all watches restart, since open connections may be unresponsive", "[directory][silence]")
{
    // Guards against a hanging watch: a relay's open connections to the store become unresponsive. A read of the leader record times out and closes one of
    // them, and checks of the store succeed over new connections. The watch on another old connection hangs, and followers receive no changes.
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2)});
    const std::size_t before = directory.lists.size();
    SECTION("a read of the leader record")
    {
        directory.answer(0, LeaderRecordAnswered{false, {}, 0, {}, true});
    }
    SECTION("a write of the crash report")
    {
        directory.answer(0, CrashReportWritten{0, {}, true});
    }
    directory.advance(milliseconds(20));
    CHECK(directory.lists.size() == before + CollectionCount);
    // A store that answers with an error is not unresponsive.
    directory.answer(0, LeaderRecordAnswered{});
    directory.advance(milliseconds(20));
    CHECK(directory.lists.size() == before + CollectionCount);
}

TEST_CASE("After a watch has failed, the collection is listed again, since its history may have been dropped", "[directory]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2)});
    const std::size_t before = directory.watches.size();
    directory.answer(directory.lastWatch(Collection::Routing).call, DirectoryCallFailed{Collection::Routing, "cut"});
    directory.answer(0, DirectoryChecked{true});
    directory.advance(milliseconds(200));
    CHECK(directory.watches.size() == before);
    directory.answer(directory.lastListCall(Collection::Routing), DirectoryListed{Collection::Routing, {planEntry(8, 30)}, false, "main", 31, 31});
    CHECK(directory.published->value == "r8");
}

TEST_CASE("A late answer to an abandoned call is ignored", "[directory]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2)});
    const int abandonedCall = directory.lastWatch(Collection::Servers).call;
    directory.answer(0, DirectoryChecked{false});
    directory.answer(0, DirectoryChecked{true});
    directory.advance(milliseconds(20));
    directory.answer(abandonedCall, DirectoryChanged{Collection::Servers, {deletedEntry("i-1", 30)}, 30, 30});
    CHECK(directory.publishedServers() == Names{"i-1"});
}

TEST_CASE("A server whose remaining warm-up only decreases causes no new state", "[directory]")
{
    DirectoryFixture directory;
    DirectoryEntry cold = serverEntry("i-1", 2);
    std::get<Registration>(*cold.value).server.warmUp = seconds(3);
    directory.answerInitialLists({cold});
    const auto before = directory.published;
    DirectoryEntry warmer = serverEntry("i-1", 11);
    std::get<Registration>(*warmer.value).server.warmUp = seconds(1);
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {warmer}, 11, 11});
    CHECK(directory.published == before);
}

TEST_CASE("A registered server may become cold again, and its remaining warm-up decreases with time", "[directory][cold]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2)});
    const auto warmUp = [&directory] { return directory.published->configuration.services.front().backendServers.front().warmUp; };
    CHECK(warmUp() == Duration(0));
    DirectoryEntry cold = serverEntry("i-1", 11);
    std::get<Registration>(*cold.value).server.warmUp = seconds(3);
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {cold}, 11, 11});
    CHECK(warmUp() == seconds(3));
    directory.advance(seconds(1));
    SECTION("another change publishes the remaining warm-up")
    {
        directory.answer(directory.lastWatch(Collection::Routing).call, DirectoryChanged{Collection::Routing, {planEntry(2, 12)}, 12, 12});
        CHECK(warmUp() == seconds(2));
    }
    SECTION("receiving the same revision again does not restart the warm-up")
    {
        const auto before = directory.published;
        directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryChanged{Collection::Servers, {cold}, 11, 11});
        CHECK(directory.published == before);
    }
}

TEST_CASE("A deleted server contained in a list is removed", "[directory][relay]")
{
    DirectoryFixture directory;
    directory.answerInitialLists({serverEntry("i-1", 2), serverEntry("i-2", 3)});
    directory.answer(directory.lastWatch(Collection::Servers).call, DirectoryHistoryExpired{Collection::Servers});
    directory.advance(milliseconds(10));
    directory.answer(directory.lastListCall(Collection::Servers),
                     DirectoryListed{Collection::Servers, {serverEntry("i-2", 3), deletedEntry("i-1", 20)}, false, "i-2", 40, 40});
    CHECK(directory.publishedServers() == Names{"i-2"});
}

TEST_CASE("A confirmation brings changes that the watch in flight has not brought, and leaves that watch in flight", "[directory][stall]")
{
    DirectoryFixture fixture;
    fixture.answerInitialLists({serverEntry("i-1", 2)});
    const WatchDirectory waiting = fixture.lastWatch(Collection::Routing);
    fixture.requestConfirmation();
    CHECK_FALSE(fixture.isConfirmed());
    for (const Collection collection : {Collection::Servers, Collection::Evacuations, Collection::Rollouts}) {
        fixture.answer(fixture.lastWatch(collection).call, DirectoryChanged{collection, {}, 10, 10});
    }
    CHECK_FALSE(fixture.isConfirmed());
    const WatchDirectory confirmation = fixture.lastWatch(Collection::Routing);
    CHECK(confirmation.call != waiting.call);
    CHECK(confirmation.wait == milliseconds(1));
    fixture.answer(confirmation.call, DirectoryChanged{Collection::Routing, {planEntry(2, 11)}, 11, 11});
    CHECK(fixture.isConfirmed());
    CHECK(fixture.published->value == "r2");

    fixture.answer(waiting.call, DirectoryChanged{Collection::Routing, {planEntry(3, 12)}, 12, 12});
    CHECK(fixture.published->value == "r3");
}

TEST_CASE("A failed confirmation confirms nothing, and is not repeated", "[directory][stall]")
{
    DirectoryFixture fixture;
    fixture.answerInitialLists({serverEntry("i-1", 2)});
    fixture.requestConfirmation();
    const std::size_t calls = fixture.watches.size();
    fixture.answer(fixture.lastWatch(Collection::Routing).call, DirectoryCallFailed{Collection::Routing, "timeout"});
    fixture.advance(seconds(1));
    CHECK_FALSE(fixture.isConfirmed());
    CHECK(fixture.watches.size() == calls);
}

TEST_CASE("A confirmation whose collection is listed again meanwhile is repeated after the list", "[directory][stall]")
{
    DirectoryFixture fixture;
    fixture.answerInitialLists({serverEntry("i-1", 2)});
    const WatchDirectory waiting = fixture.lastWatch(Collection::Routing);
    fixture.requestConfirmation();
    const WatchDirectory confirmation = fixture.lastWatch(Collection::Routing);
    fixture.answer(waiting.call, DirectoryHistoryExpired{Collection::Routing});
    fixture.advance(milliseconds(10));
    fixture.answer(fixture.lastListCall(Collection::Routing), DirectoryListed{Collection::Routing, {planEntry(2, 20)}, false, "main", 20, 20});
    fixture.answer(confirmation.call, DirectoryChanged{Collection::Routing, {}, 10, 10});
    CHECK_FALSE(fixture.isConfirmed());
    fixture.advance(milliseconds(10));
    const auto repeated = std::find_if(fixture.watches.rbegin(), fixture.watches.rend(), [](const WatchDirectory &watch) {
        return watch.collection == Collection::Routing && watch.wait == milliseconds(1);
    });
    REQUIRE(repeated != fixture.watches.rend());
    CHECK(repeated->since == 20);
    CHECK(repeated->call != confirmation.call);
}

TEST_CASE("Before the first state has been published there is nothing to confirm", "[directory][stall]")
{
    DirectoryFixture fixture;
    fixture.advance(milliseconds(10));
    fixture.requestConfirmation();
    CHECK(fixture.watches.empty());
}
