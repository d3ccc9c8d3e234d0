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

/// A child process of a test, ended with this object. Its first line of output is read at the start.
class Process
{
public:
    /// @param outputPath file for its output; without one, what follows the first line is lost.
    explicit Process(std::vector<std::string> command, const std::string &outputPath = {});
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    const std::string &firstLine() const;
    pid_t pid() const;
    void signal(int number) const;
    /// Waits for the end. @return its exit code, or 128 + signal.
    int wait();

private:
    void spawn(std::vector<std::string> &command, int output);

    pid_t pid_ = -1;
    bool hasEnded_ = false;
    int exitCode_ = 0;
    std::string firstLine_;
};

} // namespace Cloverbarrow::Tests
