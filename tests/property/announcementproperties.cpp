/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/backendpool.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace Cloverbarrow;

namespace
{

constexpr int Servers = 4;

std::string nameOf(int number)
{
    return "b" + std::to_string(number);
}

/// @return a service whose servers are a random selection of all.
Service randomService()
{
    Service service;
    for (int number = 0; number < Servers; ++number) {
        if (*rc::gen::inRange(0, 4) > 0) {
            service.backendServers.push_back({nameOf(number), "127.0.0.1:" + std::to_string(9000 + number), "bog-a", {}, 3});
        }
    }
    return service;
}

} // namespace

TEST_CASE("A server that is leaving or has requested a backoff is not chosen, whenever its entry is removed and added again", "[property][backoff][leaving]")
{
    CHECK(rc::check("in any order of events", [] {
        BackendPool pool(LoadReportPick{}, {"bog-a", {}});
        Random random(1);
        TimePoint now(seconds(100));
        std::map<std::string, TimePoint> backoffs;
        std::set<std::string> leaving;
        pool.configure(randomService(), now);
        for (int step = 0; step < 100; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 300));
            const std::string name = nameOf(*rc::gen::inRange(0, Servers));
            switch (*rc::gen::inRange(0, 10)) {
            case 0:
                pool.configure(randomService(), now);
                break;
            case 1: {
                const Duration duration = milliseconds(*rc::gen::inRange(0, 3000));
                pool.applyBackoff(name, duration, now);
                backoffs[name] = std::max(backoffs[name], now + duration);
                break;
            }
            case 2:
                if (leaving.size() + 1 < Servers) {
                    pool.markLeaving(name);
                    leaving.insert(name);
                }
                break;
            default:
                const auto index = step % 2 == 0 ? pool.take(now, random, {}) : pool.takeNamed(now, name);
                if (index) {
                    const std::string chosen = pool.backends()[*index].server.name;
                    RC_ASSERT(now >= backoffs[chosen]);
                    RC_ASSERT(!leaving.contains(chosen));
                    pool.release(chosen, AttemptQuality::Neutral, Duration(0), now);
                }
            }
        }
    }));
}
