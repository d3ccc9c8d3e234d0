/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/controlshard.h"
#include "core/requests/serviceshard.h"
#include "core/support/latest.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

// Several threads carry out the actions of the core, so an older action may be carried out after a newer one.

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr TimePoint Now = TimePoint(seconds(100));

template<typename Action>
std::optional<Action> lastOf(const ControlActions &actions)
{
    std::optional<Action> last;
    for (const ControlAction &action : actions) {
        if (const auto *typed = std::get_if<Action>(&action)) {
            last = *typed;
        }
    }
    return last;
}

DirectoryPublished published(std::int64_t version, int entryVms)
{
    auto intent = std::make_shared<ActiveIntent>();
    intent->version = version;
    intent->entryVmCount = entryVms;
    return DirectoryPublished{intent};
}

ControlShard shardWithDirectory()
{
    ControlSettings settings;
    settings.self.id = {"entry-1", "n"};
    settings.hasDirectory = true;
    return ControlShard(settings);
}

/// @return the backend servers to which 20 reads are sent.
std::set<std::string> serversChosen(ServiceShard &shard)
{
    std::set<std::string> chosen;
    for (RequestId request = 1; request <= 20; ++request) {
        RequestArrived arrived;
        arrived.request = request;
        arrived.deadline = Now + seconds(2);
        ServiceActions actions;
        shard.handle(Now, arrived, actions);
        for (const ServiceAction &action : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action)) {
                chosen.insert(start->backend);
            }
        }
    }
    return chosen;
}

} // namespace

TEST_CASE("A value that arrives late does not replace a newer one", "[late]")
{
    Latest<std::string> reason("starting");
    CHECK(reason.take(2, ""));
    CHECK_FALSE(reason.take(1, "no configuration yet"));
    CHECK_FALSE(reason.take(2, "again"));
    CHECK(reason.value().empty());
    CHECK(reason.take(3, "shutting down"));
    CHECK(reason.value() == "shutting down");
    CHECK(reason.order() == 3);
}

TEST_CASE("Readiness actions are numbered in the order in which they were decided", "[late]")
{
    ControlShard shard = shardWithDirectory();
    ControlActions actions;
    shard.handle(Now, ControlTick{}, actions);
    const auto first = lastOf<SetReady>(actions);
    shard.handle(Now, published(1, 4), actions);
    const auto second = lastOf<SetReady>(actions);
    REQUIRE(first);
    REQUIRE(second);
    CHECK_FALSE(first->isReady);
    CHECK(second->isReady);
    CHECK(first->order < second->order);
}

TEST_CASE("An older directory version does not change the number of entry VMs", "[late]")
{
    ControlShard shard = shardWithDirectory();
    ControlActions actions;
    shard.handle(Now, published(2, 18), actions);
    CHECK(lastOf<UpdateFleetSize>(actions)->entryVms == 18);
    actions.clear();
    shard.handle(Now, published(1, 4), actions);
    CHECK_FALSE(lastOf<UpdateFleetSize>(actions));
}

TEST_CASE("An older list of leaving servers that arrives late does not make a leaving server usable again", "[late]")
{
    ServiceShard shard({"entry-1", "n"}, {"bog-a", {}}, "liquidacion", LeastInFlightPick{}, 1);
    ServiceActions actions;
    shard.handle(Now, ServiceConfigured{1, sampleService(2)}, actions);
    shard.handle(Now, LeavingServersChanged{{"b1"}, 2}, actions);
    shard.handle(Now, LeavingServersChanged{{}, 1}, actions);
    CHECK(serversChosen(shard) == std::set<std::string>{"b2"});
}

TEST_CASE("An older number of entry VMs that arrives late does not raise the connection cap", "[late]")
{
    ServiceShard shard({"entry-1", "n"}, {"bog-a", {}}, "liquidacion", LeastInFlightPick{}, 1);
    ServiceActions actions;
    Service service = sampleService(1);
    service.limits.connectionsPerServer = 4;
    shard.handle(Now, ServiceConfigured{1, service}, actions);
    shard.handle(Now, FleetSizeChanged{4, 2}, actions);
    shard.handle(Now, FleetSizeChanged{1, 1}, actions);
    actions.clear();
    for (RequestId request = 1; request <= 3; ++request) {
        RequestArrived arrived;
        arrived.request = request;
        arrived.deadline = Now + seconds(2);
        shard.handle(Now, arrived, actions);
    }
    const auto isStart = [](const ServiceAction &action) { return std::holds_alternative<StartAttempt>(action); };
    CHECK(std::count_if(actions.begin(), actions.end(), isStart) == 1);
}
