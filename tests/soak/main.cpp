/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "faultinjector.h"
#include "heavyload.h"
#include "invariants.h"
#include "keptconnections.h"
#include "soakcallers.h"
#include "soaksite.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

ABSL_FLAG(std::vector<std::string>, seeds, {}, "seeds to play, one after the other");
ABSL_FLAG(int, first_seed, 0, "first of --count seeds in a row");
ABSL_FLAG(int, count, 0, "how many seeds from --first_seed on");
ABSL_FLAG(std::string, regressions, "", "file with a seed and its cause a line; all are played");
ABSL_FLAG(int, seconds, 8, "how long faults come, for each seed");
ABSL_FLAG(int, entry_vms, 6, "entry VMs, each a process");
ABSL_FLAG(int, backends, 6, "backend servers");
ABSL_FLAG(int, callers, 12, "callers, each a thread");
ABSL_FLAG(int, kept_connections, 0, "callers whose requests come at about the idle limit, which changes");
ABSL_FLAG(std::vector<std::string>, heavy_load, {}, "faults of heavy load to add: surge, quota-use, silent, restart, quota");

namespace
{

using namespace Cloverbarrow;
using namespace Cloverbarrow::Soak;

constexpr std::size_t StepsPerViolationCheck = 20;
constexpr auto VersionCheckInterval = std::chrono::milliseconds(20);
constexpr std::size_t PrintedLimitLines = 8; // Of each log.

std::string makeFolder()
{
    std::string pattern = std::filesystem::temp_directory_path() / "cloverbarrow-soak-XXXXXX";
    return ::mkdtemp(pattern.data());
}

/// Result of the run of one seed.
struct Result {
    std::vector<Violation> violations;
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t faults = 0;
    std::chrono::milliseconds recovery{0}; ///< Time from the last fault until every entry VM serves again.
    std::string folder;
    std::string load; ///< Figures of heavy load; empty without it.
};

void append(std::vector<Violation> &to, std::vector<Violation> added)
{
    to.insert(to.end(), added.begin(), added.end());
}

/// Checks the configuration version of one entry VM after another until it is stopped. It has a thread of its own, so that waiting for a paused
/// entry VM does not delay the faults.
class VersionMonitorThread
{
public:
    explicit VersionMonitorThread(const SoakSite &site)
        : thread_([this, &site] { run(site); })
    {
    }

    /// @return the violations that were found.
    std::vector<Violation> stop()
    {
        isStopping_ = true;
        thread_.join();
        return violations_;
    }

private:
    void run(const SoakSite &site)
    {
        VersionMonitor versions(site);
        for (std::size_t check = 0; !isStopping_; ++check) {
            append(violations_, versions.checkEntryVm(check % site.entryVms()));
            std::this_thread::sleep_for(VersionCheckInterval);
        }
    }

    std::atomic<bool> isStopping_{false};
    std::vector<Violation> violations_;
    std::thread thread_;
};

/// Injects faults until the time is over or an invariant is violated, and then ends all of them.
void injectFaults(SoakSite &site, FaultInjector &schedule, const ObservationLog &observations, std::vector<Violation> &violations)
{
    VersionMonitorThread versions(site);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    for (std::size_t step = 0; violations.empty() && std::chrono::steady_clock::now() < end; ++step) {
        std::this_thread::sleep_for(schedule.injectNext());
        if (step % StepsPerViolationCheck == 0) {
            append(violations, violationsIn(site, observations.all()));
        }
    }
    // The faults end first: the version check of a paused process would otherwise wait until it times out.
    schedule.endAllFaults();
    append(violations, versions.stop());
}

void writeJournal(const Result &result, const FaultInjector &schedule)
{
    std::ofstream journal(result.folder + "/journal.txt");
    for (const std::string &line : schedule.journal()) {
        journal << line << "\n";
    }
    for (const Violation &violation : result.violations) {
        journal << "BROKEN " << violation.invariant << ": " << violation.detail << "\n";
    }
}

Result runSeed(const std::string &program, std::uint64_t seed)
{
    Result result;
    result.folder = makeFolder();
    const auto loads = heavyLoadFaults(absl::GetFlag(FLAGS_heavy_load));
    SoakSite site({absl::GetFlag(FLAGS_entry_vms), absl::GetFlag(FLAGS_backends), !loads.empty()}, program, result.folder);
    append(result.violations, awaitRecovery(site));
    ObservationLog observations;
    FaultInjector schedule(site, seed);
    {
        SoakCallers callers(site, observations, absl::GetFlag(FLAGS_callers), seed);
        std::optional<WorkspaceCallers> workspaceCallers;
        if (!loads.empty()) {
            workspaceCallers.emplace(site, observations, seed);
            schedule.addHeavyLoad(loads, *workspaceCallers);
        }
        std::optional<KeptConnectionCallers> keptConnections;
        if (const int count = absl::GetFlag(FLAGS_kept_connections); count > 0) {
            schedule.addIdleLimits();
            site.setIdleTimeout(FaultInjector::InitialIdleLimit);
            keptConnections.emplace(site, count, seed);
        }
        {
            const PoisonRequestCallers fatalCallers(site, seed);
            injectFaults(site, schedule, observations, result.violations);
        }
        if (keptConnections) {
            keptConnections->stop();
            append(result.violations, keptConnections->violations());
            result.load = ", " + keptConnections->figures();
        }
        site.setIdleTimeout(DefaultIdleTimeout);
        const auto faultsEnded = std::chrono::steady_clock::now();
        append(result.violations, awaitRecovery(site));
        result.recovery = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - faultsEnded);
        if (workspaceCallers) {
            HeavyLoadResult checked = checkHeavyLoad(site, *workspaceCallers, observations, loads);
            append(result.violations, std::move(checked.violations));
            result.load += ", after heavy load alone within " + std::to_string(checked.longestRecovery.count()) + " ms";
        } else {
            append(result.violations, violationsUnderPoisonRequests(site));
            append(result.violations, violationsUnderEvacuation(site));
            append(result.violations, violationsUnderLimits(site));
        }
    }
    append(result.violations, violationsOfConnectionCounts(site));
    append(result.violations, violationsAtColdServers(site));
    for (const int code : site.stopAll()) {
        if (code != 0) {
            result.violations.push_back({"a stopped entry VM exits with code 0", "exit code " + std::to_string(code)});
        }
    }
    for (const std::string &exit : schedule.failedExits()) {
        result.violations.push_back({"a stopped entry VM exits with code 0", exit});
    }
    const auto observed = observations.all();
    append(result.violations, violationsIn(site, observed));
    append(result.violations, violationsOfAnnouncements(site, observed));
    if (!loads.empty()) {
        append(result.violations, violationsOfQuota(site, observed));
        result.load += ", " + std::to_string(site.droppedRequests()) + " dropped by full servers, " + toText(fullestWindow(site, observed));
    }
    result.requests = observed.size();
    result.answered = static_cast<std::size_t>(std::count_if(observed.begin(), observed.end(), [](const Observation &item) {
        const auto *answer = std::get_if<HttpAnswer>(&item.outcome);
        return answer && answer->status == 200;
    }));
    result.faults = schedule.journal().size();
    writeJournal(result, schedule);
    return result;
}

/// Prints what the entry VMs last logged of request limits, because the folder is not kept everywhere.
void printLimitLog(const std::string &folder)
{
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        std::ifstream log(file.path());
        std::deque<std::string> lines;
        for (std::string line; std::getline(log, line);) {
            if (line.find("\"part\":\"limits\"") == std::string::npos) {
                continue;
            }
            lines.push_back(line);
            if (lines.size() > PrintedLimitLines) {
                lines.pop_front();
            }
        }
        for (const std::string &line : lines) {
            std::cout << "  " << line << "\n";
        }
    }
}

std::vector<std::uint64_t> seedsToRun()
{
    std::vector<std::uint64_t> seeds;
    for (const std::string &seed : absl::GetFlag(FLAGS_seeds)) {
        seeds.push_back(std::stoull(seed));
    }
    for (int number = 0; number < absl::GetFlag(FLAGS_count); ++number) {
        seeds.push_back(static_cast<std::uint64_t>(absl::GetFlag(FLAGS_first_seed) + number));
    }
    std::ifstream regressions(absl::GetFlag(FLAGS_regressions));
    for (std::string line; std::getline(regressions, line);) {
        if (std::uint64_t seed = 0; std::istringstream(line) >> seed) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

/// @return whether all invariants held.
bool runAndReport(const std::string &program, std::uint64_t seed)
{
    Result result;
    try {
        result = runSeed(program, seed);
    } catch (const std::exception &exception) {
        result.violations.push_back({"a seed runs without an exception", exception.what()});
    }
    std::cout << "seed " << seed << ": " << result.faults << " faults and changes, " << result.requests << " requests, " << result.answered << " served, "
              << "recovered after " << result.recovery.count() << " ms" << result.load << ", " << result.violations.size() << " breaches" << std::endl;
    for (const Violation &violation : result.violations) {
        std::cout << "  BROKEN " << violation.invariant << ": " << violation.detail << "\n";
    }
    if (result.violations.empty()) {
        std::filesystem::remove_all(result.folder);
        return true;
    }
    printLimitLog(result.folder);
    std::cout << "  logs and journal: " << result.folder << std::endl;
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "fault-soak [--seeds=1,2] [--first_seed=1 --count=50] [--regressions=FILE] [--heavy_load=surge,quota-use,silent,restart,quota]\n"
        "Plays random faults against real processes of cloverbarrowd on loopback addresses and checks what callers and backend "
        "servers see.\nExit codes: 0 all promises held, 1 one was broken, 2 invalid option.");
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        heavyLoadFaults(absl::GetFlag(FLAGS_heavy_load));
    } catch (const std::invalid_argument &invalid) {
        std::cerr << invalid.what() << std::endl;
        return 2;
    }
    // A copy, so that a build during the soak does not change the program between two starts.
    const std::string folder = makeFolder();
    const std::string program = folder + "/cloverbarrowd";
    std::filesystem::copy_file(std::string(BINARY_FOLDER) + "/cloverbarrowd", program);
    int failedSeeds = 0;
    for (const std::uint64_t seed : seedsToRun()) {
        if (!runAndReport(program, seed)) {
            ++failedSeeds;
        }
    }
    std::filesystem::remove_all(folder);
    return failedSeeds == 0 ? 0 : 1;
}
