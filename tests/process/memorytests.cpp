/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "fleet.h"
#include "rawcaller.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr std::size_t BodyBytes = 4 * 1024 * 1024;

/// @param field of /proc/PID/status. @return its value in MB of 1,000,000 bytes.
double memoryMb(pid_t pid, const std::string &field)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    double kibibytes = 0;
    while (status >> word) {
        if (word == field + ":") {
            status >> kibibytes;
        }
    }
    return kibibytes * 1024 / 1e6;
}

enum class Scenario {
    ReadsAtOnce,
    ReadsLate, ///< Callers read their answers late.
    ProcessStops,
};

std::string noteHead(const std::string &id, std::size_t bytes)
{
    return "POST /notes HTTP/1.1\r\nHost: liquidacion.example\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

TEST_CASE("Idle connections do not keep the memory of the large bodies that they have carried", "[process][memory]")
{
    constexpr int Callers = 24;
    Fleet fleet;
    fleet.startAll({"entry-1"});
    std::vector<std::unique_ptr<RawCaller>> callers;
    const auto sendNote = [&](int number) {
        callers.push_back(std::make_unique<RawCaller>(fleet.address("entry-1", "callers")));
        callers.back()->send(noteHead("note-" + std::to_string(number), BodyBytes) + std::string(BodyBytes, 'd'));
        CHECK(callers.back()->readUntil("d\n").starts_with("HTTP/1.1 200"));
    };
    const pid_t pid = fleet.entryVm("entry-1").pid();
    sendNote(0);
    const double afterFirst = memoryMb(pid, "VmRSS");
    for (int number = 1; number < Callers; ++number) {
        sendNote(number);
    }
    // The number of connections does not matter; one body in each direction may not have been given back yet.
    const bool isReleased = eventually([&] { return memoryMb(pid, "VmRSS") <= afterFirst + 2 * BodyBytes / 1e6; }, 5000);
    CAPTURE(afterFirst, memoryMb(pid, "VmRSS"));
    CHECK(isReleased);
    callers.front()->send("GET /state/a HTTP/1.1\r\nHost: liquidacion.example\r\n\r\n");
    CHECK(callers.front()->readUntil("body=\n").starts_with("HTTP/1.1 200"));
}

TEST_CASE("Large bodies and unread answers, also while the process stops, do not exceed its memory limit", "[process][memory][shutdown]")
{
    constexpr double MemoryMb = 64;
    constexpr int Callers = 16;
    const auto scenario = GENERATE(Scenario::ReadsAtOnce, Scenario::ReadsLate, Scenario::ProcessStops);
    const bool stops = scenario == Scenario::ProcessStops;
    CAPTURE(scenario);
    Fleet fleet;
    fleet.setLimits("memory_mb: 64");
    fleet.startAll({"entry-1"});
    Process &vm = fleet.entryVm("entry-1");
    std::vector<std::string> answers(Callers);
    std::vector<std::thread> threads;
    threads.reserve(Callers);
    for (int number = 0; number < Callers; ++number) {
        threads.emplace_back([&, number] {
            RawCaller caller(fleet.address("entry-1", "callers"));
            caller.send(noteHead("note-" + std::to_string(number) + ".", BodyBytes) + std::string(BodyBytes, 'd'));
            if (scenario == Scenario::ReadsLate) {
                std::this_thread::sleep_for(std::chrono::milliseconds(700));
            }
            answers[static_cast<std::size_t>(number)] = caller.readUntil("\n", 1000);
        });
    }
    if (stops) {
        vm.signal(SIGTERM);
    }
    std::atomic<bool> isOver{false};
    double peak = 0;
    // The process may have exited at the end.
    std::thread sampler([&] {
        while (!isOver) {
            peak = std::max(peak, memoryMb(vm.pid(), "VmHWM"));
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    });
    for (std::thread &thread : threads) {
        thread.join();
    }
    isOver = true;
    sampler.join();
    int refused = 0;
    for (int number = 0; number < Callers; ++number) {
        const std::string &answer = answers[static_cast<std::size_t>(number)];
        CAPTURE(number, answer.substr(0, 300));
        if (answer.starts_with("HTTP/1.1 503")) {
            ++refused;
            CHECK(answer.find("Retry-After: ") != std::string::npos);
            CHECK(answer.find("\"outcome\":\"not-run\"") != std::string::npos);
            CHECK(fleet.logMatchCount("id=note-" + std::to_string(number) + ".") == 0);
        } else if (!answer.empty()) {
            CHECK(answer.starts_with("HTTP/1.1 200"));
        }
        // A connection that is closed without an answer has executed nothing.
        CHECK((!answer.empty() || fleet.logMatchCount("id=note-" + std::to_string(number) + ".") == 0));
    }
    CHECK(refused > 0);
    CHECK(peak > 0);
    CHECK(peak <= MemoryMb);
    if (stops) {
        CHECK(vm.wait() == 0);
    } else {
        CHECK(fleet.get("entry-1", "/state/a")->status == 200);
    }
}
