/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/settings.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

namespace
{

constexpr std::string_view Head = "name: e\nzone: z\nregion: r\nlisten: {callers: 127.0.0.1:1, operations: 127.0.0.1:2}\n";

std::vector<std::string> faultsOf(std::string_view directory)
{
    const auto parsed = parseSettings(std::string(Head) + std::string(directory));
    std::vector<std::string> keys;
    if (const auto *faults = std::get_if<std::vector<DocumentFault>>(&parsed)) {
        for (const DocumentFault &fault : *faults) {
            keys.push_back(fault.key);
        }
    }
    return keys;
}

} // namespace

TEST_CASE("With a directory neither platform nor addresses of peers are needed", "[settings][directory]")
{
    const auto parsed =
        parseSettings(std::string(Head) + "directory: {address: 127.0.0.1:3, relay: 127.0.0.1:4, first_start: true, link_mbps: 10.0, repeat_ratio: 0.1}\n");
    REQUIRE(std::holds_alternative<Settings>(parsed));
    const auto &settings = std::get<Settings>(parsed);
    REQUIRE(settings.directory);
    CHECK(settings.directory->relayAddress == "127.0.0.1:4");
    CHECK(settings.directory->isFirstStart);
    CHECK(settings.directory->linkMbps == 10);
    CHECK(settings.directory->budgets.repeatRatio == 0.1);
}

TEST_CASE("All faults of a directory's settings are named at once", "[settings][directory]")
{
    using Keys = std::vector<std::string>;
    CHECK(faultsOf("directory: {address: nowhere, repeat_ratio: 7, oops: 1}\n") == Keys{"directory.address", "directory.repeat_ratio", "directory.oops"});
    // Without a directory the platform and the other addresses are missing.
    CHECK(faultsOf("").size() == 3);
}
