/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "ctl/requeststory.h"
#include "net/logbudget.h"
#include "net/logsink.h"

#include <catch2/catch.hpp>
#include <spdlog/logger.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Cloverbarrow;

namespace
{

std::string contentOf(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("The stories of failed requests can be told from the logs of a day", "[log][explain]")
{
    const std::filesystem::path folder = RECORDED_FOLDER;
    int stories = 0;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        const std::string name = entry.path().filename().string();
        const std::size_t end = name.find(".story.txt");
        if (end == std::string::npos) {
            continue;
        }
        RequestStory story(name.substr(0, end));
        std::ifstream log(folder / "day.log");
        std::string line;
        while (std::getline(log, line)) {
            story.add(line);
        }
        std::string told;
        for (const std::string &part : story.tell()) {
            told += part + "\n";
        }
        CHECK(told == contentOf(entry.path()));
        ++stories;
    }
    CHECK(stories == 3);
}

TEST_CASE("A story without a final answer says what is missing", "[log][explain]")
{
    RequestStory story("a");
    story.add(R"(12.5 vm {"time":"t2","entry_vm":"e1","part":"request","message":"attempt started","id":"a","attempt":1})");
    story.add(R"({"time":"t1","entry_vm":"e1","part":"daemon","message":"store lost","detail":"reset"})");
    story.add("no object at all");
    story.add(R"({"broken)");
    const auto told = story.tell();
    REQUIRE(told.size() == 3);
    CHECK(told[0].find("store lost") != std::string::npos);
    CHECK(told[2].find("missing") != std::string::npos);
    CHECK(RequestStory("b").tell().empty());
}

TEST_CASE("A story says which zones were evacuated when the request came, however long before", "[log][explain][evacuation]")
{
    RequestStory story("a");
    const auto believe = [&story](const std::string &time, const std::string &message, const std::string &detail) {
        story.add(R"({"time":")" + time + R"(","entry_vm":"e1","part":"directory","message":")" + message + R"(","detail":")" + detail + R"("})");
    };
    believe("t1", "zone evacuated", "sala-a, with 3 backend servers known");
    believe("t2", "zone evacuated", "sala-b, with 3 backend servers known");
    believe("t3", "zone taken back", "sala-b, with 3 backend servers known");
    for (int number = 0; number < 6; ++number) {
        believe("t4", "configuration version", "r" + std::to_string(number));
    }
    story.add(R"({"time":"t5","entry_vm":"e1","part":"request","message":"refused","id":"a"})");
    believe("t6", "zone evacuated", "sala-d, with 3 backend servers known");
    const auto told = story.tell();
    CHECK(std::count_if(told.begin(), told.end(), [](const std::string &line) { return line.find("is evacuated") != std::string::npos; }) == 1);
    CHECK(told.front().find("zone sala-a is evacuated") != std::string::npos);
}

TEST_CASE("A flood of lines is bounded, and what is left out is counted", "[log]")
{
    LogBudget budget(400, 1000);
    TimePoint now = TimePoint(seconds(100));
    int taken = 0;
    constexpr int Seconds = 10;
    constexpr int PerSecond = 10'000;
    for (int line = 0; line < Seconds * PerSecond; ++line) {
        now += microseconds(1'000'000 / PerSecond);
        taken += budget.take(now) ? 1 : 0;
    }
    CHECK(taken <= 1000 + 400 * Seconds);
    CHECK(budget.takeLeftOut() == static_cast<std::uint64_t>(Seconds * PerSecond - taken));
    CHECK(budget.takeLeftOut() == 0);
}

TEST_CASE("A reader that does not read loses lines, and the writer does not wait", "[log]")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    auto sink = std::make_shared<LogSink>(ends[1], 4096);
    spdlog::logger logger("test", sink);
    // More than the pipe and the buffer hold; the pipe blocks whoever writes to it when it is full.
    constexpr int Lines = 20'000;
    for (int line = 0; line < Lines; ++line) {
        logger.info("a line of some length that nobody reads");
        logger.flush();
    }
    CHECK(sink->lost() > 0);
    ::close(ends[0]);
    ::close(ends[1]);
}
