/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "fleet.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>

extern char **environ;

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

TEST_CASE("A process that ends by a fault reports the signal and a backtrace", "[process][failure]")
{
    Fleet fleet;
    fleet.startEntryVm("entry-1");
    fleet.entryVm("entry-1").signal(SIGSEGV);
    constexpr int SignalBase = 128;
    CHECK(fleet.entryVm("entry-1").wait() == SignalBase + SIGSEGV);
    std::ifstream file(fleet.errorPath("entry-1"));
    const std::string errors{std::istreambuf_iterator<char>(file), {}};
    CAPTURE(errors);
    CHECK(errors.find("SIGSEGV") != std::string::npos);
    CHECK(errors.find("    @     ") != std::string::npos);
}

TEST_CASE("A process that is asked to stop reports no fault", "[process][failure]")
{
    Fleet fleet;
    fleet.startEntryVm("entry-1");
    fleet.entryVm("entry-1").signal(SIGTERM);
    CHECK(fleet.entryVm("entry-1").wait() == 0);
    CHECK(std::ifstream(fleet.errorPath("entry-1")).peek() == std::ifstream::traits_type::eof());
}

TEST_CASE("A process that is asked to reload before it has read its settings does not end by that", "[process][failure]")
{
    // The process waits for its settings until they are written to the pipe.
    const std::string path = std::filesystem::temp_directory_path() / ("cloverbarrow-settings-" + std::to_string(::getpid()));
    REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
    std::string program = std::string(BINARY_FOLDER) + "/cloverbarrowd";
    std::string settings = "--settings=" + path;
    std::string checks = "--check_settings";
    std::array<char *, 4> command{program.data(), settings.data(), checks.data(), nullptr};
    pid_t pid = -1;
    REQUIRE(::posix_spawn(&pid, program.c_str(), nullptr, nullptr, command.data(), environ) == 0);
    Descriptor pipe;
    const bool isReading = eventually([&pipe, &path] {
        pipe = Descriptor(::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC));
        return pipe.isOpen();
    });
    ::kill(pid, isReading ? SIGHUP : SIGKILL);
    pipe.reset();
    int status = 0;
    ::waitpid(pid, &status, 0);
    std::filesystem::remove(path);
    constexpr int ExitBadSettings = 2;
    CHECK(isReading);
    REQUIRE(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == ExitBadSettings);
}

TEST_CASE("A process that is asked to stop until it has ended ends without a fault", "[process][failure][lifetime]")
{
    constexpr int Rounds = 20;
    Fleet fleet(0);
    for (int round = 0; round < Rounds; ++round) {
        const std::string name = "entry-" + std::to_string(round);
        fleet.startEntryVm(name);
        Process &process = fleet.entryVm(name);
        siginfo_t ended{};
        // Without reaping the process, so that no other one gets its id.
        while (::waitid(P_PID, static_cast<id_t>(process.pid()), &ended, WEXITED | WNOHANG | WNOWAIT) == 0 && ended.si_pid == 0) {
            process.signal(SIGTERM);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        CHECK(process.wait() == 0);
        fleet.killEntryVm(name);
    }
}
