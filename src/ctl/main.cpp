/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/address.h"
#include "ctl/commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, admin, "127.0.0.1:7003", "IP number and port of any entry VM's administration API");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(bool, dry_run, false, "apply: check and show the diff only");
ABSL_FLAG(bool, undo, false, "drain: take a drain back");
ABSL_FLAG(int64_t, expect_version, -1, "apply: the version that the change is made against; 0 when there is none yet");
ABSL_FLAG(int64_t, version, 0, "wait: the version to wait for");
ABSL_FLAG(std::string, author, "", "apply, drain: who makes the change");
ABSL_FLAG(std::string, reason, "", "apply, drain: why");
ABSL_FLAG(std::string, plot, "", "report burn: also write an SVG picture to this file");
ABSL_FLAG(int, timeout_ms, 10000, "wait: give up after this time");

namespace
{

using namespace Cloverbarrow;

CtlOptions optionsFromFlags()
{
    CtlOptions options;
    options.admin = absl::GetFlag(FLAGS_admin);
    options.isJson = absl::GetFlag(FLAGS_output) == "json";
    options.isDryRun = absl::GetFlag(FLAGS_dry_run);
    options.isUndo = absl::GetFlag(FLAGS_undo);
    options.expectedVersion = absl::GetFlag(FLAGS_expect_version);
    options.version = absl::GetFlag(FLAGS_version);
    options.author = absl::GetFlag(FLAGS_author);
    options.reason = absl::GetFlag(FLAGS_reason);
    options.plot = absl::GetFlag(FLAGS_plot);
    options.timeoutMs = absl::GetFlag(FLAGS_timeout_ms);
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(usageText());
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> words(positional.begin() + 1, positional.end());
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "table" && output != "json") {
        std::cerr << "--output takes table or json\n";
        return static_cast<int>(CtlExit::Usage);
    }
    if (!isSocketAddress(absl::GetFlag(FLAGS_admin))) {
        std::cerr << "--admin takes an IP number and a port\n";
        return static_cast<int>(CtlExit::Usage);
    }
    return static_cast<int>(runCommand(optionsFromFlags(), words, std::cout, std::cerr));
}
