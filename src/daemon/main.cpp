/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/daemon.h"
#include "daemon/settings.h"
#include "net/textfile.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <csignal>
#include <cstdio>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "settings file, YAML");
ABSL_FLAG(bool, check_settings, false, "check the settings file and exit");

namespace
{

using namespace Cloverbarrow;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;
constexpr int ExitWorkLeft = 3;

Daemon *runningDaemon = nullptr;

void onStopSignal(int)
{
    runningDaemon->requestStop();
}

void installSignals(Daemon &daemon)
{
    runningDaemon = &daemon;
    struct sigaction action {
    };
    action.sa_handler = onStopSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void startLogging(const Settings &settings)
{
    spdlog::set_default_logger(spdlog::stderr_logger_mt("cloverbarrowd"));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l " + settings.name + " %v");
    spdlog::set_level(spdlog::level::from_str(settings.logLevel));
    spdlog::flush_on(spdlog::level::info);
}

int runDaemon(const Settings &settings)
{
    startLogging(settings);
    const Log log("main");
    try {
        Daemon daemon(settings);
        installSignals(daemon);
        std::cout << daemon.addresses().toJson() << std::endl;
        const WorkLeft left = daemon.run();
        if (left.isNone()) {
            log.info("stopped with nothing left");
            return ExitOk;
        }
        log.warn("stopped with " + std::to_string(left.requests) + " requests and " + std::to_string(left.payouts) + " payout records left");
        return ExitWorkLeft;
    } catch (const std::exception &exception) {
        log.error(std::string("cannot run: ") + exception.what());
        return ExitFailed;
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("cloverbarrowd --settings=FILE [--check_settings]\nRuns one entry VM of the load balancer.");
    absl::ParseCommandLine(argc, argv);
    const std::string path = absl::GetFlag(FLAGS_settings);
    const auto document = readTextFile(path);
    if (!document) {
        std::cerr << "cloverbarrowd: read settings: cannot open '" << path << "'; give --settings=FILE\n";
        return ExitBadSettings;
    }
    const auto parsed = parseSettings(*document);
    if (const auto *faults = std::get_if<std::vector<DocumentFault>>(&parsed)) {
        for (const DocumentFault &fault : *faults) {
            std::cerr << fault.toString(path) << "\n";
        }
        return ExitBadSettings;
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << path << ": the settings are valid\n";
        return ExitOk;
    }
    return runDaemon(std::get<Settings>(parsed));
}
