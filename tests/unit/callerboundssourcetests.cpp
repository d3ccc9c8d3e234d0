/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/callerboundssource.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Cloverbarrow;

namespace
{

CallerBounds settingsWithBody(std::size_t bytes)
{
    CallerBounds bounds;
    bounds.limits.body = bytes;
    return bounds;
}

CallerLimits limitsWithHeader(std::size_t bytes)
{
    CallerLimits limits;
    limits.headerBytes = bytes;
    limits.bodyBytes = 1'000'000;
    return limits;
}

} // namespace

TEST_CASE("A reload beside new configurations leaves the newest of both in force", "[limits][lifetime]")
{
    constexpr std::size_t Changes = 2000;
    CallerBounds applied;
    CallerBoundsSource source(settingsWithBody(1), [&applied](const CallerBounds &bounds) { applied = bounds; });
    std::thread reloads([&source] {
        for (std::size_t number = 1; number <= Changes; ++number) {
            source.setSettings(settingsWithBody(number));
        }
    });
    for (std::size_t number = 1; number <= Changes; ++number) {
        source.setConfigured(limitsWithHeader(number));
    }
    reloads.join();
    CHECK(applied.limits.body == Changes);
    CHECK(applied.limits.head == Changes);
}

TEST_CASE("A configuration without limits for callers leaves those of the settings in force", "[limits]")
{
    CallerBounds applied;
    CallerBoundsSource source(settingsWithBody(500), [&applied](const CallerBounds &bounds) { applied = bounds; });
    source.setConfigured(limitsWithHeader(10));
    CHECK(applied.limits.head == 10);
    CHECK(applied.limits.body == 500);
    source.setConfigured(std::nullopt);
    CHECK(applied.limits.head == settingsWithBody(500).limits.head);
    CHECK(applied.limits.body == 500);
}
