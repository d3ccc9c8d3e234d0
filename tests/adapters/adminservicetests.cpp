/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/adminservice.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

class MockPlatform : public PlatformClient
{
public:
    MAKE_MOCK2(call, void(StoreCall, std::function<void(StoreResult)>), override);
    MAKE_MOCK4(watch, void(const StoreObject &, std::int64_t, Duration, std::function<void(WatchResult)>), override);
    MAKE_MOCK1(listVms, void(std::function<void(VmListResult)>), override);
};

class MockEvents : public EventHandler
{
public:
    MAKE_MOCK1(handle, void(NodeEvent), override);
};

/// The administration service of an entry VM with a mock platform and a mock event handler.
struct Fixture {
    Fixture()
        : node(ControlSettings{}, LeastInFlightPick{})
        , admin(platform, telemetry)
    {
        admin.open({&node, &events});
    }

    Wire::ApplyRequest request(std::int64_t expectedVersion) const
    {
        Wire::ApplyRequest made;
        made.document = sampleDocument();
        made.expectedVersion = expectedVersion;
        made.author = "a";
        made.reason = "r";
        return made;
    }

    MockPlatform platform;
    MockEvents events;
    Telemetry telemetry;
    Node node;
    AdminService admin;
};

bool isRead(const StoreCall &call)
{
    return std::holds_alternative<StoreRead>(call.operation);
}

bool isWriteOver(const StoreCall &call, std::int64_t version)
{
    const auto *write = std::get_if<StoreWrite>(&call.operation);
    return write && write->expectedVersion == version;
}

template<typename Call>
Wire::FailureKind::type failureOf(const Call &call)
{
    try {
        call();
    } catch (const Wire::Failure &failure) {
        return failure.kind;
    }
    return static_cast<Wire::FailureKind::type>(0);
}

} // namespace

TEST_CASE("An invalid change never reaches the platform", "[administration]")
{
    Fixture fixture;
    FORBID_CALL(fixture.platform, call(trompeloeil::_, trompeloeil::_));
    Wire::ApplyResult result;
    Wire::ApplyRequest request = fixture.request(0);
    SECTION("invalid content")
    {
        request.document = "services: 1";
    }
    SECTION("missing reason")
    {
        request.reason.clear();
    }
    SECTION("reason too long for the stored object")
    {
        request.reason.assign(10'000, 'r');
    }
    CHECK(failureOf([&] { fixture.admin.apply(result, request); }) == Wire::FailureKind::INVALID);
}

TEST_CASE("A dry run reads the stored configuration and writes nothing", "[administration]")
{
    Fixture fixture;
    REQUIRE_CALL(fixture.platform, call(trompeloeil::_, trompeloeil::_)).WITH(isRead(_1)).SIDE_EFFECT(_2(StoreMissing{}));
    Wire::ApplyRequest request = fixture.request(0);
    request.isDryRun = true;
    Wire::ApplyResult result;
    fixture.admin.apply(result, request);
    CHECK(result.version == 0);
    CHECK(result.diff.find("+services:") == 0);
}

TEST_CASE("A change based on an outdated version is rejected without a write", "[administration]")
{
    Fixture fixture;
    REQUIRE_CALL(fixture.platform, call(trompeloeil::_, trompeloeil::_)).WITH(isRead(_1)).SIDE_EFFECT(_2(StoreFound{7, encodeIntent({"old: text\n", {}, {}})}));
    Wire::ApplyResult result;
    CHECK(failureOf([&] { fixture.admin.apply(result, fixture.request(6)); }) == Wire::FailureKind::CONFLICT);
}

TEST_CASE("A change whose answer was lost is read back before it is reported as accepted", "[administration]")
{
    Fixture fixture;
    std::string written;
    trompeloeil::sequence order;
    REQUIRE_CALL(fixture.platform, call(trompeloeil::_, trompeloeil::_)).WITH(isRead(_1)).IN_SEQUENCE(order).SIDE_EFFECT(_2(StoreMissing{}));
    REQUIRE_CALL(fixture.platform, call(trompeloeil::_, trompeloeil::_))
        .WITH(isWriteOver(_1, 0))
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(written = std::get<StoreWrite>(_1.operation).value)
        .SIDE_EFFECT(_2(StoreOutcomeUnknown{}));
    SECTION("the read returns the change")
    {
        REQUIRE_CALL(fixture.platform, call(trompeloeil::_, trompeloeil::_)).WITH(isRead(_1)).IN_SEQUENCE(order).LR_SIDE_EFFECT(_2(StoreFound{3, written}));
        REQUIRE_CALL(fixture.events, handle(trompeloeil::_));
        Wire::ApplyResult result;
        fixture.admin.apply(result, fixture.request(0));
        CHECK(result.version == 3);
    }
    SECTION("the read does not return the change, which may still be in flight")
    {
        REQUIRE_CALL(fixture.platform, call(trompeloeil::_, trompeloeil::_)).WITH(isRead(_1)).IN_SEQUENCE(order).SIDE_EFFECT(_2(StoreMissing{}));
        FORBID_CALL(fixture.events, handle(trompeloeil::_));
        Wire::ApplyResult result;
        CHECK(failureOf([&] { fixture.admin.apply(result, fixture.request(0)); }) == Wire::FailureKind::UNKNOWN);
    }
}
