/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "ctl/requesttimeline.h"
#include "net/logratelimiter.h"
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

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("Failed requests are explained from the log of a day as in the recorded texts", "[log][explain]")
{
    const std::filesystem::path folder = RECORDED_FOLDER;
    int explained = 0;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        const std::string name = entry.path().filename().string();
        const std::size_t end = name.find(".story.txt");
        if (end == std::string::npos) {
            continue;
        }
        RequestTimeline timeline(name.substr(0, end));
        std::ifstream log(folder / "day.log");
        std::string line;
        while (std::getline(log, line)) {
            timeline.add(line);
        }
        std::string text;
        for (const std::string &part : timeline.toLines()) {
            text += part + "\n";
        }
        CHECK(text == readFile(entry.path()));
        ++explained;
    }
    CHECK(explained == 3);
}

TEST_CASE("The explanation of a request without a logged answer names what is missing", "[log][explain]")
{
    RequestTimeline timeline("a");
    timeline.add(R"(12.5 vm {"time":"t2","entry_vm":"e1","part":"request","message":"attempt started","id":"a","attempt":1})");
    timeline.add(R"({"time":"t1","entry_vm":"e1","part":"daemon","message":"store lost","detail":"reset"})");
    timeline.add("no object at all");
    timeline.add(R"({"broken)");
    const auto lines = timeline.toLines();
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].find("store lost") != std::string::npos);
    CHECK(lines[2].find("missing") != std::string::npos);
    CHECK(RequestTimeline("b").toLines().empty());
}

TEST_CASE("The explanation of a request lists zones evacuated at that time, however early", "[log][explain][evacuation]")
{
    RequestTimeline timeline("a");
    const auto addChange = [&timeline](const std::string &time, const std::string &message, const std::string &detail) {
        timeline.add(R"({"time":")" + time + R"(","entry_vm":"e1","part":"directory","message":")" + message + R"(","detail":")" + detail + R"("})");
    };
    addChange("t1", "zone evacuated", "sala-a, with 3 backend servers known");
    addChange("t2", "zone evacuated", "sala-b, with 3 backend servers known");
    addChange("t3", "zone taken back", "sala-b, with 3 backend servers known");
    for (int number = 0; number < 6; ++number) {
        addChange("t4", "configuration version", "r" + std::to_string(number));
    }
    timeline.add(R"({"time":"t5","entry_vm":"e1","part":"request","message":"refused","id":"a"})");
    addChange("t6", "zone evacuated", "sala-d, with 3 backend servers known");
    const auto lines = timeline.toLines();
    CHECK(std::count_if(lines.begin(), lines.end(), [](const std::string &line) { return line.find("is evacuated") != std::string::npos; }) == 1);
    CHECK(lines.front().find("zone sala-a is evacuated") != std::string::npos);
}

TEST_CASE("Log lines beyond the rate limit are dropped and counted", "[log]")
{
    LogRateLimiter budget(400, 1000);
    TimePoint now = TimePoint(seconds(100));
    int taken = 0;
    constexpr int Seconds = 10;
    constexpr int PerSecond = 10'000;
    for (int line = 0; line < Seconds * PerSecond; ++line) {
        now += microseconds(1'000'000 / PerSecond);
        taken += budget.take(now) ? 1 : 0;
    }
    CHECK(taken <= 1000 + 400 * Seconds);
    CHECK(budget.takeDroppedCount() == static_cast<std::uint64_t>(Seconds * PerSecond - taken));
    CHECK(budget.takeDroppedCount() == 0);
}

TEST_CASE("A log sink whose reader is stuck drops lines and does not block", "[log]")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    auto sink = std::make_shared<LogSink>(ends[1], 4096);
    spdlog::logger logger("test", sink);
    // More than the pipe and the buffer hold; a write to a full pipe blocks.
    constexpr int Lines = 20'000;
    for (int line = 0; line < Lines; ++line) {
        logger.info("a line of some length that nobody reads");
        logger.flush();
    }
    CHECK(sink->droppedLines() > 0);
    ::close(ends[0]);
    ::close(ends[1]);
}
