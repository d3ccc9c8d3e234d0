/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/settings.h"

#include "core/support/address.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>

namespace Cloverbarrow
{

namespace
{

constexpr double MaxLinkMbps = 1e6;
constexpr int MaxThreads = 64;
constexpr double MinMemoryMb = 48;
constexpr double MaxMemoryMb = 1e6;
constexpr int MaxBodyBytes = 64 * 1024 * 1024;
constexpr int MaxShutdownMs = 3'600'000;
constexpr double MaxGraceSeconds = 3600;
// Time before the kill in which the process aborts remaining requests and exits; it suffices on a tenth of a core. Short grace periods reserve only a fraction.
constexpr Duration MaxExitReserve = milliseconds(500);
constexpr int ExitReserveDivisor = 12;
constexpr int MaxSlowCallerMs = 600'000;
constexpr int MaxHeldRequests = 10'000;
constexpr int MaxStartupMs = 60'000;
constexpr double MaxBudget = 1'000'000;
constexpr double MinQuotaWindowSeconds = 0.1;
constexpr double MaxQuotaWindowSeconds = 3600;

void readAddress(YamlReader &reader, const char *key, std::string &address, bool isRequired = true)
{
    reader.text(key, address, isRequired);
    if (!address.empty() && !isSocketAddress(address)) {
        reader.fault(key, "an IP number and a port, as in 10.0.0.1:8080");
    }
}

void readListen(YamlReader &reader, Settings &settings)
{
    readAddress(reader, "callers", settings.callersAddress);
    const bool usesFleetProtocols = !settings.directory;
    readAddress(reader, "peers", settings.peersAddress, usesFleetProtocols);
    readAddress(reader, "admin", settings.adminAddress, usesFleetProtocols);
    readAddress(reader, "operations", settings.operationsAddress);
    readAddress(reader, "metrics", settings.metricsAddress, false);
}

void readFirstPeers(YamlReader &reader, Settings &settings)
{
    reader.texts("first_peers", settings.seedPeers, false);
    if (!std::all_of(settings.seedPeers.begin(), settings.seedPeers.end(), isSocketAddress)) {
        reader.fault("first_peers", "a list of IP numbers with ports");
    }
}

void readShutdown(YamlReader &reader, Settings &settings)
{
    reader.milliseconds("notice_ms", settings.shutdownNotice, 0, MaxShutdownMs);
    const Duration defaultLimit = settings.shutdownLimit;
    reader.milliseconds("limit_ms", settings.shutdownLimit, 1, MaxShutdownMs);
    // A limit well below the grace period aborts requests that backend servers still execute: 5.5 s of a 10 s grace period aborted those that take over 2.7 s.
    double graceSeconds = 0;
    reader.real("grace_s", graceSeconds, 1, MaxGraceSeconds);
    if (graceSeconds == 0) {
        return;
    }
    if (settings.shutdownLimit != defaultLimit) {
        reader.fault("grace_s", "either this or limit_ms");
    }
    const auto grace = std::chrono::round<Duration>(std::chrono::duration<double>(graceSeconds));
    settings.shutdownLimit = grace - std::min<Duration>(MaxExitReserve, grace / ExitReserveDivisor);
}

void readStartup(YamlReader &reader, AdmissionQueueLimits &limits)
{
    reader.integer("max_requests", limits.maxRequests, 0, MaxHeldRequests);
    reader.integer("max_bytes", limits.maxBytes, 0, MaxBodyBytes);
    reader.milliseconds("max_wait_ms", limits.maxWait, 1, MaxStartupMs);
    reader.milliseconds("expected_ms", limits.expectedStart, 1, MaxStartupMs);
}

void readLogLevel(YamlReader &reader, Settings &settings)
{
    constexpr std::array<std::string_view, 5> Levels = {"debug", "info", "warn", "error", "off"};
    reader.text("log_level", settings.logLevel, false);
    if (std::find(Levels.begin(), Levels.end(), settings.logLevel) == Levels.end()) {
        reader.fault("log_level", "debug, info, warn, error or off");
    }
}

void readMemory(YamlReader &reader, Settings &settings)
{
    constexpr double BytesPerMegabyte = 1e6;
    double megabytes = static_cast<double>(settings.memoryBytes) / BytesPerMegabyte;
    reader.real("memory_mb", megabytes, MinMemoryMb, MaxMemoryMb);
    settings.memoryBytes = static_cast<std::size_t>(megabytes * BytesPerMegabyte);
}

void readQuotaTolerance(YamlReader &reader, QuotaTolerance &tolerance)
{
    double windowSeconds = std::chrono::duration<double>(tolerance.window).count();
    reader.real("quota_window_s", windowSeconds, MinQuotaWindowSeconds, MaxQuotaWindowSeconds);
    tolerance.window = std::chrono::round<Duration>(std::chrono::duration<double>(windowSeconds));
    reader.real("quota_overage", tolerance.overage, 0, MaxBudget);
    reader.real("quota_slack", tolerance.slack, 0, MaxBudget);
}

void readAll(YamlReader &reader, Settings &settings)
{
    reader.text("name", settings.name, true);
    reader.text("zone", settings.zone, true);
    reader.text("region", settings.region, true);
    reader.mapping("directory", [&settings](YamlReader &item) {
        settings.directory.emplace();
        readAddress(item, "address", settings.directory->address);
        readAddress(item, "relay", settings.directory->relayAddress, false);
        item.flag("first_start", settings.directory->isFirstStart);
        item.real("link_mbps", settings.directory->linkMbps, 0, MaxLinkMbps);
        FleetBudgets &budgets = settings.directory->budgets;
        std::vector<std::string> zones;
        item.texts("zones", zones, false);
        budgets.zones = std::max(1, static_cast<int>(zones.size()));
        item.real("repeat_ratio", budgets.extraAttemptRatio, 0, 1);
        item.real("repeat_slack", budgets.extraAttemptSlack, 0, MaxBudget);
        item.real("probes_per_server", budgets.probesPerServer, 0, MaxBudget);
        item.real("cold_overage", budgets.coldRateFactor, 0, MaxBudget);
        item.real("cold_slack", budgets.coldSlack, 0, MaxBudget);
        item.flag("share_scarce_capacity", budgets.sharesScarceCapacity);
        item.flag("share_slow_servers", budgets.sharesSlowServers);
        item.real("rollout_exposure", budgets.rollouts.exposureShare, 0, 1);
        readQuotaTolerance(item, settings.directory->quotaTolerance);
    });
    reader.mapping(
        "listen", [&settings](YamlReader &item) { readListen(item, settings); }, true);
    readAddress(reader, "platform", settings.platformAddress, !settings.directory);
    readFirstPeers(reader, settings);
    reader.mapping("startup", [&settings](YamlReader &item) { readStartup(item, settings.startup); });
    reader.mapping("shutdown", [&settings](YamlReader &item) { readShutdown(item, settings); });
    reader.mapping("threads", [&settings](YamlReader &item) {
        item.integer("callers", settings.callerThreads, 1, MaxThreads);
        item.integer("backends", settings.backendThreads, 1, MaxThreads);
    });
    reader.mapping("limits", [&settings](YamlReader &item) {
        readMemory(item, settings);
        item.integer("max_body_bytes", settings.maxBodyBytes, 0, MaxBodyBytes);
        item.milliseconds("slow_caller_ms", settings.slowCallerTimeout, 100, MaxSlowCallerMs);
    });
    readLogLevel(reader, settings);
}

} // namespace

std::variant<Settings, std::vector<DocumentFault>> parseSettings(std::string_view document)
{
    std::vector<DocumentFault> faults;
    Settings settings;
    try {
        const YAML::Node root = loadBoundedYaml(document);
        YamlReader reader(root, "", faults);
        readAll(reader, settings);
        reader.finish();
    } catch (const YAML::Exception &exception) {
        faults.push_back({exception.mark.line + 1, "document", "YAML, but: " + exception.msg});
    }
    if (!faults.empty()) {
        return faults;
    }
    return settings;
}

} // namespace Cloverbarrow
