/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <system_error>
#include <thread>

extern char **environ;

namespace Cloverbarrow::Tests
{

namespace
{

std::string readLine(const Descriptor &from)
{
    std::string line;
    char character = 0;
    while (::read(from.get(), &character, 1) == 1 && character != '\n') {
        line += character;
    }
    return line;
}

/// Waits up to 20 s for a complete line in the file. @return the line; empty after the timeout.
std::string awaitLine(const std::string &path)
{
    constexpr int MaxPolls = 2000;
    for (int poll = 0; poll < MaxPolls; ++poll) {
        std::ifstream file(path);
        if (std::string line; std::getline(file, line) && !file.eof()) {
            return line;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return {};
}

} // namespace

Process::Process(std::vector<std::string> command, const std::string &outputPath, const std::string &errorPath)
{
    if (!outputPath.empty()) {
        const Descriptor file(::open(outputPath.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0644));
        spawn(command, file.get(), errorPath);
        firstLine_ = awaitLine(outputPath);
        return;
    }
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("pipe");
    }
    const Descriptor readEnd(ends[0]);
    Descriptor writeEnd(ends[1]);
    spawn(command, writeEnd.get(), errorPath);
    writeEnd.reset();
    firstLine_ = readLine(readEnd);
}

void Process::spawn(std::vector<std::string> &command, int output, const std::string &errorPath)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, 1);
    if (!errorPath.empty()) {
        posix_spawn_file_actions_addopen(&actions, 2, errorPath.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
    }
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (std::string &argument : command) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    const int failure = ::posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        throw std::system_error(failure, std::generic_category(), "spawn " + command.front());
    }
}

Process::~Process()
{
    if (!hasExited_) {
        signal(SIGCONT);
        signal(SIGKILL);
        wait();
    }
}

const std::string &Process::firstLine() const
{
    return firstLine_;
}

pid_t Process::pid() const
{
    return pid_;
}

void Process::signal(int number) const
{
    if (!hasExited_) {
        ::kill(pid_, number);
    }
}

int Process::wait()
{
    if (!hasExited_) {
        int status = 0;
        ::waitpid(pid_, &status, 0);
        constexpr int SignalBase = 128;
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : SignalBase + WTERMSIG(status);
        hasExited_ = true;
    }
    return exitCode_;
}

} // namespace Cloverbarrow::Tests
