/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "backendstandin.h"
#include "net/bootclock.h"
#include "platformstandin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <sys/prctl.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string, role, "backend", "platform or backend");
ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP number and port; port 0 lets the kernel choose");
ABSL_FLAG(std::string, name, "backend", "name told in answers");
ABSL_FLAG(int, slots, 3, "requests run at a time");

namespace
{

std::atomic<bool> isStopping{false};

template<typename Standin>
void runUntilStopped(Standin &standin)
{
    std::cout << "127.0.0.1:" << standin.port() << std::endl;
    while (!isStopping) {
        standin.tick();
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    // The kernel kills the stand-in when the test or script that started it exits.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::signal(SIGTERM, [](int) { isStopping = true; });
    std::signal(SIGPIPE, SIG_IGN);
    if (absl::GetFlag(FLAGS_role) == "platform") {
        Cloverbarrow::Standins::PlatformStandin platform(absl::GetFlag(FLAGS_listen));
        runUntilStopped(platform);
    } else {
        Cloverbarrow::Standins::BackendStandin backend(absl::GetFlag(FLAGS_listen), absl::GetFlag(FLAGS_name), absl::GetFlag(FLAGS_slots));
        runUntilStopped(backend);
    }
    return 0;
}
