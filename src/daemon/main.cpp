/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/daemon.h"
#include "daemon/failurehandler.h"
#include "daemon/operatorrequests.h"
#include "daemon/settings.h"
#include "platformprotocol.h"
#include "storeclient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "settings file, YAML");
ABSL_FLAG(bool, check_settings, false, "check the settings file and exit");
ABSL_FLAG(bool, version, false, "print the version and exit");

namespace
{

using namespace Cloverbarrow;

constexpr std::string_view VersionText = CLOVERBARROW_VERSION;
constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;
constexpr int ExitWorkLeft = 3;

// Static, since signals arrive until the process has ended.
constinit OperatorRequests operatorRequests;

void onStopSignal(int)
{
    operatorRequests.requestStop();
}

void onReloadSignal(int)
{
    operatorRequests.requestReload();
}

void handleSignal(int number, void (*handler)(int))
{
    struct sigaction action {
    };
    action.sa_handler = handler;
    action.sa_flags = SA_RESTART;
    sigaction(number, &action, nullptr);
}

DirectoryAdapters directoryAdapters(const Settings &settings)
{
    if (!settings.directory) {
        return {};
    }
    return {[address = settings.directory->address](HttpClient &client) { return std::make_unique<Platform::StoreClient>(client, address); },
            std::make_shared<Platform::PlatformProtocol>()};
}

void configureAllocator()
{
    // Larger buffers get mappings of their own, whose memory returns to the system as soon as they are freed. Without a fixed threshold the allocator
    // raises it to the size of the largest buffer freed so far, and keeps such buffers between smaller ones.
    constexpr int MmapThreshold = 1024 * 1024;
    static_cast<void>(::mallopt(M_MMAP_THRESHOLD, MmapThreshold));
    // With a fixed threshold the allocator does not adjust this one either. Its initial value would return the end of the heap to the system, and fetch
    // it again, in short intervals.
    constexpr int TrimThreshold = 2 * 1024 * 1024;
    static_cast<void>(::mallopt(M_TRIM_THRESHOLD, TrimThreshold));
}

int runDaemon(const Settings &settings, const SettingsFile &file)
{
    startLogging(settings.name, settings.logLevel);
    const Log log("main");
    try {
        std::signal(SIGPIPE, SIG_IGN);
        Daemon daemon(settings, file, operatorRequests);
        daemon.start(directoryAdapters(settings));
        handleSignal(SIGTERM, onStopSignal);
        handleSignal(SIGINT, onStopSignal);
        std::cout << daemon.addresses().toJson() << std::endl;
        log.info("started", {{"zone", settings.zone}, {"version", VersionText}});
        const RemainingWork remaining = daemon.run();
        log.info("stopped",
                 {{"requests_left", static_cast<std::int64_t>(remaining.requests)}, {"payout_records_left", static_cast<std::int64_t>(remaining.payouts)}});
        flushLog();
        return remaining.isEmpty() ? ExitOk : ExitWorkLeft;
    } catch (const std::exception &exception) {
        log.error("cannot run", {{"reason", std::string_view(exception.what())}});
        flushLog();
        std::cerr << "cloverbarrowd: cannot run: " << exception.what() << "\n";
        return ExitFailed;
    }
}

} // namespace

int main(int argc, char **argv)
{
    // Its default action would end the process.
    handleSignal(SIGHUP, onReloadSignal);
    absl::SetProgramUsageMessage(
        "cloverbarrowd --settings=FILE [--check_settings] [--version]\nRuns one entry VM of the load balancer. SIGTERM stops it gracefully, a second one at "
        "once; SIGHUP reads the settings again.\nExit codes: 0 stopped, 1 cannot run, 2 settings refused, 3 stopped with work left.");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_version)) {
        std::cout << "cloverbarrowd " << VersionText << "\n";
        return ExitOk;
    }
    configureAllocator();
    installFailureHandler(argv[0]);
    const std::string path = absl::GetFlag(FLAGS_settings);
    SettingsFile file(path);
    const auto parsed = file.read();
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
    return runDaemon(std::get<Settings>(parsed), file);
}
