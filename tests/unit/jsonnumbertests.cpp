/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/jsonnumber.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>

using namespace Cloverbarrow;
using Json = nlohmann::json;

TEST_CASE("A number in a message that its type cannot hold is rejected and not converted to another one", "[json][bounds]")
{
    CHECK(integerFrom<int>(Json::parse("-2147483648")) == std::numeric_limits<int>::min());
    CHECK(integerFrom<int>(Json::parse("2147483647")) == std::numeric_limits<int>::max());
    CHECK(integerFrom<int>(Json::parse("2.75")) == 2);
    CHECK(integerFrom<std::int64_t>(Json::parse("9223372036854775807")) == std::numeric_limits<std::int64_t>::max());
    CHECK(integerFrom<std::uint64_t>(Json::parse("18446744073709551615")) == std::numeric_limits<std::uint64_t>::max());
    for (const char *text : {"2147483648", "-2147483649", "4294967296", "1e10", "-1e300", "true", "null", "\"1\"", "[1]"}) {
        CAPTURE(text);
        CHECK_THROWS(integerFrom<int>(Json::parse(text)));
    }
    for (const char *text : {"9223372036854775808", "9223372036854775808.0", "1e28", "-1e19"}) {
        CAPTURE(text);
        CHECK_THROWS(integerFrom<std::int64_t>(Json::parse(text)));
    }
    CHECK_THROWS(integerFrom<std::uint64_t>(Json::parse("-1")));
    CHECK_THROWS(integerFrom<std::uint64_t>(Json::parse("18446744073709551616")));
    CHECK_THROWS(integersFrom(Json::parse("[1,1e10]")));
    CHECK_THROWS(integersFrom(Json::parse(R"({"a":1})")));
}

TEST_CASE("A duration in a message that cannot be added to a time is rejected", "[json][bounds]")
{
    CHECK(durationFrom(Json::parse("-1500")) == microseconds(-1500));
    CHECK(durationFrom(MaxJsonDuration.count()) == MaxJsonDuration);
    for (const char *text : {"9223372036854775807", "-9223372036854775808", "1e18"}) {
        CAPTURE(text);
        CHECK_THROWS(durationFrom(Json::parse(text)));
    }
}
