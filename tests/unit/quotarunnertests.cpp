/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/quotarunner.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace Cloverbarrow;

namespace
{

const Workspace North{"north", {}, std::nullopt, WorkspaceQuota{8, 10}, {}};

} // namespace

TEST_CASE("A request that waits for its quota is decided although a new configuration has no quotas any more", "[quota]")
{
    std::atomic<bool> hasQuotas{true};
    HttpClient client(1);
    QuotaRunner runner(client, {}, 1, [&hasQuotas] { return QuotaPeers{"10.0.0.1:7200", {}, 1, hasQuotas}; });
    std::promise<void> decided;
    auto isDecided = decided.get_future();
    runner.admit(1, North, 1, [&decided](const QuotaVerdict &) { decided.set_value(); });
    hasQuotas = false;
    for (int wait = 0; wait < 100 && isDecided.wait_for(std::chrono::milliseconds(10)) != std::future_status::ready; ++wait) {
        runner.tick();
    }
    CHECK(isDecided.wait_for(std::chrono::milliseconds(0)) == std::future_status::ready);
    client.stop();
}
