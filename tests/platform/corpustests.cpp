/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "decoders.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

/// Feeds @p decode with all files of the corpus of @p target.
void replay(const std::string &target, Decoder decode)
{
    int files = 0;
    for (const auto &file : std::filesystem::directory_iterator(std::filesystem::path(CORPUS_FOLDER) / target)) {
        CAPTURE(file.path().filename());
        std::ifstream stream(file.path(), std::ios::binary);
        const std::string input((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
        CHECK_NOTHROW(decode(input));
        ++files;
    }
    CHECK(files > 0);
}

/// @return @p text with a deeply nested value in place of each `@`.
std::string withDeepValues(std::string_view text)
{
    constexpr std::size_t Depth = 100'000;
    std::string result;
    for (const char character : text) {
        if (character == '@') {
            result.append(Depth, '[').append(Depth, ']');
        } else {
            result.push_back(character);
        }
    }
    return result;
}

} // namespace

TEST_CASE("No input of the fuzzers' corpus ends the process or breaks a property of its decoder", "[fuzz]")
{
    SECTION("answers of the store")
    {
        replay("store-answers", decodeStoreAnswer);
    }
    SECTION("messages of other entry VMs")
    {
        replay("peer-messages", decodePeerMessage);
    }
    SECTION("requests of callers")
    {
        replay("caller-bytes", decodeCallerBytes);
    }
    SECTION("settings, configurations and records")
    {
        replay("documents", decodeDocument);
    }
}

TEST_CASE("A deeply nested value in any part of an input does not end the process", "[fuzz][bounds]")
{
    for (const char *text : {"@",
                             R"({"metadata":{"name":"i-1","revision":1},"specification":@})",
                             R"({"metadata":@,"specification":{}})",
                             R"({"store_revision":1,"items":[{"metadata":{"name":"i-1","revision":1},"status":@,"specification":@}]})",
                             R"({"store_revision":1,"events":[{"deleted":@,"object":@}]})"}) {
        const std::string deep = withDeepValues(text);
        for (char selected = 'a'; selected <= 'p'; ++selected) {
            CAPTURE(text, selected);
            CHECK_NOTHROW(decodeStoreAnswer(selected + deep));
            CHECK_NOTHROW(decodePeerMessage(selected + deep));
            CHECK_NOTHROW(decodeDocument(selected + deep));
        }
    }
}
