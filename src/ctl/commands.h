/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Exit codes of cloverbarrowctl, as docs/OPERATORS.md lists them.
enum class CtlExit {
    Done = 0,
    Failed = 1, ///< No entry VM answered, or the requested object was not found.
    Usage = 2,
    Conflict = 3, ///< Another change was accepted first; nothing was changed.
    InvalidInput = 4, ///< The input is invalid; nothing was changed.
    Unknown = 5, ///< It is unknown whether the change was accepted.
    Incomplete = 6, ///< Some entry VMs have not activated the version or have not answered.
    Unavailable = 7, ///< The platform does not answer; nothing was changed.
};

/// Values of the command-line flags.
struct CtlOptions {
    std::string admin; ///< `IP:port` of the administration API of any entry VM.
    bool isJson = false;
    bool isDryRun = false;
    bool isUndo = false;
    std::int64_t expectedVersion = -1; ///< -1 if not given.
    std::int64_t version = 0;
    std::string author;
    std::string reason;
    std::string plot; ///< Path of the SVG file to write; empty: none.
    int timeoutMs = 10'000;
};

/// Runs one subcommand. @param words the subcommand and its arguments.
CtlExit runCommand(const CtlOptions &options, const std::vector<std::string> &words, std::ostream &out, std::ostream &err);

/// @return the help text, with a line for each subcommand.
std::string usageText();

} // namespace Cloverbarrow
