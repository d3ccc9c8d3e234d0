/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/boundedjson.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

using namespace Cloverbarrow;
using Json = nlohmann::json;

namespace
{

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE("JSON text is parsed up to a depth and a number of values", "[json][bounds]")
{
    SECTION("any depth up to the bound")
    {
        CHECK(parseBoundedJson(nested(MaxJsonDepth)).is_array());
        CHECK_THROWS_WITH(parseBoundedJson(nested(MaxJsonDepth + 1)), Catch::Contains("levels"));
        CHECK_THROWS(parseBoundedJson(nested(100'000)));
        CHECK_THROWS(parseBoundedJson(std::string(100'000, '[')));
    }
    SECTION("brackets in strings do not count")
    {
        const std::string text = Json(std::string(1000, '[') + "\"\\" + std::string(1000, '{')).dump();
        CHECK(parseBoundedJson(text) == Json::parse(text));
    }
    SECTION("any number of values up to the bound")
    {
        std::string text = "[0";
        for (std::size_t number = 3; number <= MaxJsonValues; ++number) {
            text += ",0";
        }
        CHECK(parseBoundedJson(text + "]").size() == MaxJsonValues - 1);
        CHECK_THROWS_WITH(parseBoundedJson(text + ",0]"), Catch::Contains("values"));
    }
    SECTION("a number beyond a double is rejected")
    {
        CHECK_THROWS(parseBoundedJson(R"({"slots":1e999})"));
    }
    SECTION("text after a NUL character is rejected")
    {
        using namespace std::string_literals;
        CHECK_THROWS(parseBoundedJson("{}\0"s));
        CHECK_THROWS(parseBoundedJson("12\0 34"s));
    }
}

TEST_CASE("JSON objects and arrays are split without parsing their values", "[json][bounds]")
{
    SECTION("values of all kinds")
    {
        const std::string text = R"( { "a" : [1, {"b":"]}"}] , "c":"x\"}\\" ,"\u0064":1e999, "e":{},"f":null} )";
        const auto members = splitJsonObject(text);
        REQUIRE(members.size() == 5);
        CHECK(memberNamed(members, "a") == R"([1, {"b":"]}"}])");
        CHECK(memberNamed(members, "c") == R"("x\"}\\")");
        CHECK(memberNamed(members, "d") == "1e999");
        CHECK(memberNamed(members, "e") == "{}");
        CHECK(memberNamed(members, "f") == "null");
        CHECK_FALSE(findMember(members, "g"));
        CHECK_THROWS(memberNamed(members, "g"));
    }
    SECTION("deeply nested values")
    {
        const std::string odd = nested(100'000);
        const std::string text = "[1," + odd + ",{\"a\":" + odd + "}]";
        const auto elements = splitJsonArray(text);
        REQUIRE(elements.size() == 3);
        CHECK(elements[1] == odd);
        CHECK(memberNamed(splitJsonObject(elements[2]), "a") == odd);
    }
    SECTION("empty ones")
    {
        CHECK(splitJsonObject("{}").empty());
        CHECK(splitJsonArray(" [ ] ").empty());
    }
    SECTION("of members with the same name the last one counts, as for the parser")
    {
        CHECK(memberNamed(splitJsonObject(R"({"a":1,"a":2})"), "a") == "2");
    }
    SECTION("text that is cut at any byte is rejected")
    {
        const std::string text = R"({"a":[1,"x"],"b":{"c":"\\"}})";
        for (std::size_t length = 0; length < text.size(); ++length) {
            CAPTURE(length);
            CHECK_THROWS(splitJsonObject(text.substr(0, length)));
        }
    }
    SECTION("other text is rejected")
    {
        CHECK_THROWS(splitJsonObject("[]"));
        CHECK_THROWS(splitJsonObject(R"({"a"})"));
        CHECK_THROWS(splitJsonObject(R"({"a":1} x)"));
        CHECK_THROWS(splitJsonObject(R"({1:1})"));
        CHECK_THROWS(splitJsonArray("[1,]"));
        CHECK_THROWS(splitJsonArray("[1 2]"));
        CHECK_THROWS(splitJsonArray("{}"));
    }
}
