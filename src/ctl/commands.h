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
    Failed = 1, ///< Nobody answered, or something was not found.
    Usage = 2,
    Conflict = 3, ///< Another change came first; nothing was changed.
    Refused = 4, ///< The input is not valid; nothing was changed.
    Unknown = 5, ///< It cannot be told whether the change stands.
    Incomplete = 6, ///< Not every entry VM has it in force, or has answered.
    Unavailable = 7, ///< The platform does not answer; nothing was changed.
};

/// What the flags say.
struct CtlOptions {
    std::string admin; ///< `IP:port` of any entry VM's administration API.
    bool isJson = false;
    bool isDryRun = false;
    bool isUndo = false;
    std::int64_t expectedVersion = -1; ///< -1 when not given.
    std::int64_t version = 0;
    std::string author;
    std::string reason;
    std::string plot; ///< File for an SVG picture.
    int timeoutMs = 10'000;
};

/// Runs one sub-command. @param words the sub-command and its arguments.
CtlExit runCommand(const CtlOptions &options, const std::vector<std::string> &words, std::ostream &out, std::ostream &err);

/// @return the text that explains the sub-commands.
std::string usageText();

} // namespace Cloverbarrow
