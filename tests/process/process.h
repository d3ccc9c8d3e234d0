/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/descriptor.h"

#include <sys/types.h>

#include <string>
#include <vector>

namespace Cloverbarrow::Tests
{

/// A child process of a test. The constructor waits for its first output line; the destructor kills it.
class Process
{
public:
    /// @param outputPath file for its output; without one, output after the first line is lost.
    /// @throws std::runtime_error or std::system_error if the process cannot be started.
    /// @param errorPath file for its error output; without one, that is the test's own.
    explicit Process(std::vector<std::string> command, const std::string &outputPath = {}, const std::string &errorPath = {});
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    const std::string &firstLine() const;
    pid_t pid() const;
    void signal(int number) const;
    /// Waits for the exit of the process. @return its exit code, or 128 + the number of the signal that ended it.
    int wait();

private:
    void spawn(std::vector<std::string> &command, int output, const std::string &errorPath);

    pid_t pid_ = -1;
    bool hasExited_ = false;
    int exitCode_ = 0;
    std::string firstLine_;
};

} // namespace Cloverbarrow::Tests
