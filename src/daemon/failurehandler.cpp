/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/failurehandler.h"

#include <absl/debugging/failure_signal_handler.h>
#include <absl/debugging/symbolize.h>

#include <csignal>

namespace Cloverbarrow
{

void installFailureHandler(const char *program)
{
    absl::InitializeSymbolizer(program);
    absl::FailureSignalHandlerOptions options;
    // Without the timer of the library: a handler that hangs is ended by whoever watches the process.
    options.alarm_on_failure_secs = 0;
    absl::InstallFailureSignalHandler(options);
    // For the library SIGTERM is a fault as well.
    std::signal(SIGTERM, SIG_DFL);
}

} // namespace Cloverbarrow
