/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/admissionqueue.h"
#include "core/requests/fleetbudgets.h"
#include "core/support/time.h"
#include "core/support/yamlreader.h"
#include "core/workspaces/quotagrant.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// A store that supplies routes and backend servers in place of the built-in configuration object.
struct DirectorySettings {
    std::string address;
    std::string relayAddress; ///< Where this entry VM serves its availability zone as relay; if empty, it never is a relay and watches the store itself.
    bool isFirstStart = false; ///< Whether the whole fleet starts for the first time.
    double linkMbps = 0; ///< Link speed of this VM in Mbit/s; 0: unknown. VMs with faster links become relay first.
    FleetBudgets budgets;
    QuotaTolerance quotaTolerance;

    bool operator==(const DirectorySettings &) const = default;
};

/// Start-up settings of one cloverbarrowd process. Whatever operators change at run time is in the
/// configuration, which the platform stores.
struct Settings {
    std::string name;
    std::string zone;
    std::string region;
    std::string callersAddress; ///< Each address is `IP:port`; with port 0 the kernel assigns one.
    std::string peersAddress;
    std::string adminAddress;
    std::string operationsAddress;
    std::string metricsAddress; ///< Second address of the operations endpoint, with a fixed port; may be empty.
    std::string platformAddress; ///< Empty with a directory, as are the addresses for peers and administration.
    std::optional<DirectorySettings> directory;
    std::vector<std::string> seedPeers;
    AdmissionQueueLimits startup; ///< Bounds on the requests that are held until this entry VM is ready.
    Duration shutdownNotice = seconds(2);
    Duration shutdownLimit = seconds(60);
    int callerThreads = 2;
    int backendThreads = 2;
    std::size_t memoryBytes = 256'000'000; ///< Memory that this process may use.
    int maxBodyBytes = 8 * 1024 * 1024;
    Duration slowCallerTimeout = seconds(10);
    std::string logLevel = "info";

    bool operator==(const Settings &) const = default;
};

/// Parses and validates a settings document.
/// @return the settings, or all faults found.
std::variant<Settings, std::vector<DocumentFault>> parseSettings(std::string_view document);

} // namespace Cloverbarrow
