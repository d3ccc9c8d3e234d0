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
#include <csignal>
#include <stdexcept>

extern char **environ;

namespace Cloverbarrow::Tests
{

Process::Process(std::vector<std::string> command)
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("pipe");
    }
    Descriptor readEnd(ends[0]);
    Descriptor writeEnd(ends[1]);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, writeEnd.get(), 1);
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (std::string &word : command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const int failure = ::posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    writeEnd.reset();
    if (failure != 0) {
        throw std::runtime_error("spawn " + command.front());
    }
    char character = 0;
    while (::read(readEnd.get(), &character, 1) == 1 && character != '\n') {
        firstLine_ += character;
    }
}

Process::~Process()
{
    if (!hasEnded_) {
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
    if (!hasEnded_) {
        ::kill(pid_, number);
    }
}

int Process::wait()
{
    if (!hasEnded_) {
        int status = 0;
        ::waitpid(pid_, &status, 0);
        constexpr int SignalBase = 128;
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : SignalBase + WTERMSIG(status);
        hasEnded_ = true;
    }
    return exitCode_;
}

} // namespace Cloverbarrow::Tests
